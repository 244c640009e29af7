"""Follows discovery: one long HTTP/1.1 answer, a JSON object a line; found dead by its silence and dialled anew.

Times here are ratios to the empty lines that a live watch brings: news counts as told a while after it was due
whether it came or not, so that dialling and finding a silence must both fit.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator

import h11
import msgspec
import structlog

from quillstep.platform.endpoints import News, Unreadable, read_list

EMPTY_MS = 2000.0  # between empty lines while nothing changes
SILENT_MS = 2.1 * EMPTY_MS  # without a whole line: the watch is dead
DIAL_MS = 0.4 * EMPTY_MS  # for the connection to come up
AGAIN_MS = 0.05 * EMPTY_MS  # before the next dial, where the last watch brought nothing
LINE_MOST = 2**20
CHUNK = 16 * 1024


class Lines:
    """Splits what comes into lines, bounded; raises Unreadable."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > LINE_MOST:
            raise Unreadable("a line that does not end")
        return lines


class Watch:
    """Keeps a watch at one address; `move` sends it to another.  `put` is given ("list", news)."""

    def __init__(self, address: str, revision: int, offset_ms: float, put: Callable[[tuple], None]) -> None:
        self.address, self.revision, self.offset_ms, self.put = address, revision, offset_ms, put
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.moved = threading.Event()
        self.dials = self.lines = self.spoilt = 0
        self.state = "not dialled yet"
        self.log = structlog.get_logger("discovery")
        self.said = ""

    def start(self) -> None:
        threading.Thread(target=self.run, daemon=True).start()

    def move(self, address: str) -> None:
        """Leave what stands, and dial there at once."""
        with self.lock:
            if address == self.address:
                return
            self.address = address
            self.moved.set()
            if self.sock:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        while True:
            self.moved.clear()
            address, lines = self.address, self.lines
            try:
                self.follow(address)
                why = "the answer ended"
            except (OSError, Unreadable, h11.ProtocolError) as trouble:
                why = f"{type(trouble).__name__}: {trouble}"
            self.state = why
            if why != self.said:
                self.said = why
                self.log.warning("watch ended", address=address, reason=why)
            if self.lines == lines:
                self.moved.wait(AGAIN_MS / 1000.0)

    def follow(self, address: str) -> None:
        """Raises OSError, Unreadable or h11.ProtocolError."""
        self.dials += 1
        host, _, port = address.rpartition(":")
        with socket.create_connection((host.strip("[]"), int(port)), DIAL_MS / 1000.0) as sock:
            with self.lock:
                if address != self.address:
                    return  # it has moved while this was dialled
                self.sock = sock
            try:
                for line in self.answer(sock, address):
                    self.lines += 1
                    self.state = "follows"
                    self.said = ""
                    if line.strip():
                        self.take(line)
            finally:
                with self.lock:
                    self.sock = None

    def answer(self, sock: socket.socket, address: str) -> Iterator[bytes]:
        http = h11.Connection(h11.CLIENT)
        target = f"/v1/endpoints?follow=1&since={self.revision}"
        request = h11.Request(method="GET", target=target, headers=[("Host", address)])
        sock.sendall(http.send(request) + http.send(h11.EndOfMessage()))
        lines = Lines()
        until = time.monotonic() + SILENT_MS / 1000.0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                sock.settimeout(max(0.001, until - time.monotonic()))
                http.receive_data(sock.recv(CHUNK))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Unreadable(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                for line in lines.feed(bytes(event.data)):
                    until = time.monotonic() + SILENT_MS / 1000.0
                    yield line
            elif not isinstance(event, h11.InformationalResponse):
                return

    def take(self, line: bytes) -> None:
        """One line of news; raises Unreadable.  Changes that go back are older than what stands, and dropped."""
        try:
            told = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            raise Unreadable("a line that is no JSON") from None
        news = read_list(told, self.offset_ms)
        if news.spoilt:
            self.spoilt += len(news.spoilt)
            self.log.warning("entries left out", number=len(news.spoilt), reason=news.spoilt[0])
        if news.kind == "partial" and news.revision < self.revision:
            self.spoilt += 1
            return
        if not news.spoilt:  # else the next dial asks for it again
            self.revision = news.revision
        self.put(("list", news))


__all__ = ["News", "Watch"]
