"""Why a store cannot be used, one type for each thing that a caller can do about it."""

from quillstep.errors import QuillstepError


class StoreError(QuillstepError):
    """A store cannot be used; `reason` is the one word that log events and reports show."""

    reason = "broken"


class StoreFullError(StoreError):
    """The store has reached its size limit, or the disk has no space left."""

    reason = "full"


class StoreReadOnlyError(StoreError):
    """The store may not be written."""

    reason = "read-only"


class StoreSchemaTooNewError(StoreError):
    """A later version of quillstep wrote the store."""

    reason = "newer"


class StoreCorruptError(StoreError):
    """A part of the store is missing, or a page or a value does not read."""

    reason = "bad"


class CorruptValueError(QuillstepError):
    """One stored value does not read; the message says which and why."""


class InvalidExportError(QuillstepError, ValueError):
    """A row of an export does not read; the message says which and why."""
