"""A subset of CUE: records, definitions, bounds, disjunctions, defaults, lists, references, comments.

What is read (the rest of CUE is refused with file and line): fields `name: value`, `name?: value`, nested
shorthand `a: b: 1`; definitions `#Name: {...}`, closed unless they hold `...`; `&` unifies, `|` chooses, `*`
marks a default; bounds `>=0`, `<10`, `!=0`; the types `int number float string bool null`; lists `[1, 2]` and
`[...type]`; references to a field of an enclosing record; `//` comments.  No imports, no interpolation, no
comprehensions, no arithmetic.  The syntax is the published language's; one file is one record.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

GRAMMAR = r"""
start: "{" _members? "}" | _members?
_members: member (","? member)* ","?
?member: field | embed | open
field: label mark? ":" (nested | value)
nested: label mark? ":" (nested | value)
!mark: "?" | "!"
label: NAME | DEFINITION | STRING
open: "..."
embed: "&" value
?value: choice
?choice: option ("|" option)*
?option: both | default
default: "*" both
?both: single ("&" single)*
?single: record | list | bound | NUMBER -> number | STRING -> string | ref
bound: BOUND NUMBER
record: "{" _members? "}"
list: "[" [item ("," item)* ","?] "]"
?item: value | rest
rest: "..." value?
ref: (NAME | DEFINITION) ("." (NAME | DEFINITION))*
BOUND: ">=" | "<=" | ">" | "<" | "!="
DEFINITION: /#[A-Za-z_][A-Za-z0-9_]*/
NAME: /[A-Za-z_$][A-Za-z0-9_$]*/
NUMBER: /-?(\d[\d_]*)(\.\d+)?([eE][+-]?\d+)?/
STRING: /"(\\.|[^"\\\n])*"/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "/": "/", "r": "\r"}
TYPES: dict[str, Callable[[Any], bool]] = {
    "int": lambda v: isinstance(v, int) and not isinstance(v, bool),
    "number": lambda v: isinstance(v, int | float) and not isinstance(v, bool),
    "float": lambda v: isinstance(v, float),
    "string": lambda v: isinstance(v, str),
    "bool": lambda v: isinstance(v, bool),
}
HOLDS: dict[str, Callable[[float, float], bool]] = {
    ">=": lambda v, b: v >= b,
    "<=": lambda v, b: v <= b,
    ">": lambda v, b: v > b,
    "<": lambda v, b: v < b,
    "!=": lambda v, b: v != b,
}


class ConfigError(Exception):
    """Settings that do not check; the text names file, line, path, what was found and what was expected."""

    def __init__(self, file: str, line: int, path: str, found: str, expected: str) -> None:
        self.file, self.line, self.path, self.found, self.expected = file, line, path, found, expected
        super().__init__(f"{file}:{line}: {path or 'the file'}: found {found}, expected {expected}")


@dataclass(slots=True)
class Node:
    """A value as far as it is known: plain, record, list, or what it must be (types, bounds, choices)."""

    line: int
    plain: Any = None
    known: bool = False
    record: dict[str, "Node"] | None = None
    optional: set[str] = field(default_factory=set)
    closed: bool = False
    items: list["Node"] | None = None
    each: "Node | None" = None  # what every item of a list must be
    kinds: list[str] = field(default_factory=list)
    bounds: list[tuple[str, float]] = field(default_factory=list)
    choices: list[tuple[bool, "Node"]] = field(default_factory=list)  # (default, node)

    def wanted(self) -> str:
        """What this node asks for, in words."""
        if self.choices:
            return " or ".join(node.wanted() for _, node in self.choices)
        if self.known:
            return shown(self.plain)
        if self.record is not None:
            return "a record"
        if self.items is not None or self.each is not None:
            return "a list"
        parts = [{"int": "a whole number", "string": "a text"}.get(kind, f"a {kind}") for kind in self.kinds]
        return " ".join(parts + [f"{op}{bound:g}" for op, bound in self.bounds]) or "a value"

    def found(self) -> str:
        return shown(self.plain) if self.known else self.wanted()


@dataclass(slots=True)
class Origin:
    """Where each path of a file was written: `line(path)` for a path such as `fleet.classes.0.priority_weight`."""

    file: str
    lines: dict[str, int]

    def line(self, path: str) -> int:
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return self.lines.get(path, 1)


def shown(value: Any) -> str:
    if isinstance(value, str):
        return f'"{value}"'
    return {True: "true", False: "false", None: "null"}.get(value, f"{value!r}") if (
        value is None or isinstance(value, bool)
    ) else repr(value)  # fmt: skip


def read(path: str | Path) -> tuple[dict[str, Any], Origin]:
    """A file as plain values and the lines they stand on.  Raises `ConfigError`, and OSError where it can't be read."""
    return read_text(Path(path).read_text(encoding="utf-8"), str(path))


def read_text(text: str, file: str) -> tuple[dict[str, Any], Origin]:
    """The same for a text; `file` is the name that faults give."""
    try:
        tree = _grammar().parse(text)
    except UnexpectedToken as trouble:
        raise ConfigError(file, trouble.line, "", f"{trouble.token!s}" or "the end", _hopes(trouble)) from None
    except UnexpectedCharacters as trouble:
        raise ConfigError(file, trouble.line, "", text[trouble.pos_in_stream :][:1], "a value or a name") from None
    except UnexpectedInput:
        raise ConfigError(file, text.count("\n") + 1, "", "the end", "the rest of a record") from None
    reader = _Reader(file)
    node = reader.members(tree.children, [], 1, "")
    origin = Origin(file, {})
    return reader.settle(node, "", origin), origin


def _hopes(trouble: UnexpectedToken) -> str:
    names = {
        "RBRACE": "}",
        "RSQB": "]",
        "COLON": ":",
        "NAME": "a name",
        "STRING": "a text",
        "NUMBER": "a number",
    }
    return " or ".join(sorted({names[name] for name in trouble.expected if name in names})) or "another token"


@cache
def _grammar() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


class _Reader:
    """Turns the tree into nodes; scopes are the records around a value, the nearest last."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.open: set[int] = set()  # references being followed, to tell a circle

    def fault(self, line: int, path: str, found: str, expected: str) -> ConfigError:
        return ConfigError(self.file, line, path, found, expected)

    def members(self, children: list, scopes: list[dict], line: int, path: str) -> Node:
        raw: dict[str, list[Tree]] = {}
        optional: set[str] = set()
        required: set[str] = set()
        embeds, is_open = [], False
        for child in children:
            if child.data == "open":
                is_open = True
            elif child.data == "embed":
                embeds.append(child.children[0])
            else:
                name, mark, value = _split(child)
                raw.setdefault(name, []).append(value)
                (optional if mark == "?" else required).add(name)
        node = Node(line, record={}, optional=optional - required)
        scope: dict[str, Any] = {"raw": raw, "scopes": scopes, "path": path}
        inner = [*scopes, scope]
        assert node.record is not None
        for name, values in raw.items():
            at = f"{path}.{name}" if path else name
            for value in values:
                if name.startswith("#"):
                    continue  # read where it is referred to
                got = self.value(value, inner, at)
                held = node.record.get(name)
                node.record[name] = self.unify(held, got, at) if held else got
        node.closed = False
        for embed in embeds:
            node = self.unify(node, self.value(embed, inner, path), path)
        if is_open:
            node.optional.add("...")
        return node

    def value(self, tree: Tree | Token, scopes: list[dict], path: str) -> Node:
        assert isinstance(tree, Tree)
        line = getattr(tree.meta, "line", 0) or 1
        kids = tree.children
        if tree.data == "field" or tree.data == "nested":
            return self.members([tree], scopes, line, path)
        if tree.data == "number":
            text = str(kids[0]).replace("_", "")
            plain: Any = float(text) if any(sign in text for sign in ".eE") else int(text)
            return Node(line, plain=plain, known=True)
        if tree.data == "string":
            return Node(line, plain=_unquote(str(kids[0])), known=True)
        if tree.data == "bound":
            return Node(line, bounds=[(str(kids[0]), float(str(kids[1]).replace("_", "")))])
        if tree.data == "record":
            return self.members(kids, scopes, line, path)
        if tree.data == "list":
            return self.sequence(kids, scopes, line, path)
        if tree.data == "both":
            node = self.value(kids[0], scopes, path)
            for kid in kids[1:]:
                node = self.unify(node, self.value(kid, scopes, path), path)
            return node
        if tree.data == "default":
            return Node(line, choices=[(True, self.value(kids[0], scopes, path))])
        if tree.data == "choice":
            return Node(line, choices=list(self.options(kids, scopes, path)))
        return self.reference([str(kid) for kid in kids], scopes, line, path)

    def options(self, kids: list, scopes: list[dict], path: str) -> Iterator[tuple[bool, Node]]:
        for kid in kids:
            if isinstance(kid, Tree) and kid.data == "default":
                yield True, self.value(kid.children[0], scopes, path)
            else:
                yield False, self.value(kid, scopes, path)

    def sequence(self, kids: list, scopes: list[dict], line: int, path: str) -> Node:
        items: list[Node] = []
        node = Node(line, items=items)
        for at, kid in enumerate(kid for kid in kids if kid is not None):
            if kid.data == "rest":
                node.each = self.value(kid.children[0], scopes, path) if kid.children else Node(line)
                if not items:
                    node.items = None
            else:
                items.append(self.value(kid, scopes, f"{path}.{at}"))
        return node

    def reference(self, names: list[str], scopes: list[dict], line: int, path: str) -> Node:
        first = names[0]
        for at in range(len(scopes) - 1, -1, -1):
            scope = scopes[at]
            if first not in scope["raw"]:
                continue
            mark = id(scope["raw"][first])
            if mark in self.open:
                raise self.fault(line, path, f"{first}, which refers to itself", "a value")
            self.open.add(mark)
            values = [self.value(value, scopes[: at + 1], path) for value in scope["raw"][first]]
            self.open.discard(mark)
            node = values[0]
            for more in values[1:]:
                node = self.unify(node, more, path)
            for name in names[1:]:
                if node.record is None or name not in node.record:
                    raise self.fault(line, path, ".".join(names), f"a field {name!r} of {first}")
                node = node.record[name]
            if first.startswith("#") and node.record is not None and "..." not in node.optional:
                node.closed = True
            return _at(node, line)
        if first in TYPES and len(names) == 1:
            return Node(line, kinds=[first])
        if first in ("true", "false", "null") and len(names) == 1:
            return Node(line, plain={"true": True, "false": False, "null": None}[first], known=True)
        raise self.fault(line, path, ".".join(names), "the name of a field, a definition or a type")

    def unify(self, one: Node, two: Node, path: str) -> Node:
        """Both at once, or a fault that names where the later one stands."""
        if one.choices or two.choices:
            return self.choose(one, two, path)
        if one.record is not None and two.record is not None:
            return self.merge(one, two, path)
        if two.known and not one.known:
            one, two = two, one
        if one.known:
            later, rule = (two, one) if two.known else (one, two)
            self.check(later, rule, path)
            return one
        if (one.items is not None or one.each) and (two.items is not None or two.each):
            return self.unify_lists(one, two, path)
        structured = [n for n in (one, two) if n.record is not None or n.items is not None or n.each]
        if structured and any(n.kinds or n.bounds or n not in structured and n.known for n in (one, two)):
            raise self.fault(two.line, path, one.found(), two.wanted())
        if structured:
            if len(structured) == 2:
                raise self.fault(one.line, path, one.found(), two.wanted())
            return structured[0]
        return Node(one.line, kinds=one.kinds + two.kinds, bounds=one.bounds + two.bounds)

    def choose(self, one: Node, two: Node, path: str) -> Node:
        left = one.choices or [(False, one)]
        right = two.choices or [(False, two)]
        left_default = any(default for default, _ in left)
        right_default = any(default for default, _ in right)
        kept: list[tuple[bool, Node]] = []
        troubles: list[ConfigError] = []
        for first, a in left:
            for second, b in right:
                try:
                    chosen = (first or not left_default) and (second or not right_default)
                    kept.append((chosen and (left_default or right_default), self.unify(a, b, path)))
                except ConfigError as trouble:
                    troubles.append(trouble)
        if not kept:
            given, asked = (one, two) if one.known or one.record is not None else (two, one)
            if len(troubles) == 1 or given.record is not None:
                raise troubles[0]
            raise self.fault(given.line, path, given.found(), asked.wanted())
        if len(kept) == 1:
            return kept[0][1]
        return Node(two.line, choices=kept)

    def merge(self, one: Node, two: Node, path: str) -> Node:
        assert one.record is not None and two.record is not None
        for shut, other in ((one, two), (two, one)):
            assert shut.record is not None and other.record is not None
            if shut.closed:
                for name, node in other.record.items():
                    if name not in shut.record:
                        at = f"{path}.{name}" if path else name
                        known = ", ".join(sorted(n for n in shut.record if not n.startswith("#")))
                        raise self.fault(node.line, at, f"the field {name!r}", f"one of {known}")
        merged = dict(one.record)
        for name, node in two.record.items():
            at = f"{path}.{name}" if path else name
            merged[name] = self.unify(merged[name], node, at) if name in merged else node
        given = (set(one.record) - one.optional) | (set(two.record) - two.optional)
        optional = (one.optional | two.optional) - given
        return Node(two.line, record=merged, optional=optional, closed=one.closed or two.closed)

    def unify_lists(self, one: Node, two: Node, path: str) -> Node:
        if one.items is None or two.items is None:
            given, rule = (one, two) if one.items is not None else (two, one)
            if given.items is None:
                assert one.each and two.each
                return Node(one.line, each=self.unify(one.each, two.each, path))
            assert rule.each
            each = rule.each
            items = [self.unify(each, item, f"{path}.{at}") for at, item in enumerate(given.items)]
            return Node(given.line, items=items, each=rule.each)
        if len(one.items) != len(two.items):
            raise self.fault(two.line, path, f"{len(two.items)} items", f"{len(one.items)}")
        pairs = enumerate(zip(one.items, two.items, strict=True))
        return Node(two.line, items=[self.unify(a, b, f"{path}.{at}") for at, (a, b) in pairs])

    def check(self, plain: Node, rule: Node, path: str) -> None:
        value = plain.plain
        if rule.known:
            if type(rule.plain) is bool or type(value) is bool:
                same = value is rule.plain
            else:
                same = value == rule.plain
        else:
            same = rule.record is None and rule.items is None and rule.each is None
            same = same and all(TYPES[kind](value) for kind in rule.kinds)
            if rule.bounds:
                same = same and TYPES["number"](value)
                same = same and all(HOLDS[op](value, bound) for op, bound in rule.bounds)
        if not same:
            raise self.fault(plain.line, path, plain.found(), rule.wanted())

    def settle(self, node: Node, path: str, origin: Origin) -> Any:
        """The plain values of a node, defaults chosen; a value that is still open is a fault."""
        origin.lines[path] = node.line
        if node.choices:
            defaults = [n for default, n in node.choices if default] or [
                n for _, n in node.choices if len(node.choices) == 1
            ]
            if not defaults:
                raise self.fault(node.line, path, "nothing chosen", node.wanted())
            return self.settle(defaults[0], path, origin)
        if node.record is not None:
            found = {}
            for name, member in node.record.items():
                if name in node.optional or name.startswith("#"):
                    continue
                found[name] = self.settle(member, f"{path}.{name}" if path else name, origin)
            return found
        if node.items is not None or node.each is not None:
            return [self.settle(item, f"{path}.{at}", origin) for at, item in enumerate(node.items or [])]
        if not node.known:
            raise self.fault(node.line, path, "no value", node.wanted())
        return node.plain


def _at(node: Node, line: int) -> Node:
    """A scalar that is referred to stands on the line that refers to it; records keep their own lines."""
    if node.record is None and node.items is None:
        node.line = line
    return node


def _split(tree: Tree) -> tuple[str, str, Tree]:
    label = str(tree.children[0].children[0])
    name = _unquote(label) if label.startswith('"') else label
    rest = tree.children[1:]
    mark = str(rest[0].children[0]) if rest[0].data == "mark" else ""
    return name, mark, rest[-1]


def _unquote(text: str) -> str:
    out, at = [], 1
    while at < len(text) - 1:
        if text[at] == "\\":
            at += 1
            out.append(ESCAPES.get(text[at], text[at]))
        else:
            out.append(text[at])
        at += 1
    return "".join(out)
