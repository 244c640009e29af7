"""The pool of reader processes of a controller: starts them, sends them messages and receives their summaries.

A process that exits is restarted at the same address; reports whose summary it had not sent are lost and do not count.
"""

import contextlib
import os
import queue
import subprocess
import sys
import threading
from collections.abc import Callable

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.errors import QuillstepError
from quillstep.load_reports.events import ReportsSummarized
from quillstep.load_reports.messages import (
    AddEndpoints,
    Configuration,
    MembershipChange,
    MessageFromReader,
    ProxyJoined,
    ProxyLeft,
    ProxyReleased,
    ReaderReady,
    ReportRequest,
    ReportStreamOpened,
    WindowDrained,
)
from quillstep.load_reports.readers.framing import FrameBuffer, decode_from_reader, encode_frame
from quillstep.load_reports.readers.ownership import ReaderCommand, ReportOwnership

READ_BYTES = 256 * 1024  # largest single read of a process's output
START_TIMEOUT_S = 30.0
RESTART_DELAY_S = 0.2

WriteQueue = queue.SimpleQueue[bytes | None]  # None closes the process's input


class ReaderStartError(QuillstepError):
    """A reader process did not start in time."""


class ReaderPool:
    """All reader processes of one controller.

    Each process has one thread that starts it and reads its output, and one that writes its input.  `lock` guards
    `ownership` and `write_queues`.  `put` is called with each summary as an event and may block.
    """

    def __init__(self, settings: ControllerSettings, put: Callable[[ReportsSummarized], None]) -> None:
        self.settings, self.put = settings, put
        self.ownership = ReportOwnership()
        self.lock = threading.Lock()
        self.addresses = list(settings.reports.listen)
        self.write_queues: list[WriteQueue] = [queue.SimpleQueue() for _ in self.addresses]
        self.stopping = threading.Event()
        self.log = structlog.get_logger("reports")

    def start(self) -> None:
        """Starts all processes and waits until they accept connections.

        Raises:
            ReaderStartError: A process is not ready within `START_TIMEOUT_S`.
        """
        ready = [threading.Event() for _ in self.addresses]
        for reader, event in enumerate(ready):
            name = f"report-reader-{reader}"
            threading.Thread(target=self._supervise, name=name, args=(reader, event), daemon=True).start()
        if not all(event.wait(START_TIMEOUT_S) for event in ready):
            raise ReaderStartError("load report reader process did not start in time")

    def notify(self, changes: list[MembershipChange], requests: list[ReportRequest], names: dict[int, str]) -> None:
        """Forwards membership changes and report requests to the readers; called from the decision thread."""
        with self.lock:
            for change in changes:
                self._send(self._commands(change))
            for request in requests:
                if request.proxy in names:
                    self._send(self.ownership.request_reports(names[request.proxy], request))

    def stop(self) -> None:
        """Closes the processes' inputs without waiting; a process exits when its input or the controller ends."""
        self.stopping.set()
        for messages in self.write_queues:
            messages.put(None)

    def _commands(self, change: MembershipChange) -> list[ReaderCommand]:
        match change:
            case AddEndpoints():
                return self.ownership.add_endpoints(change, len(self.write_queues))
            case ProxyJoined():
                return self.ownership.add_proxy(change)
            case ProxyLeft(name):
                return self.ownership.remove_proxy(name)

    def _send(self, commands: list[ReaderCommand]) -> None:
        for reader, message in commands:
            self.write_queues[reader].put(encode_frame(message))

    def _supervise(self, reader: int, ready: threading.Event) -> None:
        """Runs a reader process and restarts it when it exits, until the pool is stopped."""
        while not self.stopping.is_set():
            self._run_process(reader, ready)
            if not self.stopping.is_set():
                self.log.error("report reader ended", reader=reader, next="restarting")
                self.stopping.wait(RESTART_DELAY_S)

    def _run_process(self, reader: int, ready: threading.Event) -> None:
        """Starts a process and handles its output until it exits."""
        child = subprocess.Popen(
            [sys.executable, "-m", "quillstep.load_reports.readers.process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert child.stdin and child.stdout
        messages = self._new_write_queue(reader)
        name = f"report-reader-{reader}-input"
        threading.Thread(target=_write_input, name=name, args=(child, messages), daemon=True).start()
        frames = FrameBuffer()
        with contextlib.suppress(OSError):
            while data := os.read(child.stdout.fileno(), READ_BYTES):
                for encoded in frames.feed(data):
                    self._handle(reader, ready, decode_from_reader(encoded))
        messages.put(None)
        with self.lock:
            self.ownership.reader_ended(reader)
        child.stdout.close()
        child.wait()

    def _new_write_queue(self, reader: int) -> WriteQueue:
        """Creates the input queue of a new process, starting with its configuration and the listed endpoints."""
        settings = self.settings
        configuration = Configuration(
            self.addresses[reader],
            settings.reports.model_dump(),
            settings.fleet.model_dump(),
            settings.limits.model_dump(),
        )
        messages: WriteQueue = queue.SimpleQueue()
        with self.lock:
            self.write_queues[reader] = messages
            messages.put(encode_frame(configuration))
            if self.ownership.endpoints:
                messages.put(encode_frame(AddEndpoints(self.ownership.endpoints)))
        return messages

    def _handle(self, reader: int, ready: threading.Event, message: MessageFromReader) -> None:
        match message:
            case WindowDrained(summary):
                self.put(ReportsSummarized(reader, summary))
            case ReaderReady(address):
                self.addresses[reader] = address
                ready.set()
            case ReportStreamOpened(name):
                with self.lock:
                    self._send(self.ownership.stream_opened(reader, name))
            case ProxyReleased(name, account):
                with self.lock:
                    self._send(self.ownership.proxy_released(reader, name, account))


def _write_input(child: "subprocess.Popen[bytes]", messages: WriteQueue) -> None:
    """Writes queued messages to a process's input until the queue is closed, then closes the input."""
    assert child.stdin
    with contextlib.suppress(OSError):
        while (data := messages.get()) is not None:
            child.stdin.write(data)
            child.stdin.flush()
    with contextlib.suppress(OSError):
        child.stdin.close()
