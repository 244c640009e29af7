"""The thread that writes generations, many with one sync of the disk."""

import queue
import threading
import time
from collections.abc import Callable

from quillstep.files.disk import Disk, UnusableFileError
from quillstep.files.events import GenerationWritten
from quillstep.files.proxy_generations import PendingGeneration

MAX_BATCH = 512  # generations between two syncs
CLEANUP_SWAPS = 2000  # between two cleanups of files that no generation links


class GenerationWriter:
    """Writes the generations of its queue; `put` gets an event for each that is written or has failed."""

    def __init__(self, disk: Disk, put: Callable[[GenerationWritten], None]) -> None:
        self.disk, self.put = disk, put
        self.queue: queue.SimpleQueue[PendingGeneration | None] = queue.SimpleQueue()  # None: stop
        self.swaps = 0  # since the last cleanup

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self.run, name="file-writer", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread, without waiting: the disk may be slow, and `put` may be blocked."""
        self.queue.put(None)

    def run(self) -> None:
        """Until `stop`."""
        while (first := self.queue.get()) is not None:
            batch = [first]
            while len(batch) < MAX_BATCH and not self.queue.empty():
                pending = self.queue.get()
                if pending is None:
                    return
                batch.append(pending)
            self._write(batch)

    def _write(self, batch: list[PendingGeneration]) -> None:
        """Prepares all, syncs once, then swaps each in; what fails fails for its proxy alone."""
        prepared = [pending for pending in batch if self._try(pending, self._prepare)]
        try:
            self.disk.sync()
        except OSError as error:
            for pending in prepared:
                self._report(pending, str(error))
            return
        for pending in prepared:
            if self._try(pending, self._swap_in):
                self._report(pending, "")
        self.swaps += len(prepared)
        if self.swaps >= CLEANUP_SWAPS:
            self.swaps = 0
            self.disk.clear_objects()

    def _prepare(self, pending: PendingGeneration) -> None:
        self.disk.prepare(pending.directory, pending.generation.number, pending.files, pending.manifest)

    def _swap_in(self, pending: PendingGeneration) -> None:
        self.disk.swap_in(pending.directory, pending.generation.number, pending.keep)

    def _try(self, pending: PendingGeneration, step: Callable[[PendingGeneration], None]) -> bool:
        """Does one generation's step; False where it fails, which is its event."""
        try:
            step(pending)
        except (OSError, UnusableFileError) as error:
            self._report(pending, str(error) or type(error).__name__)
            return False
        return True

    def _report(self, pending: PendingGeneration, error: str) -> None:
        self.put(GenerationWritten(pending, time.monotonic() * 1000.0, error))
