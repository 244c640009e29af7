"""`python -m quillstep.cli`, the same as `quillstep`."""

from quillstep.cli.main import main

main()
