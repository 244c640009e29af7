"""Errors of reading traces."""

from quillstep.errors import QuillstepError


class NoArmError(QuillstepError):
    """A folder that is no arm of a played scenario."""


class UnknownRequestError(QuillstepError):
    """A request that the record does not hold."""
