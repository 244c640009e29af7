"""Watches discovery for endpoint list updates.

The watch is one long HTTP/1.1 response with a JSON object per line.  It reconnects when the response ends or is idle.

The complete list is also requested from time to time, on a separate connection, which discovery answers at once.  Such
a refresh detects a watch that sends keep-alives but withholds updates, and fetches rejected entries again.

Intervals and timeouts are multiples of the interval of a watch's keep-alives, which are empty lines.  An update counts
as delivered some time after it was due, whether it arrived or not: detecting an idle watch and reconnecting must both
fit in that time.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import h11
import structlog

from quillstep.net.clock import now_ms
from quillstep.net.http import connect, get, next_event, send_request
from quillstep.net.json_decoder import MalformedJsonError, decode_json
from quillstep.platform.endpoint_list import (
    DiscoveryUpdate,
    MalformedListError,
    parse_address,
    parse_endpoint_list,
)
from quillstep.platform.list_tracker import ListTracker

KEEP_ALIVE_INTERVAL_MS = 2000.0  # between the empty lines that discovery sends while nothing changes
IDLE_TIMEOUT_MS = 2.1 * KEEP_ALIVE_INTERVAL_MS  # a watch without a complete line for this long is closed
CONNECT_TIMEOUT_MS = 0.4 * KEEP_ALIVE_INTERVAL_MS  # also the timeout of a complete refresh
MIN_RECONNECT_INTERVAL_MS = 0.05 * KEEP_ALIVE_INTERVAL_MS
MIN_REFRESH_INTERVAL_MS = 0.5 * KEEP_ALIVE_INTERVAL_MS
MAX_LINE_BYTES = 2**20
LIST_PATH = "/v1/endpoints"
HTTP_OK = 200


class LineSplitter:
    """Splits received bytes into lines, and bounds the size of an incomplete line."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that are now complete.

        Raises:
            MalformedListError: The incomplete line exceeds `MAX_LINE_BYTES`.
        """
        *lines, self.incomplete = (self.incomplete + data).split(b"\n")
        if len(self.incomplete) > MAX_LINE_BYTES:
            raise MalformedListError("line exceeds the size limit")
        return lines


class DiscoveryWatch:
    """Watches discovery at one address in a separate thread, which calls `publish` with each update.

    `set_address` may be called from any thread; `lock` guards `address` and `sock`.  All other attributes are written
    by the watch's thread only, and read by others for the status log.  The thread is a daemon and is not joined: an
    unresponsive server may block it for a second, which must not delay the process's exit.
    """

    def __init__(
        self,
        address: str,
        revision: int,
        publish: Callable[[DiscoveryUpdate], None],
        *,
        has_missing_entries: bool = False,
    ) -> None:
        """Prepare a watch that resumes from a known list.

        Args:
            address: Discovery's numeric host and port.
            revision: Revision of the known list.
            publish: Called with each update, in the watch's thread.
            has_missing_entries: Whether entries of the known list were rejected; see `ListTracker`.
        """
        self.address, self.publish = address, publish
        self.tracker = ListTracker(revision, has_missing_entries=has_missing_entries)
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.address_changed = threading.Event()
        self.connects = self.lines = self.refreshes = 0
        self.last_refresh_ms = float("-inf")
        self.state = "not connected yet"  # for the status log: "watching", or why the last watch closed
        self.last_logged_reason = ""
        self.log = structlog.get_logger("discovery")

    def start(self) -> None:
        """Start the watch's thread."""
        threading.Thread(target=self._run, name="discovery-watch", daemon=True).start()

    def set_address(self, address: str) -> None:
        """Close the current watch and connect to another address at once; no effect if the address is the same."""
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
            address, started_s = self.address, time.monotonic()
            self.state = self._watch_until_closed(address)
            if self.state != self.last_logged_reason:
                self.last_logged_reason = self.state
                self.log.warning("watch closed", address=address, reason=self.state)
            # Bounds the CPU time spent on reconnecting to a server that closes the watch after each line.
            next_connect_s = started_s + MIN_RECONNECT_INTERVAL_MS / 1000.0
            self.address_changed.wait(max(0.0, next_connect_s - time.monotonic()))

    def _watch_until_closed(self, address: str) -> str:
        """Run one watch; return the reason why it closed."""
        try:
            self.watch_once(address)
        except (OSError, MalformedListError, h11.ProtocolError) as error:
            return f"{type(error).__name__}: {error}"
        except Exception as error:  # keeps the thread running: the next watch may send other data
            self.log.exception("watch failed with an internal error", address=address)
            return f"{type(error).__name__}: {error}"
        return "the server ended the response"

    def watch_once(self, address: str) -> None:
        """Connect and publish updates until the response ends.

        Raises:
            OSError: The connection could not be established, failed, or was idle for `IDLE_TIMEOUT_MS`.
            MalformedListError: The response status is not 200, or a line is not a valid endpoint list.
            h11.ProtocolError: The response is not valid HTTP.
        """
        self.connects += 1
        with connect(parse_address(address), time.monotonic() + CONNECT_TIMEOUT_MS / 1000.0) as sock:
            with self.lock:
                if address != self.address:
                    return  # the address was changed while connecting
                self.sock = sock
            try:
                self._read_watch(sock, address)
            finally:
                with self.lock:
                    self.sock = None

    def _read_watch(self, sock: socket.socket, address: str) -> None:
        is_first = True
        for line in self._read_lines(sock, address):
            self.lines += 1
            self.state = "watching"
            self.last_logged_reason = ""
            if line.strip():
                self.handle_line(line, is_first)
                is_first = False
            if self._is_refresh_due(line):
                self.refresh(address)

    def _read_lines(self, sock: socket.socket, address: str) -> Iterator[bytes]:
        http, splitter = h11.Connection(h11.CLIENT), LineSplitter()
        deadline_s = time.monotonic() + IDLE_TIMEOUT_MS / 1000.0
        target = f"{LIST_PATH}?follow=1&since={self.tracker.resume_revision}"
        send_request(sock, http, address, target, deadline_s)
        while True:
            event = next_event(sock, http, deadline_s)
            if isinstance(event, h11.Response):
                if event.status_code != HTTP_OK:
                    raise MalformedListError(f"unexpected HTTP status {event.status_code}")
            elif isinstance(event, h11.Data):
                for line in splitter.feed(bytes(event.data)):
                    deadline_s = time.monotonic() + IDLE_TIMEOUT_MS / 1000.0
                    yield line
            else:
                return

    def _is_refresh_due(self, line: bytes) -> bool:
        """Return whether to request the complete list after this line, at most once per `MIN_REFRESH_INTERVAL_MS`.

        A keep-alive triggers a refresh, since the watch may be withholding updates.  While entries are missing, any
        line does.
        """
        is_due = now_ms() - self.last_refresh_ms >= MIN_REFRESH_INTERVAL_MS
        return is_due and (self.tracker.has_missing_entries or not line.strip())

    def refresh(self, address: str) -> None:
        """Request the complete list, and publish it if it is newer than the watch or fills in missing entries."""
        self.refreshes += 1
        started_s = time.monotonic()
        self.last_refresh_ms = started_s * 1000.0
        try:
            response = get(parse_address(address), LIST_PATH, started_s + CONNECT_TIMEOUT_MS / 1000.0, MAX_LINE_BYTES)
            update = parse_endpoint_list(_decode(response.body))
        except (OSError, h11.ProtocolError, MalformedListError):
            return  # unavailable or malformed: the watch continues and has its own idle timeout
        if response.status == HTTP_OK and self.tracker.accept_from_refresh(update):
            self._publish(update)

    def handle_line(self, line: bytes, is_first: bool = False) -> None:
        """Parse a line of the watch and publish it, unless it is outdated.

        Args:
            line: A line that is not empty.
            is_first: Whether it is the first list that this watch has sent.

        Raises:
            MalformedListError: The line is not a valid endpoint list.
        """
        update = parse_endpoint_list(_decode(line))
        if self.tracker.accept_from_watch(update, is_first):
            self._publish(update)

    def _publish(self, update: DiscoveryUpdate) -> None:
        if update.rejected:
            self.log.warning("endpoint entries rejected", rejected=len(update.rejected), reason=update.rejected[0])
        self.publish(update)


def _decode(data: bytes) -> Any:
    try:
        return decode_json(data)
    except MalformedJsonError as error:
        raise MalformedListError(f"invalid JSON: {error}") from error
