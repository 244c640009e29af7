"""Recordings: all events of a controller with their times and its output, in segments that survive a kill."""

from quillstep.recording.format import CorruptBlockError, Header, Record
from quillstep.recording.reader import Incarnation, read_incarnations, read_records, recorded_settings
from quillstep.recording.writer import RecordingWriter

__all__ = [
    "CorruptBlockError",
    "Header",
    "Incarnation",
    "Record",
    "RecordingWriter",
    "read_incarnations",
    "read_records",
    "recorded_settings",
]
