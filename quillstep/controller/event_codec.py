"""News as records of a capture, and back; one place for both, so that what is written is what is replayed."""

from typing import Any

import msgspec

from quillstep.files.registration import RegisteredProxy, Registration
from quillstep.recording.format import Record
from quillstep.routing import Resource


class EventCodec:
    """Writes news as records; peers get numbers as they come."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}

    def number(self, peer: Any) -> int:
        return self.numbers.setdefault(peer, len(self.numbers))

    def record(self, news: tuple, arrived_ms: float, taken_ms: float) -> Record:
        kind = news[0]
        times: Record = [kind, arrived_ms, taken_ms]
        if kind == "request":
            return [*times, self.number(news[1]), news[2], "", news[4]]
        if kind in ("open", "end"):
            return [*times, self.number(news[1]), news[2], str(news[3])]
        if kind == "roster":
            addresses = [[number, host, port] for number, (host, port) in news[3].items()]
            return [*times, news[1], [list(entry) for entry in news[2]], addresses]
        if kind == "files":
            return [*times, *tell_files(news)]
        return [*times, *news[1:]]


def tell_files(news: tuple) -> list[Any]:
    _, kind, what, data, more = news
    if kind == "written":
        return [kind, what.directory, [what.generation.number, data], more]
    if isinstance(data, RegisteredProxy):
        contents = [[list(key), c.version, [*c.content]] for key, c in data.resources.items()]
        return [kind, what, [msgspec.to_builtins(data.registration), data.newest, data.held, contents], more]
    return [kind, what, data, more]


def parked_of(told: list[Any] | str) -> RegisteredProxy | str:
    if isinstance(told, str):
        return told
    hello, newest, holds, contents = told
    made = {tuple(key): Resource(version, tuple(what)) for key, version, what in contents}
    return RegisteredProxy(msgspec.convert(hello, Registration), newest, holds, made)
