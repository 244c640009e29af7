"""One file-following proxy, without I/O: what its next generation holds, and what its acknowledgements mean.

A generation is a full set of resources, applied or rejected as a whole.  It is the last accepted set with the changes
that the ledger wants sent, so that after a rejection the next one holds less, and never the rejected set unchanged.
"""

from typing import NamedTuple

from quillstep.files.generation_files import RAW, GenerationFile
from quillstep.routing import Change, Key, Nack, ProxyState, Resource, Tables
from quillstep.routing.resources import CLUSTER, ROUTES

MAX_BACKOFF_FACTOR = 16.0  # of the first wait after a generation could not be written


class Generation(NamedTuple):
    """A set to write."""

    number: int
    revision: int  # the newest of the tables in it
    resources: dict[Key, Resource]
    updated: int  # against the generation before
    removed: int


class AckResult(NamedTuple):
    """What an acknowledgement came to."""

    acknowledged: list[Change]
    nack: Nack | None
    error: str  # why it is ignored; empty if it is not


class ProxyGenerations:
    """The generations of one proxy: `number` of the newest, `accepted` what it holds by its own acknowledgement."""

    def __init__(self, proxy: int, last_number: int, accepted: dict[Key, Resource]) -> None:
        """A proxy that holds these resources.

        Args:
            proxy: Its number.
            last_number: Of its newest generation on disk; numbers go on from there.
            accepted: What it holds.
        """
        self.proxy = proxy
        self.number = last_number
        self.accepted_number = last_number
        self.accepted = accepted
        self.newest = dict(accepted)
        self.sets: dict[int, dict[Key, Resource]] = {last_number: dict(accepted)}  # that may be accepted, by number
        self.rejected_number = 0
        self.is_writing = False
        self.retry_ms = 0.0
        self.failures = 0  # in a row, to write
        self.last_received_ms = 0.0

    def next(self, tables: Tables, now_ms: float) -> Generation | None:
        """The next generation, if anything is to be sent and none is being written."""
        if self.is_writing or now_ms < self.retry_ms:
            return None
        ledger = tables.proxies[self.proxy]
        base = dict(self.accepted if self.rejected_number > self.accepted_number else self.newest)
        has_unknown = any(key not in base for key in ledger.acknowledged)
        if has_unknown and not ledger.assignments:
            return None  # a set without what it holds from elsewhere would remove that; it is assigned a table soon
        changes = tables.changes_to_send(self.proxy, now_ms, _wants_all, atomic=True)
        if not changes:
            return None
        resources, changes = _apply(*self._complete(tables, base, changes))
        if not changes:
            return None
        self.number += 1
        tables.record_sent(self.proxy, str(self.number), changes, now_ms)
        self.newest, self.sets[self.number] = resources, resources
        self.rejected_number = 0
        self.is_writing = True
        revision = ledger.released_revision
        removed = sum(change.resource is None for change in changes)
        return Generation(self.number, revision, resources, len(changes) - removed, removed)

    def _complete(
        self, tables: Tables, base: dict[Key, Resource], changes: list[Change]
    ) -> tuple[dict[Key, Resource], list[Change]]:
        """A set and its changes with what the proxy holds from elsewhere (a stream, another controller).

        Only the versions of that are known; where another version is desired by now, that goes early.
        """
        ledger = tables.proxies[self.proxy]
        changed = {change.key for change in changes}
        for key, version in ledger.acknowledged.items():
            desired = tables.desired_resource(ledger, key)
            if desired is None:
                continue
            if key not in base:
                base[key] = desired
                if desired.version != version and key not in changed:
                    changes.append(Change(key, desired))
            elif base[key].version == desired.version:
                base[key] = desired  # read back from files before, known now
        return base, changes

    def mark_written(self) -> None:
        """The generation that was being written is on disk."""
        self.is_writing, self.failures = False, 0

    def mark_failed(self, ledger: ProxyState | None, number: int, now_ms: float, backoff_ms: float) -> None:
        """A generation could not be written, and so was never sent; the next has what is newest then."""
        self.is_writing = False
        self.sets.pop(number, None)
        if ledger:
            ledger.cancel_in_flight(str(number))
        self.newest = dict(self.sets[max(self.sets)]) if self.sets else dict(self.accepted)
        self.retry_ms = now_ms + backoff_ms * min(MAX_BACKOFF_FACTOR, 2.0**self.failures)
        self.failures += 1

    def handle_ack(self, tables: Tables, number: int, reason: str, now_ms: float) -> AckResult:
        """The proxy holds this generation, or rejects it for a reason."""
        if number not in self.sets or number > self.number:
            return AckResult([], None, f"generation {number} was never written")
        ledger = tables.proxies[self.proxy]
        in_flight = sorted(int(nonce) for nonce in ledger.in_flight_updates if int(nonce) <= number)
        if reason:
            return self._reject(tables, ledger, number, in_flight, reason, now_ms)
        if number < self.accepted_number:
            return AckResult([], None, f"generation {number} is older than {self.accepted_number}, which it held")
        acknowledged: list[Change] = []
        for each in in_flight:
            acknowledged += tables.record_ack(self.proxy, str(each), now_ms)
        self.accepted_number = number
        self.accepted = self.sets[number]
        self.sets = {each: resources for each, resources in self.sets.items() if each >= number}
        return AckResult(acknowledged, None, "")

    def _reject(
        self, tables: Tables, ledger: ProxyState, number: int, in_flight: list[int], reason: str, now_ms: float
    ) -> AckResult:
        if not in_flight:
            return AckResult([], None, "" if number == self.rejected_number else "it had accepted that one")
        newest = str(in_flight[-1])
        ledger.merge_in_flight([str(each) for each in in_flight[:-1]], newest)
        nack = tables.record_nack(self.proxy, newest, reason, now_ms)
        self.rejected_number = number
        self.sets = {each: resources for each, resources in self.sets.items() if each == self.accepted_number}
        self.newest = dict(self.accepted)
        self.sets[number] = dict(self.accepted)  # its acknowledgement may come again
        return AckResult([], nack, "")

    def numbers_to_keep(self) -> set[int]:
        """Generations that must stay on disk: the newest, and the last that the proxy holds."""
        return {self.number, self.accepted_number}


class PendingGeneration(NamedTuple):
    """A generation on its way to the disk."""

    directory: str
    generations: ProxyGenerations
    generation: Generation
    files: list[GenerationFile]
    manifest: bytes
    keep: set[int]  # other generations that stay on disk
    size_bytes: int  # of what has changed


def _apply(resources: dict[Key, Resource], changes: list[Change]) -> tuple[dict[Key, Resource], list[Change]]:
    """A set with the changes in it; no changes where they would leave routes to a table that is not there.

    Parts of a rejected set are tried by themselves, and a part may hold routes without their table.
    """
    for key, resource in changes:
        if resource:
            resources[key] = resource
        else:
            resources.pop(key, None)
    routes = resources.get((ROUTES,))
    if routes is None or routes.content[:1] == (RAW,) or all((CLUSTER, row[1]) in resources for row in routes.content):
        return resources, changes
    return resources, []


def _wants_all(key: Key) -> bool:
    return True
