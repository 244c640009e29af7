"""The base of all errors that quillstep raises on purpose."""


class QuillstepError(Exception):
    """Something a caller can act on; the message says what was wrong, where, and with which value."""
