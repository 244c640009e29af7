"""What all settings records share: strictness, the names used in files, and constrained types."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]
PositiveCount = Annotated[int, Field(ge=1)]
Share = Annotated[float, Field(ge=0, le=1)]
Address = Annotated[str, Field(pattern=r"^[0-9A-Za-z.\-\[\]:]*:\d{1,5}$")]


class Settings(BaseModel):
    """A settings record: no unknown fields, no silent conversions, immutable once checked.

    Units are in the names: `_ms` milliseconds, `_s` seconds, `_per_s` per second, `_bytes` bytes; a share is 0 to 1.
    A field whose name in settings files differs from its name here carries that name as its alias (`in_file`).
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
    """The name of a field in settings files, where it is not the name in the code."""
    return Field(alias=name)
