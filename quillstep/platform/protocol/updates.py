"""Orders of the module as messages of the platform.  Without I/O.

Keeps what an instance keeps in the simulator: tables, who is bound to them, levels, withdrawals.  One round's orders
become one message for each proxy that they concern, in as many parts as they need; who is not concerned gets none.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from quillstep.platform.protocol.codec import add_length, encode

ALL = 65535  # the table whose levels hold for all joined proxies
PARTS_MOST = 64
Users = tuple[tuple[int, tuple[int, ...]], ...]  # tables and the classes they are used for


class Joined:
    """What a proxy has been told on its stream."""

    __slots__ = ("marks", "out", "users")

    def __init__(self) -> None:
        self.users: Users = ()
        self.out: frozenset[str] = frozenset()
        self.marks: set[int] = set()


class ProtocolOutput:
    """The `PlannerOutput` of the interface for one pilot; `flush` gives what a round's orders come to.

    Health checks, timers and notes go elsewhere: these are passed in.
    """

    def __init__(
        self,
        classes: list[str],
        probe: Callable[[str], None],
        wake: Callable[[int, float], None],
        note: Callable[[str], None],
    ) -> None:
        self.classes = classes
        self.request_health_check, self.set_timer, self.log_note = probe, wake, note
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[int, dict[int, tuple[float, int]]] = {}
        self.withdrawn: set[str] = set()
        self.proxies: dict[int, Joined] = {}
        self.begin()

    def begin(self) -> None:
        self.moved: dict[int, dict[str, float]] = {}  # lines of this round, by table
        self.turned: dict[int, set[int]] = {}  # classes whose level was set, by table
        self.bound: dict[int, set[int]] = {}  # classes that were bound anew, by proxy
        self.toggled: dict[str, bool] = {}
        self.serial: int | None = None
        self.named: dict[Users, frozenset[str]] = {}  # what tables name at the end of this round

    def join(self, proxy: int) -> None:
        self.proxies[proxy] = Joined()

    def leave(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)

    def answered(self, proxy: int, serial: int) -> bool:
        """A mark has come back; False where this proxy was not asked for it."""
        known = self.proxies.get(proxy)
        if known is None or serial not in known.marks:
            return False
        known.marks.discard(serial)
        return True

    # orders

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        lines = self.tables.setdefault(table, {})
        if weight:
            lines[endpoint] = weight
        else:
            lines.pop(endpoint, None)
        self.moved.setdefault(table, {})[endpoint] = weight

    def set_ejected(self, endpoint: str, out: bool) -> None:
        (self.withdrawn.add if out else self.withdrawn.discard)(endpoint)
        self.toggled[endpoint] = out

    def assign_table(self, proxy: int, table: int, classes: Iterable[int]) -> None:
        if proxy not in self.proxies:
            return
        places = set(classes) or set(range(len(self.classes)))
        known = self.proxies[proxy]
        users = {each: set(its) - places for each, its in known.users}
        users.setdefault(table, set()).update(places)
        known.users = tuple((each, tuple(sorted(its))) for each, its in sorted(users.items()) if its)
        self.bound.setdefault(proxy, set()).update(places)
        self.tables.setdefault(table, {})

    def set_admission(self, table: int, classes: Iterable[int], allowed: float, tries: int) -> None:
        for place in set(classes) or range(len(self.classes)):
            self.levels.setdefault(table, {})[place] = (allowed, tries)
            self.turned.setdefault(table, set()).add(place)

    def request_ack(self, serial: int) -> None:
        self.serial = serial

    def watch_endpoints(self) -> None:
        """Nothing to do: the watch is dialled anew by itself, and brings what was missed."""

    # messages

    def flush(self) -> list[tuple[int, bytes]]:
        """The messages of this round by proxy; begins anew."""
        made: dict[Any, bytes] = {}
        messages = []
        for proxy, known in self.proxies.items():
            bound = frozenset(self.bound.get(proxy, ()))
            out, told = self.out(known, bool(bound))
            key = (known.users, bound, out - told, known.out - out)
            if key not in made:
                made[key] = self.message(*key)
            known.out = out
            if made[key]:
                messages.append((proxy, made[key]))
                if self.serial is not None:
                    known.marks.add(self.serial)
        self.begin()
        return messages

    def out(self, known: Joined, bound: bool) -> tuple[frozenset[str], frozenset[str]]:
        """What a proxy is to shut out after this round, and what of it need not be said.

        It is what its tables name; where a table is unknown, all that is withdrawn while it is joined.  A binding says
        it all again: from then on a proxy follows only what this pilot has said, and may have forgotten the rest.
        """
        if not (bound or self.toggled or self.moved):
            return known.out, known.out
        named = self.named.get(known.users)
        if named is None:
            named = frozenset(endpoint for table, _ in known.users for endpoint in self.tables[table])
            self.named[known.users] = named
        out = (known.out | named) & self.withdrawn  # once told it stands until it is let back
        if sum(len(places) for _, places in known.users) < len(self.classes):
            out |= {endpoint for endpoint, withdrawn in self.toggled.items() if withdrawn}
        return frozenset(out), known.out - named if bound else known.out

    def message(self, users: Users, bound: frozenset[int], shut: frozenset[str], back: frozenset[str]) -> bytes:
        """What this round says to proxies that use these tables; nothing: no bytes."""
        parts = list(self.parts(users, bound))
        if shut or back:
            if not parts:
                parts.append({})
            if shut:
                parts[0]["eject"] = sorted(shut)
            if back:
                parts[0]["restore"] = sorted(back)
        if not parts:
            return b""
        if self.serial is not None:
            parts[-1]["nonce_out"] = self.serial
        for number, part in enumerate(parts[:-1], 1):
            if number % PARTS_MOST:  # with very many classes the rest is a message of its own
                part["continued"] = True
        return b"".join(add_length(encode({"t": "assign", **part})) for part in parts)

    def parts(self, users: Users, bound: frozenset[int]) -> Iterator[dict[str, Any]]:
        for table, places in users:
            whole = not bound.isdisjoint(places)
            lines = self.tables[table] if whole else self.moved.get(table)
            if whole or lines:
                part = self.routes(places)
                if whole:
                    part["full"] = True
                yield {**part, "endpoints": list((lines or {}).items())}
            turned = self.turned.get(table, set()) | self.turned.get(ALL, set())
            for place in places:
                if (whole or place in turned) and (level := self.level_of(table, place)):
                    yield {**self.routes((place,)), "admit": level[0], "policy": level[1]}
        if not users and ALL in self.turned:
            for place in sorted(self.turned[ALL]):
                allowed, tries = self.levels[ALL][place]
                yield {**self.routes((place,)), "admit": allowed, "policy": tries}

    def level_of(self, table: int, place: int) -> tuple[float, int] | None:
        """Of a table's own level and the one for all the lower, with the table's own way of trying again."""
        own, all_ = self.levels.get(table, {}).get(place), self.levels.get(ALL, {}).get(place)
        if own and all_:
            return min(own[0], all_[0]), own[1]
        return own or all_

    def routes(self, places: tuple[int, ...]) -> dict[str, Any]:
        if len(places) == len(self.classes):
            return {}
        return {"routes": [self.classes[place] for place in places]}
