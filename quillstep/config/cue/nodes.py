"""Nodes: values, and constraints on values that are not concrete yet."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

TYPE_CHECKS: dict[str, Callable[[Any], bool]] = {
    "int": lambda value: isinstance(value, int) and not isinstance(value, bool),
    "number": lambda value: isinstance(value, int | float) and not isinstance(value, bool),
    "float": lambda value: isinstance(value, float),
    "string": lambda value: isinstance(value, str),
    "bool": lambda value: isinstance(value, bool),
}
TYPE_DESCRIPTIONS = {"int": "a whole number", "string": "a text"}
BOUND_CHECKS: dict[str, Callable[[float, float], bool]] = {
    ">=": lambda value, bound: value >= bound,
    "<=": lambda value, bound: value <= bound,
    ">": lambda value, bound: value > bound,
    "<": lambda value, bound: value < bound,
    "!=": lambda value, bound: value != bound,
}
KEYWORDS = {"true": True, "false": False, "null": None}


class Bound(NamedTuple):
    """A bound of a number, such as `>=0`."""

    operator: str
    limit: float


class Alternative(NamedTuple):
    """One value of a disjunction."""

    is_default: bool
    node: "Node"


@dataclass(slots=True)
class Node:
    """A scalar, a record, a list, or constraints on a value (types, bounds, alternatives).

    Attributes:
        line: Line number in the file.
        scalar: The value of a concrete scalar.
        is_known: Whether the node is a concrete scalar.
        members: The fields of a record; None for anything else.
        optional: Names of fields that need no value.
        is_closed: Whether the record accepts no further fields.
        is_open: Whether the record contains `...`, which accepts further fields.
        items: The items of a list; None where they are not known.
        element: Constraint on each item of a list.
        types: Names of types that a scalar must have.
        bounds: Bounds of a number.
        alternatives: The values of a disjunction.
    """

    line: int
    scalar: Any = None
    is_known: bool = False
    members: dict[str, "Node"] | None = None
    optional: set[str] = field(default_factory=set)
    is_closed: bool = False
    is_open: bool = False
    items: list["Node"] | None = None
    element: "Node | None" = None
    types: list[str] = field(default_factory=list)
    bounds: list[Bound] = field(default_factory=list)
    alternatives: list[Alternative] = field(default_factory=list)

    def is_list(self) -> bool:
        """Whether the node is a list or requires one."""
        return self.items is not None or self.element is not None

    def describe_expected(self) -> str:
        """Describes the values that this node accepts."""
        if self.alternatives:
            return " or ".join(alternative.node.describe_expected() for alternative in self.alternatives)
        if self.is_known:
            return format_value(self.scalar)
        if self.members is not None:
            return "a record"
        if self.is_list():
            return "a list"
        types = [TYPE_DESCRIPTIONS.get(name, f"a {name}") for name in self.types]
        return " ".join(types + [f"{operator}{limit:g}" for operator, limit in self.bounds]) or "a value"

    def describe_found(self) -> str:
        """Describes this node as a value that was found."""
        return format_value(self.scalar) if self.is_known else self.describe_expected()

    def accepts(self, value: Any) -> bool:
        """Whether this node, which has no alternatives, accepts a scalar."""
        if self.is_known:
            if type(self.scalar) is bool or type(value) is bool:
                return value is self.scalar
            return bool(value == self.scalar)
        if self.members is not None or self.is_list():
            return False
        if not all(TYPE_CHECKS[name](value) for name in self.types):
            return False
        if not self.bounds:
            return True
        return TYPE_CHECKS["number"](value) and all(
            BOUND_CHECKS[operator](value, limit) for operator, limit in self.bounds
        )


def format_value(value: Any) -> str:
    """Returns a scalar in the syntax of settings files."""
    if isinstance(value, str):
        return f'"{value}"'
    for keyword, meaning in KEYWORDS.items():
        if value is meaning:
            return keyword
    return repr(value)


def join_path(path: str, name: str) -> str:
    """Returns the path of a field of the record at `path`."""
    return f"{path}.{name}" if path else name
