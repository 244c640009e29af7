"""Unification of two nodes, for `&` and for a field that is given more than once."""

from quillstep.config.cue.nodes import Alternative, Node, join_path
from quillstep.config.errors import ConfigError


class Unifier:
    """Unifies the nodes of one file.

    Its methods raise `ConfigError` where two nodes conflict; the error names the line of the later one.
    """

    def __init__(self, file: str) -> None:
        self.file = file

    def unify(self, one: Node, two: Node, path: str) -> Node:
        """Returns the node that accepts what both accept.

        Raises:
            ConfigError: The nodes conflict.
        """
        if one.alternatives or two.alternatives:
            return self._unify_alternatives(one, two, path)
        if one.members is not None and two.members is not None:
            return self._unify_records(one, two, path)
        if two.is_known and not one.is_known:
            one, two = two, one
        if one.is_known:
            later, constraint = (two, one) if two.is_known else (one, two)
            if not constraint.accepts(later.scalar):
                raise self._error(later.line, path, later.describe_found(), constraint.describe_expected())
            return one
        if one.is_list() and two.is_list():
            return self._unify_lists(one, two, path)
        return self._unify_constraints(one, two, path)

    def _error(self, line: int, path: str, found: str, expected: str) -> ConfigError:
        return ConfigError(self.file, line, path, found, expected)

    def _unify_constraints(self, one: Node, two: Node, path: str) -> Node:
        """Unifies two nodes that are neither concrete scalars nor two records or two lists."""
        structured = [node for node in (one, two) if node.members is not None or node.is_list()]
        if not structured:
            return Node(one.line, types=one.types + two.types, bounds=one.bounds + two.bounds)
        if any(node.types or node.bounds for node in (one, two)):
            raise self._error(two.line, path, one.describe_found(), two.describe_expected())
        if len(structured) == 2:
            raise self._error(one.line, path, one.describe_found(), two.describe_expected())
        return structured[0]

    def _unify_alternatives(self, one: Node, two: Node, path: str) -> Node:
        """Keeps the pairs of alternatives that unify; a default is a pair of defaults of the sides that have any."""
        left = one.alternatives or [Alternative(False, one)]
        right = two.alternatives or [Alternative(False, two)]
        left_has_default = any(alternative.is_default for alternative in left)
        right_has_default = any(alternative.is_default for alternative in right)
        has_default = left_has_default or right_has_default
        unified: list[Alternative] = []
        errors: list[ConfigError] = []
        for a in left:
            for b in right:
                is_default = (a.is_default or not left_has_default) and (b.is_default or not right_has_default)
                try:
                    unified.append(Alternative(is_default and has_default, self.unify(a.node, b.node, path)))
                except ConfigError as error:
                    errors.append(error)
        if not unified:
            raise self._no_alternative(one, two, path, errors)
        if len(unified) == 1:
            return unified[0].node
        return Node(two.line, alternatives=unified)

    def _no_alternative(self, one: Node, two: Node, path: str, errors: list[ConfigError]) -> ConfigError:
        """Returns the most specific error where no pair of alternatives unifies."""
        given, required = (one, two) if one.is_known or one.members is not None else (two, one)
        if len(errors) == 1 or given.members is not None:
            return errors[0]
        return self._error(given.line, path, given.describe_found(), required.describe_expected())

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
        """Raises `ConfigError` if `other` has a field that the closed record does not have."""
        assert closed.members is not None and other.members is not None
        if not closed.is_closed:
            return
        for name, node in other.members.items():
            if name not in closed.members:
                names = ", ".join(sorted(each for each in closed.members if not each.startswith("#")))
                raise self._error(node.line, join_path(path, name), f"the field {name!r}", f"one of {names}")

    def _unify_lists(self, one: Node, two: Node, path: str) -> Node:
        if one.items is None or two.items is None:
            return self._unify_list_with_constraint(one, two, path)
        if len(one.items) != len(two.items):
            raise self._error(two.line, path, f"{len(two.items)} items", f"{len(one.items)}")
        pairs = enumerate(zip(one.items, two.items, strict=True))
        return Node(two.line, items=[self.unify(a, b, f"{path}.{index}") for index, (a, b) in pairs])

    def _unify_list_with_constraint(self, one: Node, two: Node, path: str) -> Node:
        """Unifies two lists of which at least one only constrains its items."""
        given, constraint = (one, two) if one.items is not None else (two, one)
        assert constraint.element
        if given.items is None:
            assert given.element
            return Node(one.line, element=self.unify(constraint.element, given.element, path))
        items = [self.unify(constraint.element, item, f"{path}.{index}") for index, item in enumerate(given.items)]
        return Node(given.line, items=items, element=constraint.element)
