"""Stand-in endpoints: HTTP/1.1 servers that simulate work.  Many run in one process.

Each has cores of a given speed, a queue, a connection limit, a slow start, a memory of idempotency keys and a load
report (ORCA).  On command it stalls, slows down, fails requests, stops answering, dies, drains or loses responses.  It
records each request that it received and whether the request took effect.  Names in commands and records are those of
the scenarios' stored data.
"""

import contextlib
import random
import socket
import struct
import threading
import time
from typing import Any

from quillstep.net.clock import now_ms
from quillstep.net.threads import set_thread_stack_size
from quillstep.testbed.endpoint_cores import EndpointCores
from quillstep.testbed.process import EventLog, answer, read_setup, serve

MAX_HEAD_BYTES = 16 * 1024
LISTEN_BACKLOG = 256
DEFAULT_DEADLINE_MS = "60000"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger time-out of 0 s: closing resets the connection
HEADERS_END = b"\r\n\r\n"


class Endpoint:
    """One endpoint; times are milliseconds on the monotonic clock."""

    def __init__(self, row: dict[str, Any], host: "Host") -> None:
        self.number: int = row["id"]
        self.zone: str = row["zone"]
        self.max_connections, self.max_queue = row["connections_most"], row["waiting_most"]
        self.connect_work_ms, self.health_check_work_ms = row["connect_work_ms"], row["probe_work_ms"]
        self.host = host
        self.cores = EndpointCores(row["cores"], row["speed"], host.rules)
        self.listener: socket.socket | None = None
        self.port = 0
        self.reserved: socket.socket | None = None  # bound to the port while the endpoint does not listen
        self.open: set[socket.socket] = set()
        self.draw = random.Random(row["id"]).random
        self._clear_faults()
        if row.get("up", True):
            self.start(is_cold=False)
        else:
            self._reserve_port()

    def _clear_faults(self) -> None:
        self.failing_share = self.lost_responses_share = 0.0
        self.stalled_until_ms = self.unresponsive_until_ms = 0.0
        self.is_draining = False

    def _reserve_port(self) -> None:
        """Bind the port without listening: connections are refused, and no other process can bind it."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        self.port = sock.getsockname()[1]
        self.reserved = sock

    def start(self, is_cold: bool) -> None:
        """Listen in a daemon thread that ends with the listener; no effect if the endpoint listens already."""
        if self.listener is not None:
            return
        if self.reserved is None:
            self._reserve_port()
        assert self.reserved
        self.listener, self.reserved = self.reserved, None
        self.listener.listen(LISTEN_BACKLOG)
        self.cores.reset(now_ms() if is_cold else 0.0)
        self._clear_faults()
        self.host.record.put(what="start", at=now_ms(), endpoint=self.number, zone=self.zone, cold=is_cold)
        name = f"accept-{self.number}"
        threading.Thread(target=self._accept, args=(self.listener,), name=name, daemon=True).start()

    def stop(self, reason: str) -> None:
        """Stop listening and reset all connections; `reason` names the event in the record."""
        listener, self.listener = self.listener, None
        if listener is None:
            return
        self.host.record.put(what=reason, at=now_ms(), endpoint=self.number)
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        self._reserve_port()
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if self.listener is not listener or len(self.open) >= self.max_connections:
                sock.close()
                continue
            self.open.add(sock)
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.cores.schedule(self.connect_work_ms, now_ms())
            received = b""
            while True:
                while HEADERS_END not in received:
                    data = sock.recv(8192)
                    if not data or len(received) > MAX_HEAD_BYTES:
                        return
                    received += data
                head, _, received = received.partition(HEADERS_END)
                if not self._handle_request(sock, head.decode("latin-1").split("\r\n")):
                    return
        except OSError:
            pass
        finally:
            self.open.discard(sock)
            sock.close()

    def _handle_request(self, sock: socket.socket, head: list[str]) -> bool:
        """Respond to one request; return False if the connection is to be closed."""
        at_ms = now_ms()
        path = head[0].split(" ")[1] if " " in head[0] else ""
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        if path == "/health":
            return self._handle_health_check(sock, at_ms)
        kind = self.host.classes.get(path.removeprefix("/"))
        if kind is None:
            return self._respond(sock, "404 Not Found")
        key = headers.get("x-exchange", "")
        entry = {
            "what": "exchange", "at": at_ms, "endpoint": self.number, "exchange": key,
            "class": kind["name"], "proxy": headers.get("x-proxy", ""), "work": kind["work_ms"],
        }  # fmt: skip
        if self.unresponsive_until_ms > at_ms:
            # The request is received and, unless it is a repeat, takes effect; its key is remembered as well.
            is_repeated = kind["semantics"] == "keyed" and self.host.is_repeated(kind, self.zone, key, at_ms)
            self.host.record.put(**entry, effect=not is_repeated, outcome="silent")
            time.sleep(max(0.0, self.unresponsive_until_ms - at_ms) / 1000.0)
            return False
        if self.failing_share and self.draw() < self.failing_share:
            self.host.record.put(**entry, effect=False, outcome="failed")
            return self._respond(sock, "500 Internal Server Error")
        if kind["semantics"] == "keyed" and self.host.is_repeated(kind, self.zone, key, at_ms):
            self.host.record.put(**entry, effect=False, outcome="dropped")
            return self._respond(sock, "200 OK")
        return self._run(sock, entry, float(headers.get("x-time-left-ms", DEFAULT_DEADLINE_MS)))

    def _run(self, sock: socket.socket, entry: dict[str, Any], remaining_ms: float) -> bool:
        """Queue and simulate a request's work, unless its deadline would pass before the work starts."""
        at_ms, work_ms = entry["at"], entry["work"]
        waiting, wait_ms = self.cores.queue(at_ms)
        if waiting >= self.max_queue:
            self.host.record.put(**entry, effect=False, outcome="busy")
            return self._respond(sock, "503 Service Unavailable")
        if self.cores.is_overloaded_while_cold(work_ms, at_ms):
            self.host.record.put(**entry, effect=False, outcome="fell")
            self.stop("fell")
            return False
        if wait_ms > remaining_ms:  # the deadline passes before a core is free
            self.host.record.put(**entry, effect=False, outcome="too late")
            time.sleep(remaining_ms / 1000.0)
            return False
        end_ms = self.cores.schedule(work_ms, at_ms)
        self.host.record.put(**entry, effect=True, outcome="run")
        while (now := now_ms()) < max(end_ms, self.stalled_until_ms):
            time.sleep(max(0.0, max(end_ms, self.stalled_until_ms) - now) / 1000.0)
        if self.listener is None or (self.lost_responses_share and self.draw() < self.lost_responses_share):
            return False
        return self._respond(sock, "200 OK")

    def _handle_health_check(self, sock: socket.socket, at_ms: float) -> bool:
        if self.unresponsive_until_ms > at_ms:
            time.sleep((self.unresponsive_until_ms - at_ms) / 1000.0)
            return False
        end_ms = self.cores.schedule(self.health_check_work_ms, at_ms)
        time.sleep(max(0.0, max(end_ms, self.stalled_until_ms) - at_ms) / 1000.0)
        status = "503 Service Unavailable" if self.is_draining else "200 OK"
        return self._respond(sock, status, is_health_check=True)

    def _respond(self, sock: socket.socket, status: str, *, is_health_check: bool = False) -> bool:
        utilization, requests_per_s = self.cores.utilization(now_ms())
        metrics = f"cpu_utilization={utilization:.4f},rps_fractional={requests_per_s:.1f}"
        has_report = is_health_check or self.host.responses_carry_load
        report = f"endpoint-load-metrics: TEXT {metrics}\r\n" if has_report else ""
        sock.sendall(f"HTTP/1.1 {status}\r\n{report}Content-Length: 0\r\n\r\n".encode())
        return True

    def apply(self, command: dict[str, Any]) -> None:
        """Apply a command of the parent: `do` names it, `for_ms` and `factor` give its duration and strength."""
        until_ms = now_ms() + command.get("for_ms", 0.0)
        match command["do"]:
            case "die":
                self.stop("die")
            case "start":
                self.start(is_cold=True)
            case "drain":
                self.is_draining = True
            case "stall":
                self.stalled_until_ms = until_ms
            case "silent":
                self.unresponsive_until_ms = until_ms
            case "slow":
                self.cores.slowdown = command["factor"]
            case "fail":
                self.failing_share = command["factor"]
            case "lose_answers":
                self.lost_responses_share = command["factor"]


class Host:
    """All endpoints of this process, with their shared memory of idempotency keys and the event log."""

    def __init__(self, setup: dict[str, Any]) -> None:
        set_thread_stack_size()
        self.rules = setup["rules"]
        self.classes = {row["name"]: row for row in setup["classes"]}
        self.responses_carry_load = setup["answers_tell"]
        self.record = EventLog(setup["record"])
        self.keys: dict[tuple[str, str, str], float] = {}  # first arrival by class, scope and key
        self.lock = threading.Lock()
        self.endpoints = {row["id"]: Endpoint(row, self) for row in setup["endpoints"]}
        answer(ready={str(e.number): e.port for e in self.endpoints.values()})

    def is_repeated(self, kind: dict[str, Any], zone: str, key: str, at_ms: float) -> bool:
        """Return whether a key has arrived before within its scope and window; remember it if not."""
        scoped_key = (kind["name"], zone if kind["scope"] == "zone" else "", key)
        with self.lock:
            first_ms = self.keys.get(scoped_key)
            if first_ms is not None and at_ms - first_ms <= kind["window_ms"]:
                return True
            self.keys[scoped_key] = at_ms
            return False

    def handle_command(self, command: dict[str, Any]) -> None:
        """Apply a command of the parent, record and answer it."""
        do = command["do"]
        if do == "tighten":
            self.classes[command["kind"]]["semantics"] = "unsafe"  # from now on endpoints execute every request
            self.record.put(what="command", at=now_ms(), do=do, kind=command["kind"])
            return
        endpoint = self.endpoints[command["endpoint"]]
        endpoint.apply(command)
        for_ms = command.get("for_ms", 0.0)
        self.record.put(what="command", at=now_ms(), endpoint=endpoint.number, do=do, for_ms=for_ms)
        answer(done=do, endpoint=endpoint.number)


def main() -> None:
    """Run the endpoints that the parent sets up."""
    host = Host(read_setup())
    serve(host.handle_command, host.record)


if __name__ == "__main__":
    main()
