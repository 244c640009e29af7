"""Run as `python -m quillstep.simulator`: wire on standard input and output, trouble on standard error."""

import sys

from quillstep.simulator.host import Host, MalformedInputError


def main() -> int:
    try:
        Host().serve(sys.stdin.buffer, sys.stdout)
    except MalformedInputError as trouble:
        print(trouble, file=sys.stderr)
        return 1
    except (KeyboardInterrupt, BrokenPipeError):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
