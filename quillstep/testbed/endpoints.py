"""Stand-in endpoints: HTTP/1.1 servers that take time for their work, many a process.

Each has cores of a speed, a waiting room, a connection limit, a cold start, memory for keyed repeats and an ORCA
load report; on command it stalls, slows, fails fast, goes silent, dies, drains, loses answers.  It writes down each
exchange it took and whether an effect took place.  Work is a share of a core's time, waited for and not burnt.
"""

import contextlib
import heapq
import random
import socket
import struct
import threading
import time
from collections import deque
from typing import Any

from quillstep.testbed.process import STACK_BYTES, EventLog, answer, now_ms, read_setup, serve

LOAD_SPAN_MS = 500.0
HEAD_MOST = 16 * 1024
SLACK = 1.1  # for chance, when a cold endpoint's budget is counted
GONE = struct.pack("ii", 1, 0)  # linger: reset on close


class Endpoint:
    """One endpoint; times are milliseconds of the monotonic clock."""

    def __init__(self, row: dict[str, Any], host: "Host") -> None:
        self.number: int = row["id"]
        self.zone: str = row["zone"]
        self.cores, self.speed = row["cores"], row["speed"]
        self.max_connections, self.max_queue = row["connections_most"], row["waiting_most"]
        self.connect_work, self.probe_work = row["connect_work_ms"], row["probe_work_ms"]
        self.host = host
        self.lock = threading.Lock()
        self.listener: socket.socket | None = None
        self.port = 0
        self.reserved: socket.socket | None = None
        self.open: set[socket.socket] = set()
        self.started_ms = 0.0  # 0: long ago
        self.free = [0.0] * self.cores
        self.busy: deque[tuple[float, float]] = deque()
        self.ends: deque[float] = deque()  # of what waits or runs
        self.pushed: deque[tuple[float, float]] = deque()  # work that came while cold
        self.slow = 1.0
        self.fails = self.loses = 0.0
        self.stalled_ms = self.idle_timeout_ms = 0.0
        self.draining = False
        self.draw = random.Random(row["id"]).random
        if row.get("up", True):
            self.start(cold=False)
        else:
            self.reserve()

    def reserve(self) -> None:
        """Hold the port without serving on it: connections are refused, and nobody else can take it."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self.port = sock.getsockname()[1]
        self.reserved = sock

    def start(self, cold: bool) -> None:
        if self.listener is not None:
            return
        if self.reserved is None:
            self.reserve()
        assert self.reserved
        self.listener, self.reserved = self.reserved, None
        self.listener.listen(256)
        self.started_ms = now_ms() if cold else 0.0
        self.free = [0.0] * self.cores
        self.busy.clear()
        self.ends.clear()
        self.pushed.clear()
        self.slow, self.fails, self.loses, self.stalled_ms, self.idle_timeout_ms = 1.0, 0.0, 0.0, 0.0, 0.0
        self.draining = False
        self.host.record.put(what="start", at=now_ms(), endpoint=self.number, zone=self.zone, cold=cold)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def stop(self, why: str) -> None:
        listener, self.listener = self.listener, None
        if listener is None:
            return
        self.host.record.put(what=why, at=now_ms(), endpoint=self.number)
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        self.reserve()
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, GONE)
                sock.shutdown(socket.SHUT_RDWR)

    def capacity(self, at_ms: float) -> float:
        """The part of its speed that it has by its age."""
        rules = self.host.rules
        if not self.started_ms:
            return 1.0
        low = rules["start_capacity"]
        return min(1.0, low + (1.0 - low) * (at_ms - self.started_ms) / rules["warm_after_ms"])

    def accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if self.listener is not listener or len(self.open) >= self.max_connections:
                sock.close()
                continue
            self.open.add(sock)
            threading.Thread(target=self.connection, args=(sock,), daemon=True).start()

    def connection(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.schedule(self.connect_work, now_ms())
            held = b""
            while True:
                while b"\r\n\r\n" not in held:
                    data = sock.recv(8192)
                    if not data or len(held) > HEAD_MOST:
                        return
                    held += data
                head, _, held = held.partition(b"\r\n\r\n")
                if not self.exchange(sock, head.decode("latin-1").split("\r\n")):
                    return
        except OSError:
            pass
        finally:
            self.open.discard(sock)
            sock.close()

    def schedule(self, work_ms: float, at_ms: float) -> tuple[float, float]:
        """When work that comes now starts and ends on the core that is free first."""
        with self.lock:
            begin = max(at_ms, self.free[0])
            end = begin + work_ms * self.slow / (self.speed * self.capacity(at_ms))
            heapq.heapreplace(self.free, end)
            self.busy.append((begin, end))
            self.ends.append(end)
            return begin, end

    def load(self, at_ms: float) -> tuple[float, float]:
        """How busy the cores were lately, and exchanges a second."""
        since = at_ms - LOAD_SPAN_MS
        with self.lock:
            while self.busy and self.busy[0][1] < since:
                self.busy.popleft()
            spent = sum(max(0.0, min(at_ms, end) - max(since, begin)) for begin, end in self.busy)
            return min(1.0, spent / (LOAD_SPAN_MS * self.cores)), len(self.busy) * 1000.0 / LOAD_SPAN_MS

    def exchange(self, sock: socket.socket, head: list[str]) -> bool:
        """Answer one request; False if the connection is to be closed."""
        at = now_ms()
        path = head[0].split(" ")[1] if " " in head[0] else ""
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        if path == "/health":
            return self.health(sock, at)
        row = self.host.classes.get(path.removeprefix("/"))
        if row is None:
            return self.say(sock, "404 Not Found", at)
        name = fields.get("x-exchange", "")
        note = {"what": "exchange", "at": at, "endpoint": self.number, "exchange": name,
                "class": row["name"], "proxy": fields.get("x-proxy", ""), "work": row["work_ms"]}  # fmt: skip
        if self.idle_timeout_ms > at:
            # It takes the exchange, and what it takes may well take effect; the memory for keys knows it too.
            again = row["semantics"] == "keyed" and self.host.repeated(row, self.zone, name, at)
            self.host.record.put(**note, effect=not again, outcome="silent")
            time.sleep(max(0.0, self.idle_timeout_ms - at) / 1000.0)
            return False
        if self.fails and self.draw() < self.fails:
            self.host.record.put(**note, effect=False, outcome="failed")
            return self.say(sock, "500 Internal Server Error", at)
        if row["semantics"] == "keyed" and self.host.repeated(row, self.zone, name, at):
            self.host.record.put(**note, effect=False, outcome="dropped")
            return self.say(sock, "200 OK", at)
        return self.run(sock, row, note, float(fields.get("x-time-left-ms", "60000")), at)

    def run(self, sock: socket.socket, row: dict, note: dict, left_ms: float, at: float) -> bool:
        with self.lock:
            while self.ends and self.ends[0] <= at:
                self.ends.popleft()
            waits = len(self.ends) - self.cores
            late = max(at, self.free[0]) - at > left_ms
        if waits >= self.max_queue:
            self.host.record.put(**note, effect=False, outcome="busy")
            return self.say(sock, "503 Service Unavailable", at)
        if self.pushed_over(row["work_ms"], at):
            self.host.record.put(**note, effect=False, outcome="fell")
            self.stop("fell")
            return False
        if late:  # its time will have passed before a core is free: it is not begun
            self.host.record.put(**note, effect=False, outcome="too late")
            time.sleep(left_ms / 1000.0)
            return False
        _, end = self.schedule(row["work_ms"], at)
        self.host.record.put(**note, effect=True, outcome="run")
        while (now := now_ms()) < max(end, self.stalled_ms):
            time.sleep(max(0.0, max(end, self.stalled_ms) - now) / 1000.0)
        if self.listener is None or (self.loses and self.draw() < self.loses):
            return False
        return self.say(sock, "200 OK", now)

    def pushed_over(self, work_ms: float, at: float) -> bool:
        """Whether what came within any span of the rule is more than a cold endpoint bears."""
        rules = self.host.rules
        if not self.started_ms or self.capacity(at) >= 1.0:
            return False
        with self.lock:
            self.pushed.append((at, work_ms))
            while self.pushed[0][0] < at - rules["tip_after_ms"]:
                self.pushed.popleft()
            pushed = sum(work for _, work in self.pushed)
        bears = rules["fall_multiple"] * self.capacity(at) * self.cores * self.speed * rules["tip_after_ms"]
        return pushed > SLACK * bears

    def health(self, sock: socket.socket, at: float) -> bool:
        if self.idle_timeout_ms > at:
            time.sleep((self.idle_timeout_ms - at) / 1000.0)
            return False
        _, end = self.schedule(self.probe_work, at)
        time.sleep(max(0.0, max(end, self.stalled_ms) - at) / 1000.0)
        return self.say(sock, "503 Service Unavailable" if self.draining else "200 OK", at, report=True)

    def say(self, sock: socket.socket, status: str, at: float, report: bool = False) -> bool:
        util, rate = self.load(now_ms())
        line = f"endpoint-load-metrics: TEXT cpu_utilization={util:.4f},rps_fractional={rate:.1f}\r\n"
        told = line if report or self.host.answers_tell else ""
        sock.sendall(f"HTTP/1.1 {status}\r\n{told}Content-Length: 0\r\n\r\n".encode())
        return True


class Host:
    """All endpoints of this process and what they share: a memory for keyed repeats, and the record."""

    def __init__(self, setup: dict[str, Any]) -> None:
        threading.stack_size(STACK_BYTES)
        self.rules = setup["rules"]
        self.classes = {row["name"]: row for row in setup["classes"]}
        self.answers_tell = setup["answers_tell"]
        self.record = EventLog(setup["record"])
        self.seen: dict[tuple, float] = {}
        self.lock = threading.Lock()
        self.endpoints = {row["id"]: Endpoint(row, self) for row in setup["endpoints"]}
        answer(ready={str(e.number): e.port for e in self.endpoints.values()})

    def repeated(self, row: dict, zone: str, key: str, at: float) -> bool:
        """Whether a keyed exchange came before, within its window and group; a first one is remembered."""
        group = (row["name"], zone if row["scope"] == "zone" else "", key)
        with self.lock:
            before = self.seen.get(group)
            if before is not None and at - before <= row["window_ms"]:
                return True
            self.seen[group] = at
            return False

    def take(self, command: dict[str, Any]) -> None:
        """What the parent orders: `do`, the endpoint, and until when or how much."""
        do, for_ms = command["do"], command.get("for_ms", 0.0)
        if do == "tighten":
            self.classes[command["kind"]]["semantics"] = "unsafe"  # every one that comes runs, from now on
            self.record.put(what="command", at=now_ms(), do=do, kind=command["kind"])
            return
        endpoint = self.endpoints[command["endpoint"]]
        until = now_ms() + for_ms
        if do == "die":
            endpoint.stop("die")
        elif do == "start":
            endpoint.start(cold=True)
        elif do == "drain":
            endpoint.draining = True
        elif do == "stall":
            endpoint.stalled_ms = until
        elif do == "silent":
            endpoint.idle_timeout_ms = until
        elif do == "slow":
            endpoint.slow = command["factor"]
        elif do == "fail":
            endpoint.fails = command["factor"]
        elif do == "lose_answers":
            endpoint.loses = command["factor"]
        self.record.put(what="command", at=now_ms(), endpoint=endpoint.number, do=do, for_ms=for_ms)
        answer(done=do, endpoint=endpoint.number)


def main() -> None:
    host = Host(read_setup())
    serve(host.take, host.record)


if __name__ == "__main__":
    main()
