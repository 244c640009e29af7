"""Nested JSON settings in the flat form of the simulator's `start`, which the planner's configuration is read from."""

from typing import Any


def flatten_settings(value: Any, path: str = "") -> dict[str, str]:
    """Return settings by dotted path: lists joined by commas, lists of objects by index with their count."""
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
