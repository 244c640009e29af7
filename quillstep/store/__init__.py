"""Persistent state of a controller: table versions, pins, acknowledged updates.  See docs/store.md."""

from quillstep.store.errors import (
    StoreCorruptError,
    StoreError,
    StoreFullError,
    StoreReadOnlyError,
    StoreSchemaTooNewError,
)
from quillstep.store.store import Store

__all__ = [
    "Store",
    "StoreCorruptError",
    "StoreError",
    "StoreFullError",
    "StoreReadOnlyError",
    "StoreSchemaTooNewError",
]
