"""Watches discovery: one long HTTP/1.1 response, a JSON object a line, reconnected where it ends or falls silent.

Beside the watch stand refreshes: the complete list, requested on a connection of its own, which the agent answers at
once.  They find a watch that lives but holds updates back, and fetch entries that could not be read again.

The times are ratios to the empty lines that a live watch brings.  An update counts as delivered some time after it was
due whether it arrived or not, and detecting a silence and reconnecting must both fit in that time.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import h11
import msgspec
import structlog

from quillstep.net.clock import now_ms
from quillstep.net.http import connect, get, next_event, send_request
from quillstep.platform.endpoint_list import (
    DiscoveryUpdate,
    MalformedListError,
    parse_address,
    parse_endpoint_list,
)
from quillstep.platform.list_tracker import ListTracker

EMPTY_LINE_INTERVAL_MS = 2000.0  # while nothing changes
SILENCE_TIMEOUT_MS = 2.1 * EMPTY_LINE_INTERVAL_MS  # without a complete line
CONNECT_TIMEOUT_MS = 0.4 * EMPTY_LINE_INTERVAL_MS  # also of a refresh as a whole
MIN_RECONNECT_INTERVAL_MS = 0.05 * EMPTY_LINE_INTERVAL_MS
MIN_REFRESH_INTERVAL_MS = 0.5 * EMPTY_LINE_INTERVAL_MS
MAX_LINE_BYTES = 2**20
LIST_PATH = "/v1/endpoints"
HTTP_OK = 200


class LineSplitter:
    """Splits received bytes into lines of bounded length."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that these bytes complete.

        Raises:
            MalformedListError: A line exceeds its bound.
        """
        *lines, self.incomplete = (self.incomplete + data).split(b"\n")
        if len(self.incomplete) > MAX_LINE_BYTES:
            raise MalformedListError("a line that does not end")
        return lines


class DiscoveryWatch:
    """Keeps a watch at one address, in a thread of its own that calls `publish` with each update.

    `set_address` may be called from any thread; `lock` guards `address` and `sock`.  All else is written by the
    watch's thread alone, and read by others for the status log.  The thread is a daemon that ends with the process: it
    may be held by a silent server for a second, and a stop must not wait for it.
    """

    def __init__(
        self,
        address: str,
        revision: int,
        clock_offset_ms: float,
        publish: Callable[[DiscoveryUpdate], None],
        *,
        has_missing_entries: bool = False,
    ) -> None:
        """Prepare a watch that resumes from a list known already; see `ListTracker` and `parse_endpoint_list`."""
        self.address, self.clock_offset_ms, self.publish = address, clock_offset_ms, publish
        self.tracker = ListTracker(revision, has_missing_entries=has_missing_entries)
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.address_changed = threading.Event()
        self.connects = self.lines = self.refreshes = 0
        self.last_refresh_ms = float("-inf")
        self.state = "not connected yet"  # for the status log: "watching", or why the last watch ended
        self.last_logged_reason = ""
        self.log = structlog.get_logger("discovery")

    def start(self) -> None:
        """Start the watch's thread."""
        threading.Thread(target=self._run, name="discovery-watch", daemon=True).start()

    def set_address(self, address: str) -> None:
        """End the watch at the present address, and connect to another at once."""
        with self.lock:
            if address == self.address:
                return
            self.address = address
            self.address_changed.set()
            if self.sock:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while True:
            self.address_changed.clear()
            address, begun_s = self.address, time.monotonic()
            self.state = self._watch_until_end(address)
            if self.state != self.last_logged_reason:
                self.last_logged_reason = self.state
                self.log.warning("watch ended", address=address, reason=self.state)
            # A watch that ends after each line must not take the whole core.
            next_connect_s = begun_s + MIN_RECONNECT_INTERVAL_MS / 1000.0
            self.address_changed.wait(max(0.0, next_connect_s - time.monotonic()))

    def _watch_until_end(self, address: str) -> str:
        """Return why the watch ended."""
        try:
            self.watch_once(address)
        except (OSError, MalformedListError, h11.ProtocolError) as error:
            return f"{type(error).__name__}: {error}"
        except Exception as error:  # the edge of the thread: the next watch may bring what can be handled
            self.log.exception("watch failed with an internal error", address=address)
            return f"{type(error).__name__}: {error}"
        return "the response ended"

    def watch_once(self, address: str) -> None:
        """Connect and publish updates until the response ends.

        Raises:
            OSError: The connection can't be made, broke or fell silent.
            MalformedListError: A line is no endpoint list.
            h11.ProtocolError: What was received is no HTTP.
        """
        self.connects += 1
        with connect(parse_address(address), time.monotonic() + CONNECT_TIMEOUT_MS / 1000.0) as sock:
            with self.lock:
                if address != self.address:
                    return  # it was changed while this connected
                self.sock = sock
            try:
                self._read_watch(sock, address)
            finally:
                with self.lock:
                    self.sock = None

    def _read_watch(self, sock: socket.socket, address: str) -> None:
        is_first = True
        for line in self._lines(sock, address):
            self.lines += 1
            self.state = "watching"
            self.last_logged_reason = ""
            if line.strip():
                self.handle_line(line, is_first)
                is_first = False
            if self._is_refresh_due(line):
                self.refresh(address)

    def _lines(self, sock: socket.socket, address: str) -> Iterator[bytes]:
        http, splitter = h11.Connection(h11.CLIENT), LineSplitter()
        deadline_s = time.monotonic() + SILENCE_TIMEOUT_MS / 1000.0
        target = f"{LIST_PATH}?follow=1&since={self.tracker.resume_revision}"
        send_request(sock, http, address, target, deadline_s)
        while True:
            event = next_event(sock, http, deadline_s)
            if isinstance(event, h11.Response):
                if event.status_code != HTTP_OK:
                    raise MalformedListError(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                for line in splitter.feed(bytes(event.data)):
                    deadline_s = time.monotonic() + SILENCE_TIMEOUT_MS / 1000.0
                    yield line
            else:
                return

    def _is_refresh_due(self, line: bytes) -> bool:
        """While nothing seems to change, the watch may hold updates back; a missing entry can't wait for that."""
        is_due = now_ms() - self.last_refresh_ms >= MIN_REFRESH_INTERVAL_MS
        return is_due and (self.tracker.has_missing_entries or not line.strip())

    def refresh(self, address: str) -> None:
        """Request the complete list, and publish it where it holds more than the watch has brought."""
        self.refreshes += 1
        begun_s = time.monotonic()
        self.last_refresh_ms = begun_s * 1000.0
        try:
            response = get(parse_address(address), LIST_PATH, begun_s + CONNECT_TIMEOUT_MS / 1000.0, MAX_LINE_BYTES)
            update = parse_endpoint_list(_decode(response.body), self.clock_offset_ms)
        except (OSError, h11.ProtocolError, MalformedListError):
            return  # discovery is down or sent no list: the watch goes on, and ends by its own silence
        if response.status == HTTP_OK and self.tracker.accept_from_refresh(update):
            self._publish(update)

    def handle_line(self, line: bytes, is_first: bool = False) -> None:
        """Publish a line of the watch, unless it is older than what is known.

        Raises:
            MalformedListError: The line is no endpoint list.
        """
        update = parse_endpoint_list(_decode(line), self.clock_offset_ms)
        if self.tracker.accept_from_watch(update, is_first):
            self._publish(update)

    def _publish(self, update: DiscoveryUpdate) -> None:
        if update.rejected:
            self.log.warning("endpoint entries rejected", rejected=len(update.rejected), reason=update.rejected[0])
        self.publish(update)


def _decode(data: bytes) -> Any:
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedListError("what is no JSON") from error
