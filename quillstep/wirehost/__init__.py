"""Former name of `quillstep.simulator`, kept for scripts that run `python -m quillstep.wirehost`."""
