"""How a stand-in proxy follows files: says hello, reads each generation whole, acknowledges or refuses, reports load.

It looks every few milliseconds, late by its settings; a pilot that gives no sign of life is left for the next.
"""

import contextlib
import itertools
import os
import threading
import time
from pathlib import Path
from typing import Any

import msgspec
import xxhash
from envoy.config.core.v3 import health_check_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.files.disk import safe_name
from quillstep.files.generation_files import MANIFEST, Manifest, decode
from quillstep.net.clock import now_ms
from quillstep.testbed.proxy_interface import ProxyInterface
from quillstep.testbed.xds_subscriber import MESSAGES, drop_shares_of, line_of, routes_of
from quillstep.xds.resources import CDS, COLLECTION, EDS, LEDS, RDS

POLL_INTERVAL_S = 0.03
POLLS_PER_LIVENESS_CHECK = 8  # looks between two at its pilot's sign of life
LIVENESS_TIMEOUT_MS = 1500.0  # a pilot without a sign of life for so long is left
GONE = (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY)


def put(path: Path, data: bytes) -> None:
    """Write a file whole."""
    new = path.with_suffix(".new")
    new.write_bytes(data)
    os.replace(new, path)


class ReportFiles:
    """Where load reports go, a file each."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.count = folder, 0

    @staticmethod
    def unsent() -> int:
        return 0

    def send(self, data: bytes) -> None:
        self.count += 1
        put(self.folder / f"{time.time_ns():020d}-{self.count % 1000:03d}.pb", data)


class FileSubscriber:
    """One proxy's way with files; `roots` are its pilots' roots in the sequence of dialling."""

    def __init__(self, proxy: ProxyInterface, roots: list[str]) -> None:
        self.proxy, self.roots = proxy, roots
        self.held = proxy.held
        self.stalled_ms = self.refuses_ms = 0.0
        self.late_ms = proxy.host.proxies["dial_ms"] * 0.1
        self.ended = threading.Event()
        self.load_stream: ReportFiles | None = None  # below the root it follows
        self.done = 0  # the newest generation it has answered
        self.accepted: dict[str, int] = {}  # generation by root
        self.dials = 0

    def start(self) -> None:
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def end(self) -> None:
        self.ended.set()
        self.thread.join()

    def record(self, **fields: Any) -> None:
        self.proxy.host.record.put(**{"at": now_ms(), "proxy": self.proxy.name, **fields})

    def run(self) -> None:
        while not self.ended.is_set():
            root = self.roots[self.dials % len(self.roots)]
            self.dials += 1
            if self.alive(root):
                self.follow(root)
            self.ended.wait(self.proxy.host.proxies["dial_ms"] / 1000.0)

    @staticmethod
    def alive(root: str) -> bool:
        try:
            return time.time() - os.stat(f"{root}/.alive").st_mtime < LIVENESS_TIMEOUT_MS / 1000.0
        except OSError:
            return False

    def follow(self, root: str) -> None:
        here = Path(root) / safe_name(self.proxy.name)
        (here / "load").mkdir(parents=True, exist_ok=True)
        self.done = self.current(f"{here}/current")
        generation = self.accepted.get(root, 0)
        hello = {"node": self.proxy.name, "zone": self.proxy.zone, "usual": self.proxy.usual,
                 "generation": 0, "versions": self.held.versions}  # fmt: skip
        if generation and generation == self.done:
            hello.update(generation=generation)
        put(here / "hello.json", msgspec.json.encode(hello))
        self.record(what="stream", up=True, pilot=root)
        self.load_stream = ReportFiles(here / "load")
        link = f"{here}/current"
        for look in itertools.count():
            if self.ended.wait(POLL_INTERVAL_S) or (look % POLLS_PER_LIVENESS_CHECK == 0 and not self.alive(root)):
                break
            if (left := self.stalled_ms - now_ms()) > 0:
                self.ended.wait(left / 1000.0)
                continue
            if self.current(link) != self.done:
                self.ended.wait(self.late_ms * self.proxy.draw() / 1000.0)
                self.look(root, here)
        self.load_stream = None
        with contextlib.suppress(OSError):
            (here / "hello.json").unlink()
        self.record(what="stream", up=False, pilot=root, reason="left it" if self.ended.is_set() else "silent")

    @staticmethod
    def current(link: str) -> int:
        try:
            name = os.readlink(link).rpartition("/")[2]
            return int(name) if name.isdigit() else 0
        except OSError:
            return 0

    def look(self, root: str, here: Path) -> None:
        """Read the generation that is current, apply it as a whole, answer."""
        try:
            told, files = read_generation(here)
        except FileNotFoundError:
            return  # it was cleared away while we read: there is a newer one
        except ValueError as trouble:
            self.record(what="torn", reason=str(trouble))
            return
        try:
            resources = read_resources(files)
            broken = ""
        except ValueError as found:
            resources, broken = [], str(found)
        new: dict[str, dict[str, str]] = {}
        for url, name, version, _ in resources:
            new.setdefault(url, {})[name] = version
        versions = self.held.versions
        changed = [(n, v) for url in new for n, v in new[url].items() if versions.get(url, {}).get(n) != v]
        removed = [n for url, old in versions.items() for n in old if n not in new.get(url, {})]
        note: dict[str, Any] = {"type": "files", "nonce": f"{told.origin}.g{told.generation}", "changed": changed,
                "removed": removed, "bytes": sum(len(data) for data in files.values()),
                "system": f"{told.origin}/{told.revision}/{told.ordered_ms:.1f}"}  # fmt: skip
        with self.proxy.lock:
            time.sleep(self.proxy.host.proxies["line_ms"] * (len(changed) + len(removed)) / 1000.0)
        answer: dict[str, Any] = {"generation": told.generation}
        try:
            if broken or self.refuses_ms > now_ms():
                raise ValueError(broken or "told to refuse")
            with self.proxy.lock:
                self.apply(resources, new)
                note["at"] = now_ms()  # whoever picks by it does so later: both hold the lock
        except ValueError as trouble:
            answer["refused"] = str(trouble)
            self.record(what="refused", reason=str(trouble), **note)
        else:
            self.accepted = {root: told.generation}
            self.record(what="applied", **note)
            self.proxy.applied()
        self.done = told.generation
        put(here / "ack.json", msgspec.json.encode(answer))

    def apply(self, resources: list[tuple[str, str, str, Any]], versions: dict[str, dict[str, str]]) -> None:
        """All of a generation in place of all that was held."""
        tables: dict[str, dict] = {name: {} for url, name, _, _ in resources if url == CDS}
        outs, drops, routes, routes_version = {}, {}, {}, ""
        for url, name, version, message in resources:
            group, _, _ = name.removeprefix(COLLECTION).partition("/")
            if url == EDS:
                drops[name] = drop_shares_of(message)
            elif url == RDS:
                routes, routes_version = routes_of(message), version
            elif url == LEDS and group == "withdrawn" and message.health_status in GONE:
                outs[name] = line_of(message, version)[0]
            elif url == LEDS and group in tables:
                tables[group][name] = line_of(message, version)
        missing = {route.table for route in routes.values() if not route.closed} - set(tables)
        if missing:
            raise ValueError(f"routes to {sorted(missing)}, which are not there")
        held = self.held
        held.tables, held.outs, held.out, held.drops = tables, outs, set(outs.values()), drops
        held.routes, held.routes_version = routes, routes_version
        held.versions = versions

    def report_address(self) -> None:
        """Load reports go to files here."""

    def cut(self, until_ms: float) -> None:
        self.stalled_ms = until_ms


def read_resources(files: dict[str, bytes]) -> list[tuple[str, str, str, Any]]:
    """Type, name, version and message of all resources of a generation; raises ValueError."""
    found = []
    for file, data in files.items():
        response = decode(file, data)
        for packed in response.resources:
            wrapped = discovery_pb2.Resource()
            message = MESSAGES[response.type_url]()
            if not packed.Unpack(wrapped) or not wrapped.resource.Unpack(message):
                raise ValueError(f"{file} holds what is no {response.type_url}")
            found.append((response.type_url, wrapped.name, wrapped.version, message))
    return found


def read_generation(here: Path, between: Any = None) -> tuple[Manifest, dict[str, bytes]]:
    """The current generation whole, from one directory descriptor.

    Raises FileNotFoundError if it was cleared away meanwhile, ValueError if it is torn.  `between` is called between
    the manifest and each file, for tests that read in the middle of a swap.
    """
    at = os.open(here / "current", os.O_RDONLY | os.O_DIRECTORY)
    try:
        told = msgspec.json.decode(read_at(at, MANIFEST), type=Manifest)
        files = {}
        for name, digest in told.files.items():
            if between:
                between()
            files[name] = read_at(at, name)
            if xxhash.xxh3_128_hexdigest(files[name]) != digest:
                raise ValueError(f"{name} is not what the manifest says")
        return told, files
    except msgspec.DecodeError as trouble:
        raise ValueError(f"{MANIFEST}: {trouble}") from None
    finally:
        os.close(at)


def read_at(at: int, name: str) -> bytes:
    held = os.open(name, os.O_RDONLY, dir_fd=at)
    with os.fdopen(held, "rb") as file:
        return file.read()
