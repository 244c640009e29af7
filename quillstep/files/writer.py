"""The thread that writes generations to disk, with one sync for each batch."""

import queue
import threading
import time
from collections.abc import Callable

from quillstep.files.disk import Disk, UnusableFileError
from quillstep.files.events import GenerationWritten
from quillstep.files.proxy_generations import PendingGeneration

MAX_BATCH_GENERATIONS = 512  # generations written with one sync
SWAPS_PER_CLEANUP = 2000  # swaps between two cleanups of objects that no generation links to


class GenerationWriter:
    """Writes queued generations, and publishes an event by `put` for each one that is written or has failed."""

    def __init__(self, disk: Disk, put: Callable[[GenerationWritten], None]) -> None:
        self.disk, self.put = disk, put
        self.queue: queue.SimpleQueue[PendingGeneration | None] = queue.SimpleQueue()  # None stops the thread
        self.swaps_since_cleanup = 0

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self.run, name="file-writer", daemon=True).start()

    def stop(self) -> None:
        """Stops the thread without waiting for it: the disk may be slow, and `put` may be blocked."""
        self.queue.put(None)

    def run(self) -> None:
        """Writes batches of generations until `stop` is called."""
        while (first := self.queue.get()) is not None:
            batch = [first]
            while len(batch) < MAX_BATCH_GENERATIONS and not self.queue.empty():
                pending = self.queue.get()
                if pending is None:
                    return
                batch.append(pending)
            self._write(batch)

    def _write(self, batch: list[PendingGeneration]) -> None:
        """Prepares all generations, syncs once, then swaps each in; an error of one affects its proxy only."""
        prepared = [pending for pending in batch if self._run_step(pending, self._prepare)]
        try:
            self.disk.sync()
        except OSError as error:
            for pending in prepared:
                self._report(pending, str(error))
            return
        for pending in prepared:
            if self._run_step(pending, self._swap_in):
                self._report(pending, "")
        self.swaps_since_cleanup += len(prepared)
        if self.swaps_since_cleanup >= SWAPS_PER_CLEANUP:
            self.swaps_since_cleanup = 0
            self.disk.clear_objects()

    def _prepare(self, pending: PendingGeneration) -> None:
        self.disk.prepare(pending.directory, pending.generation.number, pending.files, pending.manifest)

    def _swap_in(self, pending: PendingGeneration) -> None:
        self.disk.swap_in(pending.directory, pending.generation.number, pending.keep)

    def _run_step(self, pending: PendingGeneration, step: Callable[[PendingGeneration], None]) -> bool:
        """Runs a step for one generation; if it fails, publishes the error and returns False."""
        try:
            step(pending)
        except (OSError, UnusableFileError) as error:
            self._report(pending, str(error) or type(error).__name__)
            return False
        return True

    def _report(self, pending: PendingGeneration, error: str) -> None:
        self.put(GenerationWritten(pending, time.monotonic() * 1000.0, error))
