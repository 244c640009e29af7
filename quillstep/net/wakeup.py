"""Wakes a polling thread through a pipe whose read end it polls."""

import contextlib
import os


class Wakeup:
    """A pipe with a pollable read end, `descriptor`.

    `notify` may be called from any thread, `clear` and `close` only from the polling thread.
    """

    def __init__(self) -> None:
        self.descriptor, write_end = os.pipe()
        os.set_blocking(self.descriptor, False)
        os.set_blocking(write_end, False)
        # A file object, so that the write end stays open as long as this object: a notification after `close` must not
        # write to a descriptor that has been reused.
        self.write_end = os.fdopen(write_end, "wb", buffering=0)
        self.is_pending = False

    def notify(self) -> None:
        """Make the descriptor readable, unless it already is."""
        if not self.is_pending:
            self.is_pending = True
            with contextlib.suppress(OSError):
                self.write_end.write(b"x")

    def clear(self) -> None:
        """Drain the pipe, so that the descriptor is no longer readable."""
        self.is_pending = False  # reset before the read: a later notification writes again
        with contextlib.suppress(BlockingIOError):
            os.read(self.descriptor, 4096)

    def close(self) -> None:
        """Close the read end."""
        os.close(self.descriptor)
