"""The file front: a watcher that reads what proxies write, a writer that swaps generations, lanes between them.

It only carries: what a proxy should hold and what may be sent is the tables' matter.  No file is touched in the
deciding thread, so that a slow or full disk costs file proxies alone.
"""

import queue
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from quillstep.config.controller import ControllerSettings
from quillstep.files.disk import Disk, UnusableFileError, read_ack, safe_name
from quillstep.files.generation_files import Packed, Packer, contents_of, manifest
from quillstep.files.lane import Generation, Lane
from quillstep.routing import Key, Resource, Tables
from quillstep.xds import resources
from quillstep.xds.load_stats import Hooks, read_report
from quillstep.xds.proxy_front import ProxyFront

ALIVE_PART = 0.1  # of the time after which silence counts, between two signs of life of ours
BATCH_MOST = 512  # generations between two syncs
FRESH_MS = 100.0  # in which a directory may change twice under one time stamp
UNKNOWN = -1  # in a hello: it holds some generation, and which is not known
CLEAR_EVERY = 2000  # swaps between two looks for contents that nobody links


class Hello(msgspec.Struct):
    """A proxy's own words: who it is, the generation it holds here, and versions it holds from elsewhere."""

    node: str
    zone: str = ""
    usual: float = 0.0
    generation: int = 0
    versions: dict[str, dict[str, str]] = {}


class Parked(NamedTuple):
    """What is known of a proxy that said hello: where its generations stand, and what the one it holds is made of."""

    hello: Hello
    newest: int
    holds: int
    contents: dict[Key, Resource]


class Job(NamedTuple):
    """A generation on its way to the disk."""

    directory: str
    lane: Lane
    generation: Generation
    files: list[Packed]
    manifest: bytes
    keep: set[int]
    bytes: int


class FileFront(ProxyFront):
    """All file-following proxies of one pilot.  `put` hands news to the deciding thread and blocks when it is full."""

    def __init__(
        self,
        record: ControllerSettings,
        tables: Tables,
        hooks: Hooks,
        epoch: str,
        ordered_ms: Callable[[int], float],
        tap: Callable[..., None],
        put: Callable[[tuple], None],
        disk: Disk | None = None,
    ) -> None:
        self.put = put
        self.facts = record.files
        super().__init__(
            record,
            tables,
            hooks,
            epoch,
            ordered_ms,
            tap,
            logger="files",
            maintenance_interval_ms=0.25 * self.facts.idle_timeout_ms,
        )
        self.disk = disk or Disk(record.files.root, record.files.fsync)
        self.packer = Packer(self.encoder, record.files.form, record.files.shards)
        self.lanes: dict[str, Lane] = {}  # by directory
        self.directories: dict[int, str] = {}
        self.parked: dict[str, Parked] = {}
        self.last: dict[str, dict[str, str]] = {}  # files of the newest generation by directory
        self.jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self.stopping = threading.Event()
        self.swaps = 0

    def start(self) -> None:
        threading.Thread(target=self.watch, daemon=True).start()
        threading.Thread(target=self.write, daemon=True).start()
        self.log.info("file front ready", root=self.disk.root)

    def stop(self) -> None:
        self.stopping.set()
        self.jobs.put(None)

    # threads of its own

    def watch(self) -> None:
        """Tell of what proxies have written; what can't be read is said once for each state of it."""
        seen: dict[tuple[str, str], Any] = {}
        alive = 0.0
        while not self.stopping.wait(self.facts.poll_interval_ms / 1000.0):
            try:
                if time.monotonic() * 1000.0 - alive > ALIVE_PART * self.facts.idle_timeout_ms:
                    self.disk.alive()
                    alive = time.monotonic() * 1000.0
                for proxy in self.disk.proxies():
                    self.look(proxy, seen)
            except OSError as trouble:
                self.once(seen, "", str(trouble))

    def look(self, proxy: str, seen: dict[tuple[str, str], Any]) -> None:
        """One proxy's directory.  Its own stamp spares the rest, unless it is so fresh that a change may share it."""
        try:
            here = self.disk.stamp(proxy, "")
            quiet = here is not None and time.time() * 1000.0 - here[0] / 1e6 > FRESH_MS
            changed = not quiet or seen.get((proxy, "")) != here
            seen[proxy, ""] = here if quiet else None
            for name in ("hello.json", "ack.json") if changed else ():
                at = self.disk.stamp(proxy, name)
                if at == seen.get((proxy, name)):
                    continue
                found = self.disk.read(name, proxy)
                seen[proxy, name] = found[1] if found else None
                if found:
                    age_ms = time.time() * 1000.0 - found[1][0] / 1e6
                    kind = name.partition(".")[0]
                    self.put(
                        (
                            "files",
                            kind,
                            proxy,
                            self.park(proxy, found[0]) if kind == "hello" else found[0],
                            age_ms,
                        )
                    )
            at = self.disk.stamp(proxy, "load")
            if at != seen.get((proxy, "load")):
                for name in self.disk.reports(proxy):
                    found = self.disk.read(name, proxy, "load")
                    self.disk.drop_report(proxy, name)
                    if found:
                        self.put(("files", "load", proxy, found[0], 0.0))
                seen[proxy, "load"] = self.disk.stamp(proxy, "load")
        except (UnusableFileError, OSError) as trouble:
            self.once(seen, proxy, str(trouble))

    def park(self, directory: str, data: bytes) -> Parked | str:
        """A hello and what it refers to on disk; a text says what is wrong with it."""
        try:
            hello = msgspec.json.decode(data, type=Hello)
        except msgspec.DecodeError as trouble:
            return str(trouble)
        if safe_name(hello.node) != directory:
            return f"it says it is {hello.node!r}"
        hello = self.since(directory, hello)
        newest = self.disk.newest(directory)
        claimed = self.disk.generation(directory, hello.generation) if hello.generation > 0 else None
        try:
            contents = contents_of(claimed[1]) if claimed else {}
        except ValueError:
            claimed, contents = None, {}
        return Parked(hello, newest, hello.generation if claimed else 0, contents)

    def since(self, directory: str, hello: Hello) -> Hello:
        """A hello with what its proxy has said it holds since then.

        Found by a played day: a pilot that started over read the first hello of a proxy that had followed it for long,
        and took it for a new one that holds nothing.
        """
        said = self.disk.stamp(directory, "hello.json")
        word = self.disk.read("ack.json", directory)
        if word is None or (said is not None and word[1][0] < said[0]):
            return hello
        try:
            number, reason = read_ack(word[0])
        except ValueError:
            return hello
        if reason:
            return msgspec.structs.replace(hello, generation=hello.generation or UNKNOWN)
        return msgspec.structs.replace(hello, generation=number, versions={})

    def once(self, seen: dict[tuple[str, str], Any], proxy: str, text: str) -> None:
        if seen.get((proxy, "said")) != text:
            seen[proxy, "said"] = text
            self.log.warning("path refused", proxy=proxy, reason=text)

    def write(self) -> None:
        """Prepare all generations that wait, sync once, point to them; what fails fails for its proxy alone."""
        while (job := self.jobs.get()) is not None:
            batch: list[Job] = [job]
            while len(batch) < BATCH_MOST and not self.jobs.empty():
                if (job := self.jobs.get()) is None:
                    return
                batch.append(job)
            ready = [job for job in batch if self.tried(job, lambda job: self.disk.prepare(
                job.directory, job.generation.number, job.files, job.manifest))]  # fmt: skip
            try:
                self.disk.settle()
            except OSError as found:
                for job in ready:
                    self.say_written(job, str(found))
                continue
            for job in ready:
                if self.tried(job, lambda job: self.disk.point(job.directory, job.generation.number, job.keep)):
                    self.say_written(job, "")
            self.swaps += len(ready)
            if self.swaps >= CLEAR_EVERY:
                self.swaps = 0
                self.disk.clear_objects()

    def tried(self, job: Job, step: Callable[[Job], None]) -> bool:
        """Do one job's part; a failure is its answer."""
        try:
            step(job)
        except (OSError, UnusableFileError) as found:
            self.say_written(job, str(found) or type(found).__name__)
            return False
        return True

    def say_written(self, job: Job, trouble: str) -> None:
        self.put(("files", "written", job, time.monotonic() * 1000.0, trouble))

    # in the deciding thread

    def take(self, news: tuple, now_ms: float) -> None:
        """One piece of news of the watcher or a writer."""
        _, kind, what, data, more = news
        if kind == "written":
            self.written(what, data, more, now_ms)
            return
        if kind == "hello":
            self.hello(what, data, more, now_ms)
            return
        if what not in self.lanes and what in self.parked and (kind != "ack" or more < self.facts.idle_timeout_ms):
            self.join(what, self.parked[what], now_ms)  # it was silent, and is there again
        lane = self.lanes.get(what)
        if lane is None:
            return
        lane.heard_ms = now_ms
        if kind == "ack":
            self.acknowledged(what, lane, data, now_ms)
        else:
            self.load(lane, data)

    def hello(self, directory: str, parked: Parked | str, age_ms: float, now_ms: float) -> None:
        if isinstance(parked, str):
            self.log.warning("hello refused", proxy=directory, reason=parked)
            return
        self.parked[directory] = parked
        if age_ms < self.facts.idle_timeout_ms:  # an older one is joined when it gives a sign of life
            self.join(directory, parked, now_ms)

    def join(self, directory: str, parked: Parked, now_ms: float) -> None:
        """A proxy is there: it holds what its generation on disk says, and what it says itself."""
        hello = parked.hello
        if directory in self.lanes:
            number = self.lanes[directory].number
            self.leave(directory, "it says hello anew", now_ms)
            parked = parked._replace(newest=max(parked.newest, number))
        held = {key: content.version for key, content in parked.contents.items()}
        if hello.generation and not parked.holds:
            text = "it says it holds a generation that does not read whole"
            self.log.warning("version unknown", proxy=hello.node, version=hello.generation, reason=text)
        for url, versions in hello.versions.items():
            held.update({resources.key_of(url, name): version for name, version in versions.items()})
        fresh = not held and not hello.generation
        proxy = self.hooks.join(hello.node, hello.zone, hello.usual, held, fresh, self)
        lane = Lane(proxy, parked.newest, dict(parked.contents))
        lane.heard_ms = now_ms
        if parked.holds:
            lane.accepted_number = parked.holds
            lane.sets = {parked.holds: dict(parked.contents)}
        self.lanes[directory], self.directories[proxy] = lane, directory
        self.last.pop(directory, None)
        self._record_joined(proxy, hello.node, hello.zone, fresh, len(held), now_ms)

    def leave(self, directory: str, reason: str, now_ms: float) -> None:
        lane = self.lanes.pop(directory)
        if directory in self.parked:
            hello = self.parked[directory].hello
            if lane.accepted_number in lane.sets and lane.accepted:
                hello = msgspec.structs.replace(hello, generation=lane.accepted_number, versions={})
            self.parked[directory] = Parked(hello, lane.number, lane.accepted_number, lane.accepted)
        self.directories.pop(lane.proxy, None)
        self.retry_ms.pop(lane.proxy, None)
        self._record_left(lane.proxy, reason, now_ms)

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Another front has this proxy now; only a new hello brings it back here."""
        if directory := self.directories.get(proxy):
            self.leave(directory, reason, now_ms)
            self.parked.pop(directory, None)

    def acknowledged(self, directory: str, lane: Lane, data: bytes, now_ms: float) -> None:
        node = self.nodes[lane.proxy]
        try:
            number, reason = read_ack(data)
        except ValueError as trouble:
            self.log.warning("acknowledgement not understood", proxy=node, reason=str(trouble))
            return
        word = lane.word(self.tables, number, reason, now_ms)
        nonce = f"{self.epoch}.g{number}"
        if word.trouble:
            self.log.warning("acknowledgement void", proxy=node, version=number, reason=word.trouble)
        if word.acknowledged:
            self.tap("ack", now_ms, proxy=node, nonce=nonce)
        if word.refusal:
            self.tap("nack", now_ms, proxy=node, nonce=nonce)
            self._log_nack(lane.proxy, word.refusal, number)
        self.tables.pending_proxies.add(lane.proxy)

    def load(self, lane: Lane, data: bytes) -> None:
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            self.log.warning("load report not understood", proxy=self.nodes[lane.proxy])
            return
        if request.cluster_stats:
            self.hooks.told(lane.proxy, read_report(request, data, self.hooks.places, self.hooks.endpoints))

    def written(self, job: Job, at_ms: float, trouble: str, now_ms: float) -> None:
        lane, generation = job.lane, job.generation
        here = self.lanes.get(job.directory) is lane
        if trouble:
            ledger = self.tables.proxies.get(lane.proxy) if here else None
            lane.failed(ledger, generation.number, now_ms, self.facts.retry_backoff_ms)
            self.log.error(
                "generation not written",
                proxy=self.nodes[lane.proxy],
                version=generation.number,
                reason=trouble,
            )
            self.last.pop(job.directory, None)
            if here:
                self.retry_ms[lane.proxy] = lane.retry_ms
            return
        lane.written()
        if here:
            self.tap(
                "send", at_ms, proxy=self.nodes[lane.proxy], order=generation.order,
                ordered=self.ordered_ms(generation.order), lines=generation.changed + generation.removed,
                bytes=job.bytes, nonce=f"{self.epoch}.g{generation.number}", type="files",
            )  # fmt: skip
            self.tables.pending_proxies.add(lane.proxy)  # what came meanwhile leaves with the next at once

    def _send_changes(self, proxy: int, now_ms: float) -> None:
        """Hand the next generation of a proxy of ours to the writer."""
        directory = self.directories.get(proxy)
        lane = self.lanes.get(directory) if directory else None
        if lane is None or directory is None:
            return
        generation = lane.next(self.tables, now_ms)
        if generation:
            self.hand_over(directory, lane, generation)
        elif not lane.writing and (look_ms := self.tables.proxies[proxy].next_retry_ms(now_ms)) is not None:
            self.retry_ms[proxy] = max(now_ms + 1.0, look_ms)
        elif now_ms < lane.retry_ms:
            self.retry_ms[proxy] = lane.retry_ms

    def hand_over(self, directory: str, lane: Lane, generation: Generation) -> None:
        files = self.packer.files(generation.contents)
        before = self.last.get(directory, {})
        changed = sum(len(packed.data) for packed in files if before.get(packed.name) != packed.digest)
        self.last[directory] = {packed.name: packed.digest for packed in files}
        ordered = self.ordered_ms(generation.order)
        told = manifest(self.epoch, generation.number, generation.order, ordered, files)
        keep = lane.held_numbers()
        self.jobs.put(Job(directory, lane, generation, files, told, keep, changed + len(told)))

    def _maintain(self, now_ms: float) -> None:
        """Proxies that give no sign of life have left; so have those that leave a generation without a word."""
        for directory, lane in list(self.lanes.items()):
            self._log_overdue_ejections(lane.proxy, now_ms)
            oldest = self.tables.proxies[lane.proxy].oldest_sent_ms()
            most = self.settings.limits.ack_timeout_ms
            if now_ms - lane.heard_ms > self.facts.idle_timeout_ms:
                self.leave(directory, f"no word from it for {self.facts.idle_timeout_ms:g} ms", now_ms)
            elif oldest is not None and not lane.writing and now_ms - oldest > most:
                self.leave(directory, f"no acknowledgement within {most:g} ms", now_ms)
