"""What the results of all benchmarks have in common."""

import platform


def machine_name() -> str:
    """The machine and the interpreter, as they stand in results."""
    return f"{platform.machine()}, Python {platform.python_version()}"
