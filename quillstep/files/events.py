"""Events that the file front's own threads hand to the deciding thread."""

from typing import NamedTuple

from quillstep.files.proxy_generations import PendingGeneration
from quillstep.files.registration import RegisteredProxy


class RegistrationRead(NamedTuple):
    """A proxy has written its registration; a text in place of its content says why that is unusable."""

    directory: str
    content: RegisteredProxy | str
    age_ms: float


class AcknowledgementRead(NamedTuple):
    """A proxy has written its acknowledgement file."""

    directory: str
    data: bytes
    age_ms: float


class LoadReportRead(NamedTuple):
    """A proxy has written a load report."""

    directory: str
    data: bytes


class GenerationWritten(NamedTuple):
    """A generation has been published, or has failed for the reason in `error`."""

    pending: PendingGeneration
    written_ms: float
    error: str


FileEvent = RegistrationRead | AcknowledgementRead | LoadReportRead | GenerationWritten
