"""Unification: two nodes at once, as `&` and a second definition of a field mean it."""

from quillstep.config.cue.nodes import Alternative, Node, join_path
from quillstep.config.errors import ConfigError


class Unifier:
    """Unifies the nodes of one file.

    Its methods raise `ConfigError` where two nodes do not fit; the error names where the later one stands.
    """

    def __init__(self, file: str) -> None:
        self.file = file

    def unify(self, one: Node, two: Node, path: str) -> Node:
        """The node that is both.

        Raises:
            ConfigError: No value is both.
        """
        if one.alternatives or two.alternatives:
            return self._unify_alternatives(one, two, path)
        if one.members is not None and two.members is not None:
            return self._unify_records(one, two, path)
        if two.is_known and not one.is_known:
            one, two = two, one
        if one.is_known:
            later, rule = (two, one) if two.is_known else (one, two)
            if not rule.accepts(later.scalar):
                raise self._error(later.line, path, later.describe_found(), rule.describe_expected())
            return one
        if one.is_list() and two.is_list():
            return self._unify_lists(one, two, path)
        return self._unify_constraints(one, two, path)

    def _error(self, line: int, path: str, found: str, expected: str) -> ConfigError:
        return ConfigError(self.file, line, path, found, expected)

    def _unify_constraints(self, one: Node, two: Node, path: str) -> Node:
        """Unifies what is no scalar and no pair of records or lists."""
        structured = [node for node in (one, two) if node.members is not None or node.is_list()]
        if not structured:
            return Node(one.line, types=one.types + two.types, bounds=one.bounds + two.bounds)
        if any(node.types or node.bounds for node in (one, two)):
            raise self._error(two.line, path, one.describe_found(), two.describe_expected())
        if len(structured) == 2:
            raise self._error(one.line, path, one.describe_found(), two.describe_expected())
        return structured[0]

    def _unify_alternatives(self, one: Node, two: Node, path: str) -> Node:
        """Keeps the pairs of alternatives that fit; a pair is a default where each side that has one gives it."""
        left = one.alternatives or [Alternative(False, one)]
        right = two.alternatives or [Alternative(False, two)]
        left_has_default = any(alternative.is_default for alternative in left)
        right_has_default = any(alternative.is_default for alternative in right)
        has_default = left_has_default or right_has_default
        fitting: list[Alternative] = []
        errors: list[ConfigError] = []
        for a in left:
            for b in right:
                is_default = (a.is_default or not left_has_default) and (b.is_default or not right_has_default)
                try:
                    fitting.append(Alternative(is_default and has_default, self.unify(a.node, b.node, path)))
                except ConfigError as error:
                    errors.append(error)
        if not fitting:
            raise self._no_alternative(one, two, path, errors)
        if len(fitting) == 1:
            return fitting[0].node
        return Node(two.line, alternatives=fitting)

    def _no_alternative(self, one: Node, two: Node, path: str, errors: list[ConfigError]) -> ConfigError:
        """The error that says most where no pair of alternatives fits."""
        given, asked = (one, two) if one.is_known or one.members is not None else (two, one)
        if len(errors) == 1 or given.members is not None:
            return errors[0]
        return self._error(given.line, path, given.describe_found(), asked.describe_expected())

    def _unify_records(self, one: Node, two: Node, path: str) -> Node:
        assert one.members is not None and two.members is not None
        self._check_closed(one, two, path)
        self._check_closed(two, one, path)
        members = dict(one.members)
        for name, node in two.members.items():
            members[name] = self.unify(members[name], node, join_path(path, name)) if name in members else node
        required = (set(one.members) - one.optional) | (set(two.members) - two.optional)
        return Node(
            two.line,
            members=members,
            optional=(one.optional | two.optional) - required,
            is_closed=one.is_closed or two.is_closed,
            is_open=one.is_open or two.is_open,
        )

    def _check_closed(self, closed: Node, other: Node, path: str) -> None:
        """Raises an error where the other record has a field that a closed one does not know."""
        assert closed.members is not None and other.members is not None
        if not closed.is_closed:
            return
        for name, node in other.members.items():
            if name not in closed.members:
                names = ", ".join(sorted(each for each in closed.members if not each.startswith("#")))
                raise self._error(node.line, join_path(path, name), f"the field {name!r}", f"one of {names}")

    def _unify_lists(self, one: Node, two: Node, path: str) -> Node:
        if one.items is None or two.items is None:
            return self._unify_list_with_rule(one, two, path)
        if len(one.items) != len(two.items):
            raise self._error(two.line, path, f"{len(two.items)} items", f"{len(one.items)}")
        pairs = enumerate(zip(one.items, two.items, strict=True))
        return Node(two.line, items=[self.unify(a, b, f"{path}.{index}") for index, (a, b) in pairs])

    def _unify_list_with_rule(self, one: Node, two: Node, path: str) -> Node:
        """Unifies lists of which at least one says only what each item must be."""
        given, rule = (one, two) if one.items is not None else (two, one)
        assert rule.element
        if given.items is None:
            assert given.element
            return Node(one.line, element=self.unify(rule.element, given.element, path))
        items = [self.unify(rule.element, item, f"{path}.{index}") for index, item in enumerate(given.items)]
        return Node(given.line, items=items, element=rule.element)
