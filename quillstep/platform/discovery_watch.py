"""Follows discovery: one long HTTP/1.1 answer, a JSON object a line; found dead by its silence and dialled anew.

Beside it stand looks: the whole list, asked for on a connection of its own, which the agent answers at once.  They
find a watch that lives but keeps news back, and ask again for entries that could not be read.

Times here are ratios to the empty lines that a live watch brings: news counts as told a while after it was due
whether it came or not, so that dialling and finding a silence must both fit.
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

from quillstep.net.http import connect, get, next_event, send_request
from quillstep.platform.endpoint_list import DiscoveryUpdate, MalformedListError, address_of, read_list

EMPTY_MS = 2000.0  # between empty lines while nothing changes
SILENT_MS = 2.1 * EMPTY_MS  # without a whole line: the watch is dead
DIAL_MS = 0.4 * EMPTY_MS  # for the connection to come up, and for a look as a whole
AGAIN_MS = 0.05 * EMPTY_MS  # between two dials at the least
LOOK_MS = 0.5 * EMPTY_MS  # between two looks at the least
LINE_MOST = 2**20
PATH = "/v1/endpoints"


class Lines:
    """Splits what comes into lines, bounded; raises Unreadable."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > LINE_MOST:
            raise MalformedListError("a line that does not end")
        return lines


class DiscoveryWatch:
    """Keeps a watch at one address; `move` sends it to another.  `put` is given ("list", news)."""

    def __init__(
        self, address: str, revision: int, offset_ms: float, put: Callable[[tuple], None], *, owed: bool = False
    ) -> None:
        """`owed`: what is known at this revision lacks entries that could not be read."""
        self.address, self.offset_ms, self.put, self.owed = address, offset_ms, put, owed
        self.seen = revision  # the newest that was read
        self.held = -1  # that of the last whole list without a spoilt entry: it holds all changes up to there
        self.revision = 0 if owed else revision  # the newest up to which nothing is owed
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.moved = threading.Event()
        self.dials = self.lines = self.spoilt = self.looks = 0
        self.looked_ms = float("-inf")
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
            address, begun = self.address, time.monotonic()
            try:
                self.follow(address)
                why = "the answer ended"
            except (OSError, MalformedListError, h11.ProtocolError) as trouble:
                why = f"{type(trouble).__name__}: {trouble}"
            except Exception as trouble:  # a fault of ours with what came: the next dial may bring what we can read
                why = f"{type(trouble).__name__}: {trouble}"
                self.log.exception("the watch met a fault of ours", address=address)
            self.state = why
            if why != self.said:
                self.said = why
                self.log.warning("watch ended", address=address, reason=why)
            # One that ends after each line must not take the whole core.
            self.moved.wait(max(0.0, begun + AGAIN_MS / 1000.0 - time.monotonic()))

    def follow(self, address: str) -> None:
        """Raises OSError, Unreadable or h11.ProtocolError."""
        self.dials += 1
        with connect(address_of(address), time.monotonic() + DIAL_MS / 1000.0) as sock:
            with self.lock:
                if address != self.address:
                    return  # it has moved while this was dialled
                self.sock = sock
            first = True
            try:
                for line in self.answer(sock, address):
                    self.lines += 1
                    self.state = "follows"
                    self.said = ""
                    if line.strip():
                        self.take(line, first)
                        first = False
                    if self.looks_now(line):
                        self.look(address)
            finally:
                with self.lock:
                    self.sock = None

    def answer(self, sock: socket.socket, address: str) -> Iterator[bytes]:
        http, lines = h11.Connection(h11.CLIENT), Lines()
        until = time.monotonic() + SILENT_MS / 1000.0
        send_request(sock, http, address, f"{PATH}?follow=1&since={self.revision}", until)
        while True:
            event = next_event(sock, http, until)
            if isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise MalformedListError(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                for line in lines.feed(bytes(event.data)):
                    until = time.monotonic() + SILENT_MS / 1000.0
                    yield line
            else:
                return

    def looks_now(self, line: bytes) -> bool:
        """While nothing seems to change the watch may keep news back; an entry that is owed can't wait for that."""
        due = time.monotonic() * 1000.0 - self.looked_ms >= LOOK_MS
        return due and (self.owed or not line.strip())

    def look(self, address: str) -> None:
        """Ask for the whole list, and take it where it has more than the watch has brought."""
        self.looks += 1
        begun = time.monotonic()
        self.looked_ms = begun * 1000.0
        try:
            found = get(address_of(address), PATH, begun + DIAL_MS / 1000.0, LINE_MOST)
            news = read_list(decoded(found.body), self.offset_ms)
        except (OSError, h11.ProtocolError, MalformedListError):
            return  # discovery is down, or a look was spoilt: the watch goes on, its own silence tells
        # As new as what was read counts where something of that is owed.
        if found.status == 200 and news.revision >= self.seen + (not self.owed):
            self.bring(news, news.whole)

    def take(self, line: bytes, first: bool = False) -> None:
        """One line of news; raises Unreadable.  Changes that go back are older than what stands, and dropped.

        The first of a watch holds all that has changed after `revision`, so that nothing is owed after it.
        """
        news = read_list(decoded(line), self.offset_ms)
        if not news.whole and news.revision < self.seen:
            self.spoilt += 1
        elif news.whole or news.revision != self.held:  # else a look was quicker than the watch
            self.bring(news, news.whole or first)

    def bring(self, news: DiscoveryUpdate, holds_all: bool) -> None:
        """Hand a list on.  Entries that could not be read are owed until a list that holds them has come.

        Found in reading: the next good line moved the revision past a spoilt one, which was never asked for again.
        """
        self.seen = news.revision
        if news.whole:
            self.held = -1 if news.spoilt else news.revision
        if news.spoilt:
            self.owed, self.revision = True, min(self.revision, max(0, news.revision - 1))
            self.spoilt += len(news.spoilt)
            self.log.warning("entries left out", number=len(news.spoilt), reason=news.spoilt[0])
        elif holds_all or not self.owed:
            self.owed, self.revision = False, news.revision
        self.put(("list", news))


def decoded(data: bytes) -> Any:
    """Raises Unreadable."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        raise MalformedListError("what is no JSON") from None


__all__ = ["DiscoveryUpdate", "DiscoveryWatch"]
