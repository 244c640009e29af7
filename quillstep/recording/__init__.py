"""Captures: all that came into a pilot, with the times, and what it ordered; in segments that survive a kill."""

from quillstep.recording.format import CorruptBlockError, Header, Record
from quillstep.recording.reader import Incarnation, lives, read_life, record_of
from quillstep.recording.writer import RecordingWriter

__all__ = ["CorruptBlockError", "RecordingWriter", "Header", "Incarnation", "Record", "lives", "read_life", "record_of"]
