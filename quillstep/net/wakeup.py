"""Wakes a thread that polls: a pipe of which it polls the reading end."""

import contextlib
import os


class Wakeup:
    """`notify` may be called from any thread; `clear` and `close` belong to the thread that polls `descriptor`."""

    def __init__(self) -> None:
        self.descriptor, write_end = os.pipe()
        os.set_blocking(self.descriptor, False)
        os.set_blocking(write_end, False)
        # A file object, closed with this one: a notification after `close` must not reach another's descriptor.
        self.write_end = os.fdopen(write_end, "wb", buffering=0)
        self.is_pending = False

    def notify(self) -> None:
        """Make the descriptor readable, unless it is already."""
        if not self.is_pending:
            self.is_pending = True
            with contextlib.suppress(OSError):
                self.write_end.write(b"x")

    def clear(self) -> None:
        """Make the descriptor unreadable."""
        self.is_pending = False  # before the read: a notification after it writes again
        with contextlib.suppress(BlockingIOError):
            os.read(self.descriptor, 4096)

    def close(self) -> None:
        """Close the reading end."""
        os.close(self.descriptor)
