"""The rules by name, and violations of them."""

from enum import StrEnum
from typing import NamedTuple


class Rule(StrEnum):
    """The rules; the values are the names in printed and stored results."""

    NO_ENDPOINT = "bare"
    DUPLICATE_EFFECT = "twice"
    LATE_AFTER_DRAIN = "drain"
    WARM_UP_OVERLOAD = "cold"
    CHANNEL_LIMIT = "queue"


class Violation(NamedTuple):
    """A violation of a rule: when, where and by which request."""

    rule: Rule
    at_ms: float
    text: str
    proxy: str = ""
    endpoint: int = 0
    request: str = ""

    def to_row(self) -> dict[str, str | float]:
        """Returns the violation under the keys of printed and stored results."""
        row = self._asdict()
        row["exchange"] = row.pop("request")
        return row
