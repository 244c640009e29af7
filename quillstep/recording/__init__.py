"""Captures: all that came into a pilot, with the times, and what it ordered; in segments that survive a kill."""

from quillstep.recording.format import BadBlock, Header, Record
from quillstep.recording.reader import Life, lives, read_life, record_of
from quillstep.recording.writer import Capture

__all__ = ["BadBlock", "Capture", "Header", "Life", "Record", "lives", "read_life", "record_of"]
