"""What a pilot knows that outlives its process: versions of tables, pins, what proxies hold.  See docs/store.md."""

from quillstep.store.store import Store, StoreError

__all__ = ["Store", "StoreError"]
