"""The thread that polls the files written by proxies and keeps the controller's alive file up to date."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import structlog

from quillstep.config.controller import FileSettings
from quillstep.files.disk import Disk, Stamp, UnusableFileError
from quillstep.files.events import AcknowledgementRead, FileEvent, LoadReportRead, RegistrationRead
from quillstep.files.registration import ACK, HELLO, read_registration

ALIVE_INTERVAL_SHARE = 0.1  # interval between two updates of the alive file, as a share of the idle timeout
TIMESTAMP_AMBIGUITY_MS = 100.0  # within this time, a directory may change twice under the same time stamp
CLOCK_TOLERANCE_MS = 1000.0


class SeenStamp(NamedTuple):
    """A directory's stamp, and when it was first seen on the monotonic clock."""

    stamp: Stamp | None
    seen_ms: float
    is_settled: bool = False  # later changes have another stamp


class DirectoryWatcher:
    """Polls the proxies' directories and publishes an event for each file that has changed.

    `put` blocks while the decision thread's queue is full.  Except for `start` and `stop`, all methods run in the
    watcher's thread.
    """

    def __init__(self, disk: Disk, settings: FileSettings, put: Callable[[FileEvent], None]) -> None:
        self.disk, self.settings, self.put = disk, settings, put
        self.stopping = threading.Event()
        self.stamps: dict[tuple[str, str], Stamp | None] = {}  # by directory and name
        self.directory_stamps: dict[str, SeenStamp] = {}
        self.has_scanned = False  # all directories were polled once: what changes from now on is recent
        self.errors: dict[str, str] = {}  # the error logged last, by directory
        self.log = structlog.get_logger("files")

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self.run, name="file-watcher", daemon=True).start()

    def stop(self) -> None:
        """Stops the thread without waiting for it: it may be blocked in `put` on a queue that is no longer read."""
        self.stopping.set()

    def run(self) -> None:
        """Polls until `stop` is called."""
        touched_ms = 0.0
        while not self.stopping.wait(self.settings.poll_interval_ms / 1000.0):
            try:
                now_ms = time.monotonic() * 1000.0
                if now_ms - touched_ms > ALIVE_INTERVAL_SHARE * self.settings.idle_timeout_ms:
                    self.disk.touch_alive_file()
                    touched_ms = time.monotonic() * 1000.0
                for directory in self.disk.proxies():
                    self._poll(directory)
                self.has_scanned = True
            except OSError as error:
                self._log_once("", str(error))

    def _poll(self, directory: str) -> None:
        try:
            if self._may_have_changed(directory):
                for name in (HELLO, ACK):
                    self._poll_file(directory, name)
            self._poll_reports(directory)
        except (UnusableFileError, OSError) as error:
            self._log_once(directory, str(error))
        except Exception as error:  # the files of one proxy must not end the thread, which reads those of all
            if self._log_once(directory, f"{type(error).__name__}: {error}"):
                self.log.error("reading files failed with an internal error", proxy=directory, exc_info=error)

    def _may_have_changed(self, directory: str) -> bool:
        """Compares the directory's stamp; a new one is not trusted, as another change may have the same."""
        stamp, before = self.disk.stamp(directory, ""), self.directory_stamps.get(directory)
        now_ms = time.monotonic() * 1000.0
        if stamp is None or before is None or before.stamp != stamp:
            self.directory_stamps[directory] = SeenStamp(stamp, now_ms)
            return True
        if before.is_settled:
            return False
        is_settled = now_ms - before.seen_ms > TIMESTAMP_AMBIGUITY_MS
        self.directory_stamps[directory] = before._replace(is_settled=is_settled)
        return True

    def _poll_file(self, directory: str, name: str) -> None:
        if self.disk.stamp(directory, name) == self.stamps.get((directory, name)):
            return
        file = self.disk.read(name, directory)
        self.stamps[directory, name] = file.stamp if file else None
        if file:
            age_ms = 0.0 if self.has_scanned else _age_ms(file.stamp)
            if name == HELLO:
                self.put(RegistrationRead(directory, read_registration(self.disk, directory, file.data), age_ms))
            else:
                self.put(AcknowledgementRead(directory, file.data, age_ms))

    def _poll_reports(self, directory: str) -> None:
        if self.disk.stamp(directory, "load") == self.stamps.get((directory, "load")):
            return
        for name in self.disk.reports(directory):
            file = self.disk.read(name, directory, "load")
            self.disk.remove_report(directory, name)
            if file:
                self.put(LoadReportRead(directory, file.data))
        self.stamps[directory, "load"] = self.disk.stamp(directory, "load")

    def _log_once(self, directory: str, error: str) -> bool:
        """Logs an error of a directory unless it equals the one logged last; returns whether it was logged."""
        if self.errors.get(directory) == error:
            return False
        self.errors[directory] = error
        self.log.warning("path rejected", proxy=directory, reason=error)
        return True


def _age_ms(stamp: Stamp) -> float:
    """Return the age of a file by the wall clock; infinity if it is dated in the future, as the clock was stepped."""
    age_ms = time.time() * 1000.0 - stamp.modified_ns / 1e6
    return age_ms if age_ms >= -CLOCK_TOLERANCE_MS else float("inf")
