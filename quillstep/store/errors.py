"""Errors of the store, with one type for each way in which callers can handle them."""

from quillstep.errors import QuillstepError


class StoreError(QuillstepError):
    """A store cannot be used; `reason` is a constant that log events and reports contain."""

    reason = "broken"
    is_retryable = False  # the same write may succeed later


class StoreFullError(StoreError):
    """The store has reached its size limit, or the disk has no space left."""

    reason = "full"


class StoreDiskError(StoreError):
    """The disk did not take a write or a sync; it may do so later."""

    reason = "disk"
    is_retryable = True


class StoreReadOnlyError(StoreError):
    """The store is read-only."""

    reason = "read-only"


class StoreSchemaTooNewError(StoreError):
    """The store was written by a newer version of quillstep."""

    reason = "newer"


class StoreCorruptError(StoreError):
    """A database of the store is missing, or a page or a value is corrupt."""

    reason = "bad"


class CorruptValueError(QuillstepError):
    """A stored value is corrupt; the message contains its key and the cause."""


class InvalidExportError(QuillstepError, ValueError):
    """A row of an export is invalid; the message contains its number and the cause."""
