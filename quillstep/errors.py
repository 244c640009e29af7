"""Base class of the errors that quillstep raises."""


class QuillstepError(Exception):
    """An error that a caller can handle; the message names the place, the problem and the invalid value."""
