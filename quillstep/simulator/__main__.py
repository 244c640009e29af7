"""Runs as `python -m quillstep.simulator`: the wire on standard input and output, errors on standard error."""

import sys

from quillstep.simulator.host import Host, MalformedInputError


def main() -> int:
    """Serves the wire until the input ends; returns the exit status."""
    try:
        Host().serve(sys.stdin.buffer, sys.stdout)
    except MalformedInputError as error:
        print(error, file=sys.stderr)
        return 1
    except (KeyboardInterrupt, BrokenPipeError):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
