"""The earlier name of `quillstep.simulator`, kept for scripts that start it by `python -m quillstep.wirehost`."""
