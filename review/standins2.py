"""Stand-ins for the platform round the project's controllers: discovery, endpoints, proxies, collectors, the channel.

Written from the users' pages alone; standard library only.  One process and one event loop play all of them, over TCP
on loopback addresses.  The controllers are started with the command `run` of the deploy file, as separate processes.

The channel of a controller sends its messages one after another at a stated number of lines a second; a message then
takes a stated time to take effect at its proxy.  A request is a record: which proxy sent it to which endpoint, when.
"""

import asyncio
import contextlib
import json
import logging
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PID = os.getpid()
HOST = f"127.{1 + PID // 62500 % 100}.{1 + PID // 250 % 250}.{1 + PID % 250}"  # loopback, one for each run of a case
KEEP_ALIVE_S = 2.0
SLACK_S = 0.3  # "the rules' time limits are 300 ms longer"
FIRST_S = 1.0  # "they begin no sooner than 1 s after the pilot first answered"
TICK_S = 0.02
ANSWER_S, GIVEN_UP_S = 0.12, 0.9  # how long a try takes that is answered, and one that is not
REPORT_LATE_S = 0.6
SETTLE_LIMIT_S = 40.0


class CannotRunError(Exception):
    """The case could not be played; it says nothing of the rule."""


def frame(message: dict[str, Any]) -> bytes:
    """Return a message with its length."""
    body = json.dumps(message).encode()
    return len(body).to_bytes(4, "big") + body


def free_port(taken: set[int] = set()) -> int:  # noqa: B006
    """Return a port of this run's address that nobody uses, below those that the system hands out by itself."""
    for port in range(3000, 30000):
        with contextlib.suppress(OSError):
            if port not in taken:
                socket.create_server((HOST, port)).close()
                taken.add(port)
                return port
    raise CannotRunError("no port is free")


LANES = [  # of cotizanet-mx: name, agreed time, cut-off (s), credit, repeats, share
    ("quote-lookup", 1.2, 3.0, 1.0, "safe", 0.61),
    ("quote-save", 1.2, 3.0, 3.0, "keyed", 0.26),
    ("folio-issue", 0.75, 2.5, 2.0, "unsafe", 0.13),
]


def deployment(
    zones: list[str],
    lanes: list[tuple[str, float, float, float, str, float]],
    rules: dict[str, Any],
    specifics: dict[str, Any],
    stats: dict[str, Any],
) -> dict[str, Any]:
    """Return the settings of a deployment, with what all cases have in common."""
    return {
        "lanes": [
            {
                "name": name,
                "aim": round(aim * 1e6),
                "giveUp": round(give_up * 1e6),
                "worth": worth,
                "lateWorth": 0.2,
                "semantics": semantics,
                "keyScope": "all",
                "repeatWindow": 2000000,
            }
            for name, aim, give_up, worth, semantics, _ in lanes
        ],
        "zones": zones,
        "tick": 4000,
        "discovery": "pushed",
        "family": "control",
        "allowed": {"probing": True, "dialTimeout": 250000},
        "stats": stats,
        "rules": {"startCapacity": 0.15, "tipAfter": 1500000, **rules},
        "specifics": {
            "messagesOver": 10000000,
            "reportEvery": 1000000,
            "ejects": 5,
            "standing": 5,
            "tryFactor": 0.8,
            "slices": 0,
            "selectsBy": "round",
            "homeOnly": [False for _ in lanes],
            "classWrites": [semantics != "safe" for *_, semantics, _ in lanes],
            **specifics,
        },
    }


class Record:
    """The file `record.txt`: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{time.monotonic() - self.started_s:9.3f} {text}\n")
        self.file.flush()


class Endpoint:
    """A server: answers health checks with its load, and counts the requests that are sent to it."""

    def __init__(self, name: str, zone: str, capacity_per_s: float) -> None:
        self.name, self.zone, self.capacity_per_s = name, zone, capacity_per_s
        self.up_since_ms = 0.0
        self.phase = "ready"
        self.port = 0
        self.taken: deque[float] = deque()  # times of the requests of the last second that it could work on
        self.requests = 0

    def util(self) -> float:
        """Return the share of its capacity that the requests of the last second take."""
        now = time.monotonic()
        while self.taken and self.taken[0] < now - 1.0:
            self.taken.popleft()
        return min(1.0, len(self.taken) / self.capacity_per_s)

    def take_request(self, now: float) -> bool:
        """Take a request; return whether it is answered: what is beyond the capacity waits until it is given up."""
        self.requests += 1
        if self.util() >= 1.0:
            return False
        self.taken.append(now)
        return True

    def entry(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": "std-4c",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one health check."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            body = f"TEXT util={self.util():.3f}\n".encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        writer.close()


class Channel:
    """The platform's channel of one controller: first in, first out, at a number of lines a second."""

    def __init__(self, lines_per_s: float, per_message: float, late_s: float) -> None:
        self.lines_per_s, self.per_message, self.late_s = lines_per_s, per_message, late_s
        self.free_s = 0.0
        self.waiting: deque[tuple[float, float]] = deque()  # when it has left, and its lines
        self.most = 0.0

    def put(self, lines: float, now: float) -> float:
        """Add a message; return when it takes effect at its proxy."""
        while self.waiting and self.waiting[0][0] <= now:
            self.waiting.popleft()
        total = lines + self.per_message
        self.free_s = max(self.free_s, now) + total / self.lines_per_s
        self.waiting.append((self.free_s, total))
        self.most = max(self.most, sum(each for _, each in self.waiting))
        return self.free_s + self.late_s


class Pilot:
    """One controller, started with the command of the deploy file; and its agent of discovery."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.port, self.discovery_port = free_port(), 0
        self.process: subprocess.Popen[bytes] | None = None
        self.channel = world.new_channel()
        self.answered_s = float("inf")  # when it first answered `hb`
        self.told: dict[str, float] = {}  # by endpoint: when this controller was told that it drains
        self.told_start: dict[str, float] = {}  # by endpoint: when it was told of its newest start
        self.watchers: set[asyncio.Queue[bytes]] = set()
        self.folder = world.folder / name
        self.folder.mkdir()
        self.is_open = False

    async def start(self) -> None:
        """Start the process and wait until it answers `hb`."""
        self.is_open, self.answered_s = False, float("inf")
        self.channel = self.world.new_channel()
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": f"{self.world.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.world.sockets},
            "known": self.world.full_list(),
            "settings": self.world.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.world.record.write(f"{self.name}: started, process {self.process.pid}")
        deadline = time.monotonic() + 30.0
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.wait_for(self._heartbeat(), 1.0)
                if self.process.poll() is not None:
                    break
                self.answered_s = time.monotonic()
                self.is_open = True
                self.world.record.write(f"{self.name}: answered hb")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready within 30 s")

    async def _heartbeat(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(frame({"t": "hb"}))
        length = int.from_bytes(await reader.readexactly(4), "big")
        await reader.readexactly(length)
        writer.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record.write(f"{self.name}: sent {signal.Signals(number).name}")

    async def stop(self) -> None:
        """Stop the process as a planned restart does: SIGTERM, and SIGKILL 0.7 s later if it still runs."""
        assert self.process
        self.is_open = False
        self.signal(signal.SIGTERM)
        deadline = time.monotonic() + 0.7
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def kill_now(self) -> None:
        """Kill the process outright."""
        assert self.process
        self.is_open = False
        self.signal(signal.SIGKILL)
        self.process.wait()

    def kill(self) -> None:
        """End the process for good."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def tell(self, members: list[dict[str, Any]]) -> None:
        """Write changes of the list to the controller's watches."""
        line = json.dumps({"revision": self.world.revision, "complete": False, "members": members}).encode()
        for watcher in self.watchers:
            watcher.put_nowait(line)

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a request for the list, or a watch."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            if "follow" in target:
                await self._serve_watch(writer, int(target.partition("since=")[2] or 0))
            else:
                body = json.dumps(self.world.full_list()).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                self._note_told(self.world.full_list()["members"])
                await writer.drain()
        writer.close()

    async def _serve_watch(self, writer: asyncio.StreamWriter, since: int) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since != self.world.revision:
            queue.put_nowait(json.dumps(self.world.full_list()).encode())
        self.watchers.add(queue)
        try:
            while True:
                line = b""
                with contextlib.suppress(TimeoutError):
                    line = await asyncio.wait_for(queue.get(), KEEP_ALIVE_S)
                writer.write(f"{len(line) + 1:x}\r\n".encode() + line + b"\n\r\n")
                if line:
                    self._note_told(json.loads(line)["members"])
                await writer.drain()
        finally:
            self.watchers.discard(queue)

    def _note_told(self, members: list[dict[str, Any]]) -> None:
        for member in members:
            if member["phase"] != "ready" and member["id"] not in self.told:
                self.told[member["id"]] = time.monotonic()
                self.world.record.write(f"discovery told {self.name}: {member['id']} is {member['phase']}")


class Proxy:
    """A proxy: follows its tables, applies messages when they arrive, and dials again after a break."""

    def __init__(self, world: "World", number: int, zone: str, rates: list[float]) -> None:
        self.world, self.number, self.zone, self.rates = world, number, zone, rates
        self.pilot: Pilot | None = None  # while it is joined
        self.left: Pilot | None = None  # whose stream broke last
        self.joined_s = 0.0
        self.is_fresh = True
        self.tables: list[dict[str, float]] = [{} for _ in world.classes]
        self.credits: list[dict[str, float]] = [{} for _ in world.classes]
        self.ejected: set[str] = set()  # kept across streams, until a controller's tables hold for all classes
        self.ejected_here: set[str] = set()  # of these, what came on this stream
        self.bound: set[int] = set()  # classes that have been sent a whole table on this stream
        self.levels: dict[int, float] = {}
        self.reported: Counter[int] = Counter()
        self.failures: Counter[str] = Counter()  # tries in a row that failed, by endpoint
        self.avoided_until: dict[str, float] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.messages = 0
        self.last_effect_s = 0.0

    async def run(self) -> None:
        """Join controllers, one after another, for good."""
        while True:
            pilot = self.world.pilot_for(self)
            if pilot:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._join(pilot)
                self.left = pilot
                if not pilot.is_open:
                    self.pilot = None
                # Else the controller has ended the stream, or not taken it: it does not count as left.
                if self.writer:
                    self.writer.close()
                    self.writer = None
                await asyncio.sleep(self.world.random.uniform(*self.world.redial_s))
            else:
                await asyncio.sleep(0.1)

    async def _join(self, pilot: Pilot) -> None:
        reader, writer = await asyncio.open_connection(HOST, pilot.port)
        self.writer = writer
        rps = round(sum(self.rates), 2)
        writer.write(frame({"t": "attach", "id": self.number, "site": self.zone, "rps": rps, "new": self.is_fresh}))
        if self.pilot is not pilot:
            self.joined_s, self.pilot = time.monotonic(), pilot
        self.world.note_joined(self, pilot)
        lines, parts = 0, []
        self.ejected_here, self.bound = set(), set()
        while True:
            length = int.from_bytes(await reader.readexactly(4), "big")
            message = json.loads(await reader.readexactly(length))
            if message["t"] != "assign":
                continue
            parts.append(message)
            lines += line_count(message)
            if message.get("continued"):
                continue
            now = time.monotonic()
            at = pilot.channel.put(lines, now)
            self.world.note_message(self, pilot, parts, lines, at)
            asyncio.get_running_loop().call_at(at, self._apply, writer, parts, at - now)
            lines, parts = 0, []

    def _apply(self, writer: asyncio.StreamWriter, parts: list[dict[str, Any]], took_s: float) -> None:
        if writer is not self.writer:
            return  # messages on the way are lost with the stream
        self.is_fresh = False
        for part in parts:
            self._apply_part(part)
        self.messages += 1
        for part in parts:
            if "nonce_out" in part:
                done = {"t": "done", "id": self.number, "seq": part["nonce_out"], "ms": round(1000 * took_s, 1)}
                writer.write(frame(done))

    def _apply_part(self, part: dict[str, Any]) -> None:
        names = part.get("routes")
        for index, name in enumerate(self.world.classes):
            if names is not None and name not in names:
                continue
            if part.get("full"):
                self.tables[index] = {}
                self.levels.pop(index, None)
                self.bound.add(index)
            for endpoint, weight in part.get("endpoints", ()):
                self.tables[index].pop(endpoint, None)
                if weight:
                    self.tables[index][endpoint] = weight
            if "admit" in part:
                self.levels[index] = part["admit"]
        if part.get("full"):
            self.world.note_full(self)
        for ejected in (self.ejected, self.ejected_here):
            ejected |= set(part.get("eject", ()))
            ejected -= set(part.get("restore", ()))
        if len(self.bound) == len(self.world.classes):  # "a bound proxy [follows] only this instance's withdrawals"
            self.ejected = set(self.ejected_here)

    def note_outcome(self, endpoint: str, is_answered: bool) -> None:
        """Count the end of a try; after five in a row that failed, keep away from the endpoint for some seconds."""
        counts = self.world.upstream.setdefault(self.zone, {}).setdefault(endpoint, [0, 0])
        counts[0] += 1
        counts[1] += not is_answered
        self.failures[endpoint] = 0 if is_answered else self.failures[endpoint] + 1
        if self.failures[endpoint] >= self.world.settings["specifics"]["ejects"]:
            self.failures[endpoint] = 0
            self.avoided_until[endpoint] = time.monotonic() + self.world.random.uniform(4.3, 7.1)

    def admits(self, index: int) -> bool:
        """Return whether a request is let in, by the level of its class."""
        level = self.levels.get(index)
        if level is None:
            return True
        share = level if self.world.admission == "share" else level / max(self.rates[index], 1e-9)
        return self.world.random.random() < share

    def pick(self, index: int) -> str | None:
        """Return an endpoint of the class's table, evenly by weight; None if there is none to pick."""
        table, credit = self.tables[index], self.credits[index]
        lines = {endpoint: weight for endpoint, weight in table.items() if endpoint not in self.ejected}
        now = time.monotonic()
        near = {endpoint: weight for endpoint, weight in lines.items() if self.avoided_until.get(endpoint, 0.0) < now}
        lines = near or lines
        total = sum(lines.values())
        if not total:
            return None
        best, best_credit = "", float("-inf")
        for endpoint, weight in lines.items():
            value = credit.get(endpoint)
            if value is None:
                value = self.world.random.random() * total / len(lines)
            value += weight
            credit[endpoint] = value
            if value > best_credit:
                best, best_credit = endpoint, value
        credit[best] -= total
        return best


def line_count(message: dict[str, Any]) -> int:
    """Return a message's lines: each line, endpoint shut out or let back, level, mark and `full` counts as one."""
    lines = sum(len(message.get(name, ())) for name in ("endpoints", "eject", "restore"))
    return lines + ("admit" in message) + ("nonce_out" in message) + bool(message.get("full"))


class World:
    """All stand-ins of one case, and the check of the drain rule."""

    def __init__(self, record: Record, settings: dict[str, Any], seed: int, **channel: float) -> None:
        self.record, self.settings, self.random = record, settings, random.Random(seed)
        self.classes = [each["name"] for each in settings["lanes"]]
        self.admission = settings["specifics"]["admission"]
        self.channel = channel
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.revision = 1
        self.endpoints: dict[str, Endpoint] = {}
        self.pilots: list[Pilot] = []
        self.proxies: list[Proxy] = []
        self.redial_s = (1.1, 2.5)
        self.sockets = 1024
        self.grace_s = settings["rules"]["stopSendingWithin"] / 1e6
        self.upstream: dict[str, dict[str, list[int]]] = {}  # ended tries and failed ones, by zone and endpoint
        self.requests = self.refused = 0
        self.late_sends: list[tuple[float, int, str]] = []  # of the drain rule: how late, proxy, endpoint
        self.bare: dict[tuple[int, int], float] = {}  # by proxy and class: since when there was no line to pick
        self.on_message: Callable[[Proxy, Pilot, list[dict[str, Any]]], None] = lambda proxy, pilot, parts: None
        self.on_request: Callable[[Proxy, Endpoint, float], None] = lambda proxy, endpoint, now: None
        self.full_since: set[int] = set()  # proxies that a controller has sent a full table
        self.message_totals: Counter[str] = Counter()
        self.tasks: list[asyncio.Task[None]] = []

    def new_channel(self) -> Channel:
        """Return an empty channel of a controller."""
        return Channel(self.channel["lines_per_s"], self.channel["per_message"], self.channel["late_s"])

    def full_list(self) -> dict[str, Any]:
        """Return discovery's whole list."""
        members = [each.entry() for each in self.endpoints.values() if each.phase != "gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def publish(self, *names: str) -> None:
        """Tell all controllers of changed endpoints."""
        self.revision += 1
        for pilot in self.pilots:
            pilot.tell([self.endpoints[name].entry() for name in names])

    def pilot_for(self, proxy: Proxy) -> Pilot | None:
        """Return the controller that a proxy dials: at first its own, after a break another one if there is one."""
        first = self.pilots[proxy.number % len(self.pilots)]
        if proxy.left is None:
            return first if first.is_open else None
        open_ones = [each for each in self.pilots if each.is_open]
        return next((each for each in open_ones if each is not proxy.left), open_ones[0] if open_ones else None)

    async def open_endpoint(self, endpoint: Endpoint) -> None:
        """Open an endpoint's port, and list it from now on."""
        server = await asyncio.start_server(endpoint.serve, HOST, 0)
        endpoint.port = server.sockets[0].getsockname()[1]
        self.endpoints[endpoint.name] = endpoint

    async def start(self) -> None:
        """Open the endpoints' and the agents' ports, start the controllers, then the proxies and collectors."""
        for endpoint in self.endpoints.values():
            await self.open_endpoint(endpoint)
        for pilot in self.pilots:
            server = await asyncio.start_server(pilot.serve_discovery, HOST, 0)
            pilot.discovery_port = server.sockets[0].getsockname()[1]
        await asyncio.gather(*(pilot.start() for pilot in self.pilots))
        self.spawn(self._send_requests())
        for pilot in self.pilots:
            for zone in self.settings["zones"]:
                self.spawn(self._collect(pilot, zone))
        for proxy in self.proxies:
            self.spawn(proxy.run())
            self.spawn(self._report_usage(proxy))

    def spawn(self, work: Awaitable[None]) -> None:
        """Run a coroutine until the end of the case."""
        self.tasks.append(asyncio.ensure_future(work))  # type: ignore[arg-type]

    def close(self) -> None:
        """End all processes, and keep a summary of their logs."""
        for pilot in self.pilots:
            pilot.kill()
        for task in self.tasks:
            task.cancel()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # of what ends half-way
        self.record.write(f"requests {self.requests}, refused by proxies {self.refused}")
        for pilot in self.pilots:
            self.record.write(f"{pilot.name}: at most {pilot.channel.most:.0f} lines waited in its channel")
        if os.environ.get("KEEP_LOGS"):
            for pilot in self.pilots:
                Path(os.environ["KEEP_LOGS"], f"{pilot.name}.log").write_bytes((pilot.folder / "log").read_bytes())
        self.temporary.cleanup()

    # Traffic

    async def _send_requests(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            step = min(now - last, 0.2)
            last = now
            for proxy in self.proxies:
                for index, rate in enumerate(proxy.rates):
                    count = poisson(self.random, rate * step)
                    for _ in range(count):
                        self._send(proxy, index, now)

    def _send(self, proxy: Proxy, index: int, now: float) -> None:
        self.requests += 1
        proxy.reported[index] += 1
        if not proxy.admits(index):
            self.refused += 1
            return
        name = proxy.pick(index)
        if name is None:
            self.refused += 1
            return
        endpoint = self.endpoints[name]
        is_answered = endpoint.take_request(now)
        took_s = ANSWER_S if is_answered else GIVEN_UP_S
        asyncio.get_running_loop().call_later(took_s, proxy.note_outcome, name, is_answered)
        self._check_drain(proxy, endpoint, now)
        self.on_request(proxy, endpoint, now)

    def _check_drain(self, proxy: Proxy, endpoint: Endpoint, now: float) -> None:
        pilot = proxy.pilot
        told = pilot.told.get(endpoint.name) if pilot else None
        if pilot is None or told is None:
            return
        since = max(told, proxy.joined_s, pilot.answered_s + FIRST_S)
        late = now - since - self.grace_s - SLACK_S
        if late > 0:
            if len(self.late_sends) < 50:
                age = now - since
                self.record.write(
                    f"LATE: proxy {proxy.number}, joined to {pilot.name}, sent a request to {endpoint.name} "
                    f"{age:.3f} s after the limit's start"
                )
            self.late_sends.append((late, proxy.number, endpoint.name))

    async def watch_lines(self, bare_s: float, warm_s: float) -> None:
        """Check the first rule: no joined proxy is without a line to pick for a class beyond the limit."""
        since: dict[tuple[int, int], float] = {}
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            pause_s, last_s = now - last_s, now
            warm = {
                each.zone
                for each in self.endpoints.values()
                if each.phase == "ready" and (not each.up_since_ms or time.time() - each.up_since_ms / 1000 > warm_s)
            }
            for proxy in self.proxies:
                for index, table in enumerate(proxy.tables):
                    key = (proxy.number, index)
                    has_line = any(name not in proxy.ejected for name in table)
                    is_home_only = self.settings["specifics"]["homeOnly"][index]
                    is_owed = proxy.zone in warm if is_home_only else bool(warm)
                    if has_line or not is_owed or proxy.pilot is None or pause_s > 1.0:
                        since.pop(key, None)
                        continue
                    begun = since.setdefault(key, max(now, proxy.pilot.answered_s + FIRST_S))
                    if now - begun > bare_s + SLACK_S and key not in self.bare:
                        self.bare[key] = begun
                        self.record.write(
                            f"BARE: proxy {proxy.number}, joined to {proxy.pilot.name}, has had no server to pick for "
                            f"{self.classes[index]} for {now - begun:.3f} s"
                        )

    # Reports

    async def _collect(self, pilot: Pilot, zone: str) -> None:
        while True:
            with contextlib.suppress(OSError):
                if pilot.is_open:
                    _, writer = await asyncio.open_connection(HOST, pilot.port)
                    writer.write(frame({"t": "telemetry", "site": zone}))
                    await self._forward(pilot, zone, writer)
                    writer.close()
            await asyncio.sleep(0.3)

    async def _forward(self, pilot: Pilot, zone: str, writer: asyncio.StreamWriter) -> None:
        """Forward each second what the joined proxies of a zone met, somewhat late."""
        last: dict[str, tuple[int, int]] = {}
        while pilot.is_open and not writer.is_closing():
            await asyncio.sleep(1.0)
            mine = sum(proxy.pilot is pilot and proxy.zone == zone for proxy in self.proxies)
            share = mine / max(1, sum(proxy.zone == zone for proxy in self.proxies))
            for name, (ended, failed) in list(self.upstream.get(zone, {}).items()):
                before = last.get(name, (0, 0))
                last[name] = (ended, failed)
                count = round((ended - before[0]) * share)
                if count <= 0:
                    continue
                report = {
                    "t": "upstream_stats",
                    "site": zone,
                    "target": name,
                    "count": count,
                    "fail": min(count, round((failed - before[1]) * share)),
                    "mean": 1000.0 * ANSWER_S,
                    "over": 1000.0,
                    "util": {"util": round(self.endpoints[name].util(), 3)},
                }
                asyncio.get_running_loop().call_later(REPORT_LATE_S, writer.write, frame(report))
            await writer.drain()

    async def _report_usage(self, proxy: Proxy) -> None:
        await asyncio.sleep(self.random.random())
        while True:
            await asyncio.sleep(1.0)
            counts, proxy.reported = proxy.reported, Counter()
            if proxy.writer and proxy.pilot:
                for index, name in enumerate(self.classes):
                    if counts[index]:
                        report = {
                            "t": "client_stats",
                            "id": proxy.number,
                            "lane": name,
                            "count": counts[index],
                            "fail": 0,
                            "over": 1000.0,
                        }
                        proxy.writer.write(frame(report))

    # Notes

    def note_joined(self, proxy: Proxy, pilot: Pilot) -> None:
        """Record that a proxy has joined a controller."""
        self.record.write(f"proxy {proxy.number} joined {pilot.name}")

    def note_message(self, proxy: Proxy, pilot: Pilot, parts: list[dict[str, Any]], lines: int, at: float) -> None:
        """Record an order: its kind, its lines, and when it takes effect."""
        ejects = [each for part in parts for each in part.get("eject", ())]
        kind = "table" if any(part.get("full") for part in parts) else "changes"
        self.message_totals[f"{pilot.name} {kind}"] += 1
        out = f", shuts out {ejects}" if ejects else ""
        effect = at - self.record.started_s
        self.record.write(
            f"{pilot.name} to proxy {proxy.number}: {kind}, {lines} lines{out}; in effect at {effect:.3f}"
        )
        self.on_message(proxy, pilot, parts)

    def note_full(self, proxy: Proxy) -> None:
        """Remember that a proxy holds a table that a controller has sent."""
        self.full_since.add(proxy.number)

    async def until(self, condition: Callable[[], bool], what: str, limit_s: float = SETTLE_LIMIT_S) -> None:
        """Wait for a condition; without it the case can't run."""
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)


def poisson(rng: random.Random, mean: float) -> int:
    """Return a random number of arrivals."""
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def play(case: Callable[[Record], Awaitable[int]], folder: Path) -> int:
    """Run a case and return its exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # of writes to a peer that has just gone
    record = Record(Path(os.environ.get("RECORD_FOLDER", folder)) / "record.txt")
    try:
        status = asyncio.run(case(record))  # type: ignore[arg-type]
    except (CannotRunError, OSError) as error:
        record.write(f"could not run: {error}")
        status = 2
    record.write(f"exit status {status}")
    return status
