"""Benchmarks of the `quillstep bench` commands."""
