"""Stand-ins of the review's cases: discovery, endpoints, proxies, collectors, and the start of the pilot.

They follow the platform's protocol page and use the standard library alone.  Everything runs in one event loop on
loopback addresses; the pilot is a process of its own, started with `run` of the deploy file.
"""
# ruff: noqa: D102, D103

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 30.0  # the pages: a pilot that takes longer to be ready has failed
REDIAL_S = 1.1
ENDED = (asyncio.IncompleteReadError, asyncio.CancelledError)  # by the peer, or with the case


class CaseNotRunError(Exception):
    """The case could not be played, which says nothing of the rule."""


class UnusableMessageError(Exception):
    """The pilot has sent something that a proxy can't use."""


class Record:
    """Lines of the record, with the time since its start; `record.txt` of the case's folder."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.started_s

    def write(self, text):
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()


def frame(message):
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return struct.pack(">I", len(body)) + body


async def read_frame(reader):
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    return json.loads(await reader.readexactly(length))


class Endpoint:
    """One endpoint: answers health checks with its load, and is listed by discovery."""

    def __init__(self, name, zone, load=lambda: 0.4):
        self.name, self.zone, self.load = name, zone, load
        self.phase, self.up_since_ms, self.is_up = "ready", 0, True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, *ENDED):
            request = (await reader.readuntil(b"\r\n\r\n")).split()
            if not self.is_up:
                writer.transport.abort()
                return
            status = "200 OK" if self.phase == "ready" else "503 Service Unavailable"
            body = f"TEXT util={self.load():.3f}" if request[1] == b"/status/load" else ""
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write((head + body).encode())
            await writer.drain()
        writer.close()

    def entry(self):
        return {
            "id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "m1", "cell": 0,
            "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms,
        }  # fmt: skip


class Discovery:
    """The complete list, and watches that get each change at once and an empty line every 2 s."""

    def __init__(self, record, endpoints):
        self.record, self.revision, self.changes = record, 41, []  # pairs of a revision and an entry
        self.members = {each.name: each.entry() for each in endpoints}
        self.changed = asyncio.Event()
        self.told_s = {}  # by endpoint: when its last change was written to the pilot's watch

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def document(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def publish(self, *endpoints):
        self.revision += 1
        for each in endpoints:
            entry = each.entry()
            self.changes.append((self.revision, entry))
            self.members[each.name] = entry
            if each.phase == "gone":
                del self.members[each.name]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, *ENDED):
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            if "follow=1" in target:
                await self.follow(writer, int(target.partition("since=")[2]))
            else:
                body = json.dumps(self.document()).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        writer.close()

    async def follow(self, writer, since):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            changed = self.changed
            entries = [entry for revision, entry in self.changes if revision > since]
            since, line = self.revision, b"\n"
            if entries:
                document = {"revision": since, "complete": False, "members": entries}
                line = json.dumps(document).encode() + b"\n"
            writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
            await writer.drain()
            for entry in entries:
                self.told_s[entry["id"]] = self.record.now_s()
                since_ms = entry["up_since_ms"]
                self.record.write(f"discovery told {entry['id']} {entry['phase']} up_since_ms={since_ms}")
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), 2.0)


class Proxy:
    """A proxy that does as its tables say: applies each message, answers marks, and dials again after a break."""

    def __init__(self, record, number, zone, classes, initial, requests_per_s, late_s=0.0):
        self.record, self.number, self.zone, self.late_s = record, number, zone, late_s
        self.tables = {name: dict.fromkeys(initial, 1.0) for name in classes}
        self.levels, self.shut_out, self.holds_orders = {}, set(), False
        self.requests_per_s = requests_per_s  # by class
        self.writer, self.joined_s, self.last_message_s = None, None, None
        self.first_joined_s, self.messages, self.unusable = None, 0, 0

    async def run(self, address):
        host, _, port = address.rpartition(":")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, UnusableMessageError):
                reader, self.writer = await asyncio.open_connection(host, int(port))
                self.send({
                    "t": "attach", "id": self.number, "site": self.zone,
                    "rps": sum(self.requests_per_s.values()), "new": not self.holds_orders,
                })  # fmt: skip
                self.joined_s = self.record.now_s()
                self.first_joined_s = self.first_joined_s or self.joined_s
                self.record.write(f"proxy {self.number} joined")
                while True:
                    parts = [await read_frame(reader)]
                    while parts[-1].get("continued"):
                        parts.append(await read_frame(reader))
                    self.check(parts)
                    asyncio.get_running_loop().call_later(self.late_s, self.apply, parts, self.writer)
            self.joined_s = None
            self.record.write(f"proxy {self.number} lost its stream")
            await asyncio.sleep(REDIAL_S)

    def send(self, message):
        self.writer.write(frame(message))

    def check(self, parts):
        """Reset the stream if a message brings something that a proxy can't use; it then applies none of it."""
        for part in parts:
            figures = [weight for _, weight in part.get("endpoints", ())]
            if "admit" in part or "policy" in part:
                figures += [part.get("admit"), part.get("policy")]
            are_figures = all(type(each) in (int, float) and 0 <= each < float("inf") for each in figures)
            if not are_figures or not set(part.get("routes", ())) <= set(self.tables):
                self.record.write(f"proxy {self.number} resets its stream: it can't use {json.dumps(part)}")
                self.unusable += 1
                self.writer.transport.abort()
                raise UnusableMessageError

    def apply(self, parts, stream):
        """Apply a whole message: the table's lines, the levels, what is shut out or let back, and the mark."""
        if stream is not self.writer or self.joined_s is None:
            return
        self.holds_orders, self.last_message_s = True, self.record.now_s()
        self.messages += 1
        for part in parts:
            self.record.write(f"proxy {self.number} applied {json.dumps(part)}")
            for name in part.get("routes", list(self.tables)):
                table = {} if part.get("full") else dict(self.tables[name])
                table.update(part.get("endpoints", ()))
                self.tables[name] = {endpoint: weight for endpoint, weight in table.items() if weight > 0}
                if part.get("full"):
                    self.levels.pop(name, None)
                if "admit" in part:
                    self.levels[name] = (part["admit"], part["policy"])
            self.shut_out |= set(part.get("eject", ()))
            self.shut_out -= set(part.get("restore", ()))
            if "nonce_out" in part:
                self.send({"t": "done", "id": self.number, "seq": part["nonce_out"], "ms": 5.0})

    def lines(self, name):
        """The endpoints that a request of a class can be sent to, with their weights."""
        return {id_: weight for id_, weight in self.tables[name].items() if id_ not in self.shut_out}

    def report(self, counts, over_ms):
        """Report the requests that came, by class, with how many of them could not be served."""
        for name, (count, fail) in counts.items() if self.joined_s is not None else ():
            self.send({
                "t": "client_stats", "id": self.number, "lane": name, "count": count, "fail": fail, "over": over_ms,
            })  # fmt: skip


class Collector:
    """The collector of a zone: forwards what the zone's proxies met at each endpoint."""

    def __init__(self, zone):
        self.zone, self.writer = zone, None

    async def start(self, address):
        host, _, port = address.rpartition(":")
        _, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(frame({"t": "telemetry", "site": self.zone}))

    def report(self, endpoint, count, fail, mean_ms, over_ms, load=None):
        self.writer.write(frame({
            "t": "upstream_stats", "site": self.zone, "target": endpoint, "count": count, "fail": fail,
            "mean": mean_ms, "over": over_ms, **({"util": load} if load else {}),
        }))  # fmt: skip


class Pilot:
    """The pilot's process, started with `run` of the deploy file from the repository's root."""

    def __init__(self, record, folder, discovery, settings, known, sockets=256):
        self.record, self.folder = record, Path(folder)
        self.address = f"127.0.0.1:{free_port()}"
        self.document = {
            "name": "n0", "listen": self.address, "discovery": discovery, "seed": "51c0ffee8c1f30d2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known, "settings": settings,
        }  # fmt: skip

    async def start(self):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.document), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        if not (ROOT / ".venv/bin/python").exists():
            raise CaseNotRunError("the deploy file's build has not run")
        environment = {
            **os.environ, "TMPDIR": str(self.folder), "BALANCER_CONFIG": str(path), "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": self.address, "BALANCER_DISCOVERY": self.document["discovery"],
        }  # fmt: skip
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record.write(f"pilot started at {self.address}")
        deadline_s = time.monotonic() + READY_S
        while not await self.answers(1.0):
            if self.process.returncode is not None or time.monotonic() > deadline_s:
                raise CaseNotRunError(f"the pilot did not become ready: status {self.process.returncode}")
            await asyncio.sleep(0.1)
        self.record.write("pilot answered hb with hb_ok")

    async def answers(self, timeout_s):
        """Whether the pilot answers a sign of life on a new connection within this time."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(frame({"t": "hb"}))
                    return (await read_frame(reader)).get("t") == "hb_ok"
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False

    async def stop(self):
        """End the process: SIGTERM, and SIGKILL if it is still there 2 s later."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 2.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for line in (self.folder / "log").read_text(encoding="utf-8", errors="replace").splitlines()[-20:]:
            self.record.write(f"pilot's log: {line}")


def end_with_parent():
    """Run in the pilot's process before `run`: a case that is killed leaves no pilot behind."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def play(folder, case):
    """Play a case: `case(record, temporary_folder, has_trouble)` returns whether the rule held, and what was seen."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            has_held, seen = asyncio.run(case(record, Path(temporary), has_trouble))
    except (CaseNotRunError, OSError) as error:
        record.write(f"NOT RUN: {error}")
        print(f"not run: {error}")
        sys.exit(NOT_RUN)
    verdict = "held" if has_held else "BROKEN"
    record.write(f"rule {verdict}: {seen}")
    print(f"rule {verdict}: {seen}")
    sys.exit(HELD if has_held else BROKEN)
