"""What the results of several benchmarks have in common."""

import platform

from quillstep.invariants import Evidence

MAX_KEPT_VIOLATIONS = 5  # of one row of results


def machine_name() -> str:
    """The machine and the interpreter, as they stand in results."""
    return f"{platform.machine()}, Python {platform.python_version()}"


def acknowledgement_times(evidence: Evidence) -> dict[tuple[str, str], float]:
    """When each response was acknowledged, by its proxy and nonce."""
    return {(row["proxy"], row["nonce"]): row["at"] for row in evidence.channel_rows if row["what"] == "ack"}
