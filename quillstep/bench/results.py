"""What the results of several benchmarks have in common."""

import platform

from quillstep.invariants import Evidence
from quillstep.invariants.evidence import Row

MAX_KEPT_VIOLATIONS = 5  # of one row of results


def machine_name() -> str:
    """The machine and the interpreter, as they stand in results."""
    return f"{platform.machine()}, Python {platform.python_version()}"


def ejected_endpoints(applied: Row) -> list[str]:
    """The endpoints that an applied update ejects, by number as text."""
    names = [resource for resource, _ in applied["changed"]]
    return [name.rpartition("/")[2] for name in names if "/withdrawn/" in name]


def acknowledgement_times(evidence: Evidence) -> dict[tuple[str, str], float]:
    """When each response was acknowledged, by its proxy and nonce."""
    return {(row["proxy"], row["nonce"]): row["at"] for row in evidence.channel_rows if row["what"] == "ack"}


def quantile(values: list[float], share: float) -> float:
    """A quantile, rounded to a tenth; 0 without values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0
