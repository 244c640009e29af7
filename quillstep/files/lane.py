"""One file-following proxy, without I/O: which set of contents its next generation holds, and what its words mean.

A generation is a whole set, applied as a whole or refused as a whole.  It is the last accepted set with the changes
that the ledger wants sent, so that after a refusal the next one holds less, and never the refused set unchanged.
"""

from typing import NamedTuple

from quillstep.files.generation_files import RAW
from quillstep.routing import Change, Key, Nack, ProxyState, Resource, Tables
from quillstep.routing.resources import CLUSTER, ROUTES


class Generation(NamedTuple):
    """A set to write: its number, the newest order in it, all contents, and how many changed against the last."""

    number: int
    order: int
    contents: dict[Key, Resource]
    changed: int
    removed: int


class Word(NamedTuple):
    """What an acknowledgement came to."""

    acknowledged: list[Change]
    refusal: Nack | None
    trouble: str  # what is wrong with it; empty if nothing


class Lane:
    """The generations of one proxy; `number` of the newest, `accepted` of the newest it holds by its own word."""

    def __init__(self, proxy: int, last: int, accepted: dict[Key, Resource]) -> None:
        self.proxy = proxy
        self.number = last  # generations on disk go on counting from here
        self.accepted_number = last
        self.accepted = accepted
        self.newest = dict(accepted)
        self.sets: dict[int, dict[Key, Resource]] = {last: dict(accepted)}  # of generations that may be accepted
        self.refused_number = 0
        self.writing = False
        self.retry_ms = 0.0
        self.fails = 0
        self.heard_ms = 0.0

    def next(self, tables: Tables, now_ms: float) -> Generation | None:
        """The next generation, if anything is to be sent and none is being written."""
        if self.writing or now_ms < self.retry_ms:
            return None
        ledger = tables.proxies[self.proxy]
        base = dict(self.accepted if self.refused_number > self.accepted_number else self.newest)
        unknown = [key for key in ledger.acknowledged if key not in base]
        if unknown and not ledger.assignments:
            return None  # a set without what it holds from elsewhere would take that away; it is bound soon
        changes = tables.changes_to_send(self.proxy, now_ms, wants_all, together=True)
        if not changes:
            return None
        made, changes = self.fit(*self.complete(tables, base, changes))
        if not changes:
            return None
        self.number += 1
        tables.record_sent(self.proxy, str(self.number), changes, now_ms)
        self.newest, self.sets[self.number] = made, made
        self.refused_number = 0
        self.writing = True
        order = ledger.released_revision
        removed = sum(change.resource is None for change in changes)
        return Generation(self.number, order, made, len(changes) - removed, removed)

    def complete(
        self, tables: Tables, base: dict[Key, Resource], changes: list[Change]
    ) -> tuple[dict[Key, Resource], list[Change]]:
        """A set and its changes with what the proxy holds from elsewhere (a stream, another pilot).

        Only its versions are known of that; where another version is wanted by now, that goes early.
        """
        ledger = tables.proxies[self.proxy]
        coming = {change.key for change in changes}
        for key, version in ledger.acknowledged.items():
            want = tables.desired_resource(ledger, key)
            if want is None:
                continue
            if key not in base:
                base[key] = want
                if want.version != version and key not in coming:
                    changes.append(Change(key, want))
            elif base[key].version == want.version:
                base[key] = want  # read back from files before, known now
        return base, changes

    @staticmethod
    def fit(made: dict[Key, Resource], changes: list[Change]) -> tuple[dict[Key, Resource], list[Change]]:
        """A set with the changes in it; changes that would leave routes to a table that is not there are left out.

        Parts of a refused set are tried by themselves, and a part may hold routes without their table.
        """
        for key, want in changes:
            if want:
                made[key] = want
            else:
                made.pop(key, None)
        routes = made.get((ROUTES,))
        known = routes is not None and routes.content[:1] != (RAW,)
        if routes is None or not known or all((CLUSTER, row[1]) in made for row in routes.content):
            return made, changes
        return made, []

    def written(self) -> None:
        self.writing, self.fails = False, 0

    def failed(self, ledger: ProxyState | None, number: int, now_ms: float, retry_ms: float) -> None:
        """A generation that could not be written never left; it is tried again with what is newest then."""
        self.writing = False
        self.sets.pop(number, None)
        if ledger:
            ledger.cancel_in_flight(str(number))
        self.newest = dict(self.sets[max(self.sets)]) if self.sets else dict(self.accepted)
        self.retry_ms = now_ms + retry_ms * min(16.0, 2.0**self.fails)
        self.fails += 1

    def word(self, tables: Tables, number: int, reason: str, now_ms: float) -> Word:
        """The proxy holds this generation, or refuses it for a reason."""
        if number not in self.sets or number > self.number:
            return Word([], None, f"generation {number} was never written")
        ledger = tables.proxies[self.proxy]
        flights = sorted(int(nonce) for nonce in ledger.in_flight_updates if int(nonce) <= number)
        if reason:
            if not flights:
                return Word([], None, "" if number == self.refused_number else "it had accepted that one")
            newest = str(flights[-1])
            ledger.merge_in_flight([str(each) for each in flights[:-1]], newest)
            refusal = tables.record_nack(self.proxy, newest, reason, now_ms)
            self.refused_number = number
            self.sets = {each: held for each, held in self.sets.items() if each == self.accepted_number}
            self.newest = dict(self.accepted)
            self.sets[number] = dict(self.accepted)  # its word may come again
            return Word([], refusal, "")
        if number < self.accepted_number:
            return Word([], None, f"generation {number} is older than {self.accepted_number}, which it held")
        acknowledged: list[Change] = []
        for each in flights:
            acknowledged += tables.record_ack(self.proxy, str(each), now_ms)
        self.accepted_number = number
        self.accepted = self.sets[number]
        self.sets = {each: held for each, held in self.sets.items() if each >= number}
        return Word(acknowledged, None, "")

    def held_numbers(self) -> set[int]:
        """Generations that must stay on disk: the newest, and the last that the proxy holds."""
        return {self.number, self.accepted_number}


def wants_all(key: Key) -> bool:
    return True
