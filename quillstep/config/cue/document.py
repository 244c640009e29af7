"""Reads a file into plain values, with the line of each."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from quillstep.config.cue.evaluation import Evaluator
from quillstep.config.cue.grammar import parse
from quillstep.config.cue.nodes import Node, join_path
from quillstep.config.errors import ConfigError


@dataclass(slots=True)
class Origin:
    """The file that values come from, and the line of each path."""

    file: str
    lines: dict[str, int] = field(default_factory=dict)

    def line(self, path: str) -> int:
        """Returns the line of a path such as `fleet.classes.0.credit`, or of the nearest value that encloses it."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return self.lines.get(path, 1)


def read(path: str | Path) -> tuple[dict[str, Any], Origin]:
    """Reads a file into plain values; returns them and the line of each.

    Raises:
        ConfigError: The file is not in the supported subset of CUE, or values conflict.
        OSError: The file cannot be read.
        UnicodeDecodeError: The file is not UTF-8.
    """
    return read_text(Path(path).read_text(encoding="utf-8"), str(path))


def read_text(text: str, file: str) -> tuple[dict[str, Any], Origin]:
    """Reads a text into plain values; returns them and the line of each.

    Args:
        text: The text.
        file: The file name to use in errors.

    Raises:
        ConfigError: The text is not in the supported subset of CUE, or values conflict.
    """
    origin = Origin(file)
    try:
        node = Evaluator(file).document(parse(text, file))
        return _to_plain(node, "", origin), origin
    except RecursionError as error:
        raise ConfigError(file, 1, "", "values nested too deeply", "fewer levels of nesting and references") from error


def _to_plain(node: Node, path: str, origin: Origin) -> Any:
    """Converts a node to plain values, with defaults applied; raises `ConfigError` for a value that is not concrete."""
    origin.lines[path] = node.line
    if node.alternatives:
        return _to_plain(_choose_alternative(node, path, origin), path, origin)
    if node.members is not None:
        values = {}
        for name, member in node.members.items():
            if name not in node.optional and not name.startswith("#"):
                values[name] = _to_plain(member, join_path(path, name), origin)
        return values
    if node.is_list():
        return [_to_plain(item, f"{path}.{index}", origin) for index, item in enumerate(node.items or [])]
    if not node.is_known:
        raise ConfigError(origin.file, node.line, path, "no value", node.describe_expected())
    return node.scalar


def _choose_alternative(node: Node, path: str, origin: Origin) -> Node:
    """Returns the first default of a disjunction, or its only alternative."""
    for alternative in node.alternatives:
        if alternative.is_default:
            return alternative.node
    if len(node.alternatives) == 1:
        return node.alternatives[0].node
    raise ConfigError(origin.file, node.line, path, "an ambiguous value", node.describe_expected())
