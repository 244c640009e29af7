"""The generations of one proxy that follows files: builds the next one and handles acknowledgements, without I/O.

A generation is a complete set of resources that the proxy applies or rejects as a whole.  It consists of the last
accepted set and the changes that the tables allow to be sent, so that the generation after a rejection contains fewer
changes and never repeats the rejected set.
"""

from typing import NamedTuple

from quillstep.files.generation_files import RAW, GenerationFile
from quillstep.routing import Change, Key, Nack, ProxyState, Resource, Tables
from quillstep.routing.resources import CLUSTER, ROUTES

MAX_BACKOFF_FACTOR = 16.0  # limit of the exponential back-off after failed writes, in multiples of the first delay


class Generation(NamedTuple):
    """A complete set of resources to write.

    Attributes:
        number: Number of the generation.
        revision: The newest revision of the tables in it.
        resources: All resources.
        updated: How many resources differ from the previous generation.
        removed: How many resources of the previous generation are removed.
    """

    number: int
    revision: int
    resources: dict[Key, Resource]
    updated: int
    removed: int


class AckResult(NamedTuple):
    """The result of an acknowledgement; `error` says why it was ignored, and is empty if it was not."""

    acknowledged: list[Change]
    nack: Nack | None
    error: str


class ProxyGenerations:
    """The generations of one proxy: `number` is the newest one, `accepted` the resources acknowledged by the proxy."""

    def __init__(self, proxy: int, last_number: int, accepted: dict[Key, Resource]) -> None:
        """Initializes the state of a proxy that holds the given resources.

        Args:
            proxy: Number of the proxy.
            last_number: Number of its newest generation on disk; later generations are numbered from there.
            accepted: Resources that the proxy holds.
        """
        self.proxy = proxy
        self.number = last_number
        self.accepted_number = last_number
        self.accepted = accepted
        self.newest = dict(accepted)
        # Sets that the proxy may still acknowledge, by generation number.
        self.sets: dict[int, dict[Key, Resource]] = {last_number: dict(accepted)}
        self.rejected_number = 0
        self.is_writing = False
        self.retry_ms = 0.0
        self.failures = 0  # consecutive failed writes
        self.last_received_ms = 0.0

    def next(self, tables: Tables, now_ms: float) -> Generation | None:
        """Returns the next generation, or None if there is nothing to send or a write is in progress or backed off."""
        if self.is_writing or now_ms < self.retry_ms:
            return None
        ledger = tables.proxies[self.proxy]
        base = dict(self.accepted if self.rejected_number > self.accepted_number else self.newest)
        has_unknown = any(key not in base for key in ledger.acknowledged)
        if has_unknown and not ledger.assignments:
            # The proxy holds resources from another source.  A set without them would remove them; they can be
            # included once the proxy is assigned a table, which follows soon.
            return None
        changes = tables.changes_to_send(self.proxy, now_ms, _accepts_all, atomic=True)
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
        """Adds the resources that the proxy holds from another source (a stream, another controller).

        Only their versions are known, not their contents; a resource whose desired version has changed since is
        sent at its desired version now, ahead of its turn.
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
                base[key] = desired  # replaces the encoded content that was read from files
        return base, changes

    def mark_written(self) -> None:
        """Records that the pending generation is on disk."""
        self.is_writing, self.failures = False, 0

    def mark_failed(self, ledger: ProxyState | None, number: int, now_ms: float, backoff_ms: float) -> None:
        """Records that a generation could not be written; the next one contains the newest state instead."""
        self.is_writing = False
        self.sets.pop(number, None)
        if ledger:
            ledger.cancel_in_flight(str(number))
        self.newest = dict(self.sets[max(self.sets)]) if self.sets else dict(self.accepted)
        self.retry_ms = now_ms + backoff_ms * min(MAX_BACKOFF_FACTOR, 2.0**self.failures)
        self.failures += 1

    def handle_ack(self, tables: Tables, number: int, reason: str, now_ms: float) -> AckResult:
        """Records that the proxy holds a generation or, with a reason, rejects it."""
        if number not in self.sets or number > self.number:
            return AckResult([], None, f"generation {number} is unknown")
        ledger = tables.proxies[self.proxy]
        in_flight = sorted(int(nonce) for nonce in ledger.in_flight_updates if int(nonce) <= number)
        if reason:
            return self._reject(tables, ledger, number, in_flight, reason, now_ms)
        if number < self.accepted_number:
            return AckResult([], None, f"generation {number} is older than the accepted one, {self.accepted_number}")
        acknowledged: list[Change] = []
        for sent_number in in_flight:
            acknowledged += tables.record_ack(self.proxy, str(sent_number), now_ms)
        self.accepted_number = number
        self.accepted = self.sets[number]
        self.sets = {each: resources for each, resources in self.sets.items() if each >= number}
        return AckResult(acknowledged, None, "")

    def _reject(
        self, tables: Tables, ledger: ProxyState, number: int, in_flight: list[int], reason: str, now_ms: float
    ) -> AckResult:
        if not in_flight:
            return AckResult([], None, "" if number == self.rejected_number else "generation was accepted before")
        newest = str(in_flight[-1])
        ledger.merge_in_flight([str(sent_number) for sent_number in in_flight[:-1]], newest)
        nack = tables.record_nack(self.proxy, newest, reason, now_ms)
        self.rejected_number = number
        self.sets = {each: resources for each, resources in self.sets.items() if each == self.accepted_number}
        self.newest = dict(self.accepted)
        self.sets[number] = dict(self.accepted)  # the same rejection may be read again
        return AckResult([], nack, "")

    def numbers_to_keep(self) -> set[int]:
        """Returns the generations that must stay on disk: the newest, and the last one that the proxy accepted."""
        return {self.number, self.accepted_number}


class PendingGeneration(NamedTuple):
    """A generation that waits to be written.

    Attributes:
        directory: The proxy's directory.
        generations: State of the proxy.
        generation: The generation itself.
        files: Its encoded files.
        manifest: Its encoded manifest.
        keep: Numbers of other generations that stay on disk.
        size_bytes: Size of the manifest and of the files that differ from the previous generation.
    """

    directory: str
    generations: ProxyGenerations
    generation: Generation
    files: list[GenerationFile]
    manifest: bytes
    keep: set[int]
    size_bytes: int


def _apply(resources: dict[Key, Resource], changes: list[Change]) -> tuple[dict[Key, Resource], list[Change]]:
    """Applies changes to a set; returns no changes if they would leave routes to a table that is not in the set.

    A rejected update is split and its parts are sent separately, so a part may contain routes without their table.
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


def _accepts_all(key: Key) -> bool:
    return True
