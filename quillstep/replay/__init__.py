"""Replaying a day: the captured news through the real pilot on a virtual clock."""
