"""Errors of reading traces."""

from quillstep.errors import QuillstepError


class NoArmError(QuillstepError):
    """A folder does not hold an arm of a played scenario."""


class UnknownRequestError(QuillstepError):
    """A request is not in the socket record."""
