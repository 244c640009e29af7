"""The base class of all settings records, aliases for names in settings files, and constrained types."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]
PositiveCount = Annotated[int, Field(ge=1)]
Share = Annotated[float, Field(ge=0, le=1)]
Address = Annotated[str, Field(pattern=r"^[0-9A-Za-z.\-\[\]:]*:\d{1,5}$")]


class Settings(BaseModel):
    """A settings record that rejects unknown fields, converts no types silently and is immutable.

    Names end in their units: `_ms` milliseconds, `_s` seconds, `_per_s` per second, `_bytes` bytes; a share is 0 to 1.
    A field whose name in settings files differs from its name in the code has the former as its alias (`in_file`).
    """

    model_config = ConfigDict(
        extra="forbid",
        strict=True,
        frozen=True,
        validate_by_name=True,
        validate_by_alias=True,
        serialize_by_alias=True,
    )


def in_file(name: str) -> Any:
    """Returns a field with this name as its alias: the name used in settings files."""
    return Field(alias=name)
