"""Evaluation of a syntax tree into a node: resolves references and unifies definitions."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from lark import Tree

from quillstep.config.cue.grammar import parse_number, parse_string
from quillstep.config.cue.nodes import KEYWORDS, TYPE_CHECKS, Alternative, Bound, Node, join_path
from quillstep.config.cue.unification import Unifier
from quillstep.config.errors import ConfigError

Scope = dict[str, list[Tree]]  # the values given for each name in a record
Scopes = list[Scope]  # the scopes of the enclosing records, innermost last


class Field(NamedTuple):
    """A field of the syntax tree: `name: value`, `name?: value` or `name!: value`."""

    name: str
    is_optional: bool
    value: Tree


class Evaluator:
    """Evaluates the syntax tree of one file; its methods raise `ConfigError` for invalid values and references."""

    def __init__(self, file: str) -> None:
        self.file = file
        self._unifier = Unifier(file)
        self._resolving: set[int] = set()  # ids of the value lists that are being resolved, to detect cycles

    def document(self, tree: Tree) -> Node:
        """Evaluates the tree of a file and returns its record.

        Raises:
            ConfigError: Values conflict, or a reference cannot be resolved.
        """
        return self._record(tree.children, [], 1, "")

    def _error(self, line: int, path: str, found: str, expected: str) -> ConfigError:
        return ConfigError(self.file, line, path, found, expected)

    def _record(self, members: Sequence[Tree], scopes: Scopes, line: int, path: str) -> Node:
        embedded = [member.children[0] for member in members if member.data == "embed"]
        fields = [_field(member) for member in members if member.data not in ("embed", "open")]
        scope: Scope = {}
        for each in fields:
            scope.setdefault(each.name, []).append(each.value)
        inner = [*scopes, scope]
        optional = {each.name for each in fields if each.is_optional}
        required = {each.name for each in fields if not each.is_optional}
        node = Node(line, members=self._members(scope, inner, path), optional=optional - required)
        for tree in embedded:
            node = self._unifier.unify(node, self._value(tree, inner, path), path)
        if any(member.data == "open" for member in members):
            node.is_open = True
        return node

    def _members(self, scope: Scope, scopes: Scopes, path: str) -> dict[str, Node]:
        """Evaluates the fields of a record; its definitions are evaluated where they are referred to."""
        members: dict[str, Node] = {}
        for name, values in scope.items():
            if name.startswith("#"):
                continue
            member_path = join_path(path, name)
            for value in values:
                node = self._value(value, scopes, member_path)
                previous = members.get(name)
                members[name] = self._unifier.unify(previous, node, member_path) if previous else node
        return members

    def _value(self, tree: Tree, scopes: Scopes, path: str) -> Node:
        line = getattr(tree.meta, "line", 0) or 1
        return EVALUATORS[tree.data](self, tree, scopes, line, path)

    def _nested_record(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        """Evaluates the record of the shorthand `a: b: 1`."""
        return self._record([tree], scopes, line, path)

    def _braced_record(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        return self._record(tree.children, scopes, line, path)

    def _number(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        try:
            return Node(line, scalar=parse_number(str(tree.children[0])), is_known=True)
        except ValueError as error:
            raise self._error(line, path, "a number with too many digits", "a shorter one") from error

    def _string(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        return Node(line, scalar=parse_string(str(tree.children[0])), is_known=True)

    def _bound(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        operator, limit = tree.children
        return Node(line, bounds=[Bound(str(operator), float(str(limit).replace("_", "")))])

    def _list(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        items: list[Node] = []
        node = Node(line, items=items)
        for index, item in enumerate(item for item in tree.children if item is not None):
            if item.data == "rest":
                node.element = self._value(item.children[0], scopes, path) if item.children else Node(line)
                if not items:
                    node.items = None
            else:
                items.append(self._value(item, scopes, f"{path}.{index}"))
        return node

    def _conjunction(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        return self._unify_trees(tree.children, scopes, path)

    def _unify_trees(self, trees: Sequence[Tree], scopes: Scopes, path: str) -> Node:
        node = self._value(trees[0], scopes, path)
        for tree in trees[1:]:
            node = self._unifier.unify(node, self._value(tree, scopes, path), path)
        return node

    def _default(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        return Node(line, alternatives=[self._alternative(tree, scopes, path)])

    def _disjunction(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        return Node(line, alternatives=[self._alternative(each, scopes, path) for each in tree.children])

    def _alternative(self, tree: Tree, scopes: Scopes, path: str) -> Alternative:
        if tree.data == "default":
            return Alternative(True, self._value(tree.children[0], scopes, path))
        return Alternative(False, self._value(tree, scopes, path))

    def _reference(self, tree: Tree, scopes: Scopes, line: int, path: str) -> Node:
        """Resolves a name: a field or definition of an enclosing record, a type or a keyword."""
        names = [str(token) for token in tree.children]
        first = names[0]
        for depth in range(len(scopes), 0, -1):
            if first in scopes[depth - 1]:
                return self._resolve(names, scopes[:depth], line, path)
        if first in TYPE_CHECKS and len(names) == 1:
            return Node(line, types=[first])
        if first in KEYWORDS and len(names) == 1:
            return Node(line, scalar=KEYWORDS[first], is_known=True)
        raise self._error(line, path, ".".join(names), "the name of a field, a definition or a type")

    def _resolve(self, names: list[str], scopes: Scopes, line: int, path: str) -> Node:
        """Resolves a dotted name, whose first part is in the innermost of the scopes."""
        first = names[0]
        values = scopes[-1][first]
        if id(values) in self._resolving:
            raise self._error(line, path, f"{first}, which refers to itself", "a value")
        self._resolving.add(id(values))
        node = self._unify_values(values, scopes, path)
        self._resolving.discard(id(values))
        for name in names[1:]:
            if node.members is None or name not in node.members:
                raise self._error(line, path, ".".join(names), f"a field {name!r} of {first}")
            node = node.members[name]
        if first.startswith("#") and node.members is not None and not node.is_open:
            node.is_closed = True
        if node.members is None and node.items is None:
            node.line = line  # a scalar gets the line of the reference; records keep their own lines
        return node

    def _unify_values(self, values: list[Tree], scopes: Scopes, path: str) -> Node:
        """Unifies all values of a name; each is evaluated before the first two are unified."""
        nodes = [self._value(value, scopes, path) for value in values]
        node = nodes[0]
        for other in nodes[1:]:
            node = self._unifier.unify(node, other, path)
        return node


EVALUATORS: dict[str, Callable[[Evaluator, Tree, Scopes, int, str], Node]] = {
    "field": Evaluator._nested_record,
    "nested": Evaluator._nested_record,
    "record": Evaluator._braced_record,
    "number": Evaluator._number,
    "string": Evaluator._string,
    "bound": Evaluator._bound,
    "list": Evaluator._list,
    "both": Evaluator._conjunction,
    "default": Evaluator._default,
    "choice": Evaluator._disjunction,
    "ref": Evaluator._reference,
}


def _field(tree: Tree) -> Field:
    label = str(tree.children[0].children[0])
    name = parse_string(label) if label.startswith('"') else label
    rest = tree.children[1:]
    is_optional = rest[0].data == "mark" and str(rest[0].children[0]) == "?"
    return Field(name, is_optional, rest[-1])
