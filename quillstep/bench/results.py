"""Functions shared by the benchmarks."""

import platform

from quillstep.invariants import Evidence
from quillstep.invariants.evidence import Row

MAX_REPORTED_VIOLATIONS = 5  # Limit of violations in a row of results.


def machine_name() -> str:
    """Returns the names of the machine and the interpreter for results."""
    return f"{platform.machine()}, Python {platform.python_version()}"


def ejected_endpoints(applied: Row) -> list[str]:
    """Returns the endpoints that an applied update ejects; each is a number as text."""
    names = [resource for resource, _ in applied["changed"]]
    return [name.rpartition("/")[2] for name in names if "/withdrawn/" in name]


def acknowledgement_times(evidence: Evidence) -> dict[tuple[str, str], float]:
    """Returns when each response was acknowledged, by proxy and nonce."""
    return {(row["proxy"], row["nonce"]): row["at"] for row in evidence.channel_rows if row["what"] == "ack"}


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile, rounded to a tenth; 0 without values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0
