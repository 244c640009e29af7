"""Runs `python -m quillstep.simulator` under its former name."""

import sys

from quillstep.simulator.__main__ import main

if __name__ == "__main__":
    print("quillstep: quillstep.wirehost is now quillstep.simulator", file=sys.stderr)
    sys.exit(main())
