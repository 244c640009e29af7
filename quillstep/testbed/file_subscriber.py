"""A stand-in proxy's subscription by files: it writes a hello file, then reads, applies and answers each generation.

It polls the directory, with a random delay before it reads.  A controller whose keep-alive file is too old is left for
the next one.
"""

import contextlib
import itertools
import os
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import xxhash
from envoy.config.core.v3 import health_check_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.files.disk import safe_name
from quillstep.files.generation_files import MANIFEST, Manifest, decode
from quillstep.net.clock import now_ms
from quillstep.testbed.proxy_interface import Address, ProxyInterface, Route, TableEntry
from quillstep.testbed.xds_subscriber import MESSAGES, drop_shares_of, routes_of, table_entry_of
from quillstep.xds.resources import CDS, COLLECTION, EDS, LEDS, RDS

POLL_INTERVAL_S = 0.03
POLLS_PER_LIVENESS_CHECK = 8
LIVENESS_TIMEOUT_MS = 1500.0  # age of the keep-alive file from which a controller counts as down
EJECTED_STATUSES = (health_check_pb2.DRAINING, health_check_pb2.UNHEALTHY)


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file and rename it into place, so that a reader never sees part of it."""
    new = path.with_suffix(".new")
    new.write_bytes(data)
    new.replace(path)


class ReportFiles:
    """A directory that load reports are written to, one file each."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.count = folder, 0

    @staticmethod
    def unsent() -> int:
        """Return 0: files are written at once."""
        return 0

    def send(self, data: bytes) -> None:
        """Write one report."""
        self.count += 1
        write_atomically(self.folder / f"{time.time_ns():020d}-{self.count % 1000:03d}.pb", data)


class FileSubscriber:
    """One proxy's subscription by files.

    `start` begins a daemon thread, which `stop` ends.  Faults are set from another thread, each until a time in
    milliseconds on the monotonic clock.
    """

    def __init__(self, proxy: ProxyInterface, roots: list[str]) -> None:
        """Subscribe for `proxy`; `roots` are its controllers' root directories, tried in turn."""
        self.proxy, self.roots = proxy, roots
        self.routing = proxy.routing
        self.stalled_until_ms = self.reject_until_ms = 0.0
        self.max_read_delay_ms = proxy.host.proxy_settings["dial_ms"] * 0.1
        self.stopping = threading.Event()
        self.report_stream: ReportFiles | None = None  # below the root that is followed
        self.last_handled = 0  # the newest generation that was answered
        self.accepted: dict[str, int] = {}  # generation by root
        self.connect_attempts = 0

    def start(self) -> None:
        """Start the thread that follows the controllers."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for it; the routing state is retained."""
        self.stopping.set()
        self.thread.join()

    def _record(self, **fields: Any) -> None:
        self.proxy.host.record.put(**{"at": now_ms(), "proxy": self.proxy.name, **fields})

    def _run(self) -> None:
        while not self.stopping.is_set():
            root = self.roots[self.connect_attempts % len(self.roots)]
            self.connect_attempts += 1
            if self._is_alive(root):
                self._follow(root)
            self.stopping.wait(self.proxy.host.proxy_settings["dial_ms"] / 1000.0)

    @staticmethod
    def _is_alive(root: str) -> bool:
        try:
            return time.time() - Path(f"{root}/.alive").stat().st_mtime < LIVENESS_TIMEOUT_MS / 1000.0
        except OSError:
            return False

    def _follow(self, root: str) -> None:
        directory = Path(root) / safe_name(self.proxy.name)
        (directory / "load").mkdir(parents=True, exist_ok=True)
        self.last_handled = self._current_generation(Path(f"{directory}/current"))
        generation = self.accepted.get(root, 0)
        hello = {"node": self.proxy.name, "zone": self.proxy.zone, "usual": self.proxy.requests_per_s,
                 "generation": 0, "versions": self.routing.versions}  # fmt: skip
        if generation and generation == self.last_handled:
            hello.update(generation=generation)
        write_atomically(directory / "hello.json", msgspec.json.encode(hello))
        self._record(what="stream", up=True, pilot=root)
        self.report_stream = ReportFiles(directory / "load")
        link = Path(f"{directory}/current")
        for poll in itertools.count():
            if self.stopping.wait(POLL_INTERVAL_S) or (
                poll % POLLS_PER_LIVENESS_CHECK == 0 and not self._is_alive(root)
            ):
                break
            if (remaining_ms := self.stalled_until_ms - now_ms()) > 0:
                self.stopping.wait(remaining_ms / 1000.0)
                continue
            if self._current_generation(link) != self.last_handled:
                self.stopping.wait(self.max_read_delay_ms * self.proxy.draw() / 1000.0)
                self._handle_generation(root, directory)
        self.report_stream = None
        with contextlib.suppress(OSError):
            (directory / "hello.json").unlink()
        self._record(what="stream", up=False, pilot=root, reason="left it" if self.stopping.is_set() else "silent")

    @staticmethod
    def _current_generation(link: Path) -> int:
        try:
            name = link.readlink().name
            return int(name) if name.isdigit() else 0
        except OSError:
            return 0

    def _handle_generation(self, root: str, directory: Path) -> None:
        """Read the current generation, apply or reject it as a whole, and write the acknowledgement."""
        try:
            manifest, files = read_generation(directory)
        except FileNotFoundError:
            return  # removed during the read, because a newer generation has replaced it
        except ValueError as error:
            self._record(what="torn", reason=str(error))
            return
        try:
            resources = read_resources(files)
            invalid = ""
        except ValueError as error:
            resources, invalid = [], str(error)
        new: dict[str, dict[str, str]] = {}
        for url, name, version, _ in resources:
            new.setdefault(url, {})[name] = version
        versions = self.routing.versions
        changed = [(n, v) for url in new for n, v in new[url].items() if versions.get(url, {}).get(n) != v]
        removed = [n for url, old in versions.items() for n in old if n not in new.get(url, {})]
        row: dict[str, Any] = {"type": "files", "nonce": f"{manifest.origin}.g{manifest.generation}",
                "changed": changed, "removed": removed, "bytes": sum(len(data) for data in files.values()),
                "system": f"{manifest.origin}/{manifest.revision}/{manifest.ordered_ms:.1f}"}  # fmt: skip
        with self.proxy.lock:
            time.sleep(self.proxy.host.proxy_settings["line_ms"] * (len(changed) + len(removed)) / 1000.0)
        ack: dict[str, Any] = {"generation": manifest.generation}
        try:
            if invalid or self.reject_until_ms > now_ms():
                raise ValueError(invalid or "told to refuse")
            with self.proxy.lock:
                self._apply(resources, new)
                row["at"] = now_ms()  # before any choice by the new table, which takes the same lock
        except ValueError as error:
            ack["refused"] = str(error)
            self._record(what="refused", reason=str(error), **row)
        else:
            self.accepted = {root: manifest.generation}
            self._record(what="applied", **row)
            self.proxy.on_update_applied()
        self.last_handled = manifest.generation
        write_atomically(directory / "ack.json", msgspec.json.encode(ack))

    def _apply(self, resources: list[tuple[str, str, str, Any]], versions: dict[str, dict[str, str]]) -> None:
        """Replace the routing state by a generation's resources.

        Raises:
            ValueError: A route can't be followed, or leads to a table that the generation lacks.
        """
        tables: dict[str, dict[str, TableEntry]] = {name: {} for url, name, _, _ in resources if url == CDS}
        ejected_by_name: dict[str, Address] = {}
        drop_shares: dict[str, dict[str, float]] = {}
        routes: dict[str, Route] = {}
        routes_version = ""
        for url, name, version, message in resources:
            group, _, _ = name.removeprefix(COLLECTION).partition("/")
            if url == EDS:
                drop_shares[name] = drop_shares_of(message)
            elif url == RDS:
                routes, routes_version = routes_of(message), version
            elif url == LEDS and group == "withdrawn" and message.health_status in EJECTED_STATUSES:
                ejected_by_name[name] = table_entry_of(message, version)[0]
            elif url == LEDS and group in tables:
                tables[group][name] = table_entry_of(message, version)
        missing = {route.table for route in routes.values() if not route.closed} - set(tables)
        if missing:
            raise ValueError(f"routes to {sorted(missing)}, which are not there")
        routing = self.routing
        routing.tables, routing.ejected_by_name, routing.ejected, routing.drop_shares = (
            tables, ejected_by_name, set(ejected_by_name.values()), drop_shares,
        )  # fmt: skip
        routing.routes, routing.routes_version = routes, routes_version
        routing.versions = versions

    def report_address(self) -> None:
        """Return None: load reports are written to files."""

    def disconnect(self, until_ms: float) -> None:
        """Read nothing until then, as if the file system had failed."""
        self.stalled_until_ms = until_ms


def read_resources(files: dict[str, bytes]) -> list[tuple[str, str, str, Any]]:
    """Return type, name, version and message of all resources in a generation's files.

    Raises:
        ValueError: A file can't be decoded, or a resource is of another type.
    """
    resources = []
    for file, data in files.items():
        response = decode(file, data)
        for packed in response.resources:
            wrapped = discovery_pb2.Resource()
            message = MESSAGES[response.type_url]()
            if not packed.Unpack(wrapped) or not wrapped.resource.Unpack(message):
                raise ValueError(f"{file} holds what is no {response.type_url}")
            resources.append((response.type_url, wrapped.name, wrapped.version, message))
    return resources


def read_generation(directory: Path, between: Callable[[], object] | None = None) -> tuple[Manifest, dict[str, bytes]]:
    """Read the current generation through one directory descriptor, so that all files are of the same generation.

    Args:
        directory: The proxy's directory.
        between: Called after the manifest is read and before each file, for tests that swap generations meanwhile.

    Returns:
        The manifest, and the contents of its files by name.

    Raises:
        FileNotFoundError: The generation was removed during the read.
        ValueError: The manifest is invalid, or a file differs from its digest.
    """
    descriptor = os.open(directory / "current", os.O_RDONLY | os.O_DIRECTORY)
    try:
        manifest = msgspec.json.decode(read_at(descriptor, MANIFEST), type=Manifest)
        files = {}
        for name, digest in manifest.files.items():
            if between:
                between()
            files[name] = read_at(descriptor, name)
            if xxhash.xxh3_128_hexdigest(files[name]) != digest:
                raise ValueError(f"{name} is not what the manifest says")
        return manifest, files
    except msgspec.DecodeError as error:
        raise ValueError(f"{MANIFEST}: {error}") from None
    finally:
        os.close(descriptor)


def read_at(directory: int, name: str) -> bytes:
    """Return the contents of a file below an open directory.

    Raises:
        OSError: The file can't be read.
    """
    descriptor = os.open(name, os.O_RDONLY, dir_fd=directory)
    with os.fdopen(descriptor, "rb") as file:
        return file.read()
