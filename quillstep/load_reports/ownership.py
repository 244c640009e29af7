"""At which of several readers a proxy's reports count, so that they count once wherever its streams go.  No I/O.

A reader says whose stream opened there; the pilot says who is joined.  A reader that had a proxy before gives up what
it remembers of it first, and only then the next one counts.
"""

from dataclasses import dataclass
from typing import Any

Telling = tuple[int, list[Any]]  # which reader is to be told what


@dataclass(slots=True)
class Joined:
    """A joined proxy."""

    number: int
    zone: str
    life: str


class ReportOwnership:
    """Who is joined, whose reports count where, what of a proxy is remembered nowhere now."""

    def __init__(self, usual_ms: float, kept_most: int = 4096) -> None:
        self.usual_ms, self.kept_most = usual_ms, kept_most
        self.proxies: dict[str, Joined] = {}
        self.counts: dict[str, int] = {}  # the reader that has the account
        self.streams: dict[str, int] = {}  # the reader where the newest stream is
        self.asked: dict[int, list[Any]] = {}  # what each proxy was asked for last
        self.kept: dict[str, Any] = {}
        self.releasing: set[str] = set()  # whose account is on its way back
        self.addresses: list[list[Any]] = []

    def listed(self, rows: list[list[Any]], readers: int) -> list[Telling]:
        self.addresses += rows
        return [(at, ["listed", rows]) for at in range(readers)]

    def joined(self, name: str, number: int, zone: str, life: str) -> list[Telling]:
        self.proxies[name] = Joined(number, zone, life)
        return self.settle(name)

    def left(self, name: str) -> list[Telling]:
        proxy = self.proxies.pop(name, None)
        if proxy is not None:
            self.asked.pop(proxy.number, None)
        return self.settle(name)

    def hello(self, reader: int, name: str) -> list[Telling]:
        """A stream of this name has opened at a reader."""
        self.streams[name] = reader
        return self.settle(name)

    def released(self, reader: int, name: str, account: Any) -> list[Telling]:
        """A reader has given up what it remembered."""
        self.releasing.discard(name)
        if self.counts.get(name) == reader:
            del self.counts[name]
        if account is not None:
            self.kept[name] = account
            if len(self.kept) > self.kept_most:
                del self.kept[next(iter(self.kept))]
        return self.settle(name)

    def ask(self, number: int, name: str, asked: list[Any]) -> list[Telling]:
        self.asked[number] = asked
        return [(self.counts[name], ["ask", asked])] if name in self.counts else []

    def ended(self, reader: int) -> None:
        """A reader has died, and with it what it remembered; streams will open elsewhere or there again."""
        self.counts = {name: at for name, at in self.counts.items() if at != reader}
        self.streams = {name: at for name, at in self.streams.items() if at != reader}
        self.releasing &= set(self.counts)

    def settle(self, name: str) -> list[Telling]:
        """The next step towards one account at the reader that has the stream."""
        proxy, stream, counts = self.proxies.get(name), self.streams.get(name), self.counts.get(name)
        if name in self.releasing:
            return []
        if counts is not None and (proxy is None or counts != stream):
            self.releasing.add(name)
            return [(counts, ["release", name])]
        if proxy is None or stream is None:
            return []  # whoever joins under another life, or with another number, was given up first
        self.counts[name] = stream
        tellings: list[Telling] = [
            (stream, ["joined", name, proxy.number, proxy.zone, proxy.life, self.kept.pop(name, None)])
        ]
        if proxy.number in self.asked:
            tellings.append((stream, ["ask", self.asked[proxy.number]]))
        return tellings
