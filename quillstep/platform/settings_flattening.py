"""Flattens nested JSON settings to the simulator's `start` fields, from which the planner's configuration is read."""

from typing import Any


def flatten_settings(value: Any, path: str = "") -> dict[str, str]:
    """Return the settings as strings by dotted path.

    A list of scalars becomes one value joined by commas.  A list of objects becomes a field `PATH.count` and one path
    per index.
    """
    if isinstance(value, dict):
        return _flatten_fields({f"{path}.{name}" if path else name: inner for name, inner in value.items()})
    if isinstance(value, list) and any(isinstance(each, dict) for each in value):
        fields = {f"{path}.{index}": inner for index, inner in enumerate(value)}
        return {f"{path}.count": str(len(value)), **_flatten_fields(fields)}
    return {path: ",".join(_scalar_text(each) for each in value) if isinstance(value, list) else _scalar_text(value)}


def _flatten_fields(fields: dict[str, Any]) -> dict[str, str]:
    flat: dict[str, str] = {}
    for path, inner in fields.items():
        flat.update(flatten_settings(inner, path))
    return flat


def _scalar_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return "" if value is None else str(value)
