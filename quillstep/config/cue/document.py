"""A file as plain values, and the lines that they stand on."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from quillstep.config.cue.evaluation import Evaluator
from quillstep.config.cue.grammar import parse
from quillstep.config.cue.nodes import Node, join_path
from quillstep.config.errors import ConfigError


@dataclass(slots=True)
class Origin:
    """Where each path of a file was written."""

    file: str
    lines: dict[str, int] = field(default_factory=dict)

    def line(self, path: str) -> int:
        """The line of a path such as `fleet.classes.0.priority_weight`, or of what is nearest around it."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return self.lines.get(path, 1)


def read(path: str | Path) -> tuple[dict[str, Any], Origin]:
    """A file as plain values, and where they stand.

    Raises:
        ConfigError: The file is not in the language's subset, or its values do not fit.
        OSError: The file can't be read.
        UnicodeDecodeError: The file is not UTF-8.
    """
    return read_text(Path(path).read_text(encoding="utf-8"), str(path))


def read_text(text: str, file: str) -> tuple[dict[str, Any], Origin]:
    """A text as plain values, and where they stand; `file` is the name that errors give.

    Raises:
        ConfigError: The text is not in the language's subset, or its values do not fit.
    """
    node = Evaluator(file).document(parse(text, file))
    origin = Origin(file)
    return _concrete(node, "", origin), origin


def _concrete(node: Node, path: str, origin: Origin) -> Any:
    """The plain values of a node, defaults chosen; a value that is still open is an error."""
    origin.lines[path] = node.line
    if node.alternatives:
        return _concrete(_chosen(node, path, origin), path, origin)
    if node.members is not None:
        values = {}
        for name, member in node.members.items():
            if name not in node.optional and not name.startswith("#"):
                values[name] = _concrete(member, join_path(path, name), origin)
        return values
    if node.is_list():
        return [_concrete(item, f"{path}.{index}", origin) for index, item in enumerate(node.items or [])]
    if not node.is_known:
        raise ConfigError(origin.file, node.line, path, "no value", node.describe_expected())
    return node.scalar


def _chosen(node: Node, path: str, origin: Origin) -> Node:
    """The first default of a disjunction, or its only alternative."""
    for alternative in node.alternatives:
        if alternative.is_default:
            return alternative.node
    if len(node.alternatives) == 1:
        return node.alternatives[0].node
    raise ConfigError(origin.file, node.line, path, "nothing chosen", node.describe_expected())
