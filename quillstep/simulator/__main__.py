"""Entry point of `python -m quillstep.simulator`; errors go to standard error."""

import sys

from quillstep.simulator.host import Host, MalformedInputError


def main() -> int:
    """Serves standard input until it ends.

    Returns:
        The exit status: 1 after malformed input, an interrupt or a closed output, otherwise 0.
    """
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
