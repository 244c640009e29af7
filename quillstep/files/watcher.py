"""The thread that reads what proxies write, and says that their controller is alive."""

import threading
import time
from collections.abc import Callable
from typing import Any

import structlog

from quillstep.config.controller import FileSettings
from quillstep.files.disk import Disk, Stamp, UnusableFileError
from quillstep.files.registration import ACK, HELLO, read_registration

ALIVE_INTERVAL_SHARE = 0.1  # of the idle timeout, between two signs of life
FRESH_MS = 100.0  # in which a directory may change twice under one time stamp


class DirectoryWatcher:
    """Polls the proxies' directories and puts an event for each file that has changed.

    `put` blocks while the deciding thread's queue is full.  All but `stop` belongs to the watcher's thread.
    """

    def __init__(self, disk: Disk, settings: FileSettings, put: Callable[[tuple[Any, ...]], None]) -> None:
        self.disk, self.settings, self.put = disk, settings, put
        self.stopping = threading.Event()
        self.stamps: dict[tuple[str, str], Stamp | None] = {}  # by directory and file; of the directory itself by ""
        self.errors: dict[str, str] = {}  # logged last, by directory
        self.log = structlog.get_logger("files")

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self.run, name="file-watcher", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread, without waiting: it may be blocked in `put`, which nobody takes from any more."""
        self.stopping.set()

    def run(self) -> None:
        """Until `stop`."""
        alive_ms = 0.0
        while not self.stopping.wait(self.settings.poll_interval_ms / 1000.0):
            try:
                now_ms = time.monotonic() * 1000.0
                if now_ms - alive_ms > ALIVE_INTERVAL_SHARE * self.settings.idle_timeout_ms:
                    self.disk.alive()
                    alive_ms = time.monotonic() * 1000.0
                for directory in self.disk.proxies():
                    self._poll(directory)
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

    def _may_have_changed(self, directory: str) -> bool:
        """By the directory's own stamp, unless it is so fresh that another change may share it."""
        stamp = self.disk.stamp(directory, "")
        is_settled = stamp is not None and _age_ms(stamp) > FRESH_MS
        is_unchanged = is_settled and self.stamps.get((directory, "")) == stamp
        self.stamps[directory, ""] = stamp if is_settled else None
        return not is_unchanged

    def _poll_file(self, directory: str, name: str) -> None:
        if self.disk.stamp(directory, name) == self.stamps.get((directory, name)):
            return
        file = self.disk.read(name, directory)
        self.stamps[directory, name] = file.stamp if file else None
        if file:
            age_ms = _age_ms(file.stamp)
            is_hello = name == HELLO
            content = read_registration(self.disk, directory, file.data) if is_hello else file.data
            self.put(("files", "hello" if is_hello else "ack", directory, content, age_ms))

    def _poll_reports(self, directory: str) -> None:
        if self.disk.stamp(directory, "load") == self.stamps.get((directory, "load")):
            return
        for name in self.disk.reports(directory):
            file = self.disk.read(name, directory, "load")
            self.disk.drop_report(directory, name)
            if file:
                self.put(("files", "load", directory, file.data, 0.0))
        self.stamps[directory, "load"] = self.disk.stamp(directory, "load")

    def _log_once(self, directory: str, error: str) -> None:
        """Logs what can't be read, once for each state of it."""
        if self.errors.get(directory) != error:
            self.errors[directory] = error
            self.log.warning("path rejected", proxy=directory, reason=error)


def _age_ms(stamp: Stamp) -> float:
    return time.time() * 1000.0 - stamp.modified_ns / 1e6
