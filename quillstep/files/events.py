"""Events that the file front's threads publish to the decision thread."""

from typing import NamedTuple

from quillstep.files.proxy_generations import PendingGeneration
from quillstep.files.registration import RegisteredProxy


class RegistrationRead(NamedTuple):
    """A proxy has written its registration; `content` is the reason as text if the registration is invalid."""

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
    """A generation has been published, or could not be written for the reason in `error`."""

    pending: PendingGeneration
    written_ms: float
    error: str


FileEvent = RegistrationRead | AcknowledgementRead | LoadReportRead | GenerationWritten
