"""Stand-ins for what a controller meets on the platform: discovery, endpoints, proxies, collectors.

Written from the protocol's page, without the program's codecs.  Endpoints and proxies count for themselves.
"""

import contextlib
import ctypes
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time

WAIT_S = 20.0
ZONES = ["a", "b"]
CLASSES = [
    {"name": "lookup", "aim": 400000, "giveUp": 1200000, "worth": 1.0, "semantics": "safe", "keyScope": "all"},
    {"name": "issue", "aim": 400000, "giveUp": 1200000, "worth": 3.0, "semantics": "unsafe", "keyScope": "all"},
]


def settings(proxies=4, **other):
    base = {
        "lanes": CLASSES, "zones": ZONES, "tick": 4000, "discovery": "pushed", "family": "control",
        "allowed": {"probing": True, "dialTimeout": 250000}, "stats": {"how": "probe", "columns": ["util"]},
        "rules": {
            "stopSendingWithin": 3000000, "startCapacity": 0.2, "warmAfter": 18000000, "fallMultiple": 3.0,
            "tipAfter": 1500000,
        },
        "specifics": {
            "admission": "rate", "baseMode": 1, "channelRate": 3000.0, "perMessage": 6.0, "mostWaiting": 5000.0,
            "pushesAllowed": 20, "messagesOver": 10000000, "reportEvery": 1000000, "late": 100000,
            "lateMost": 300000, "ejects": 5, "standing": 5, "tryFactor": 0.8, "slices": 0,
            "homeOnly": [False, False], "dataPlaneSize": proxies,
        },
    }  # fmt: skip
    return {**base, **other}


def nested(depth):
    value = 1
    for _ in range(depth):
        value = {"a": value}
    return value


def with_lanes(lanes):
    return {"settings": {**settings(), "lanes": lanes}}


INVALID_CONFIGURATIONS = {  # changes to a valid file, and the path that the error names
    "a port that can't be": ({"discovery": "127.0.0.1:99999"}, "$.discovery"),
    "a host that is no address": ({"discovery": "a..b:80"}, "$.discovery"),
    "a name where there is no DNS": ({"discovery": "discovery:80"}, "$.discovery"),
    "an address and a line's end": ({"listen": "127.0.0.1:80\n"}, "$.listen"),
    "classes by number": (with_lanes({"count": 10**9}), "$.settings.lanes"),
    "a class without a name": (with_lanes([{**CLASSES[0], "name": None}]), "$.settings.lanes"),
    "two classes of one name": (with_lanes([CLASSES[0], CLASSES[0]]), "$.settings.lanes"),
    "a class that is no object": (with_lanes([5]), "$.settings.lanes"),
    "zones of another type": ({"settings": {**settings(), "zones": [1]}}, "$.settings.zones"),
    "fewer than no proxies": ({"settings": settings(proxies=-4)}, "dataPlaneSize"),
    "nesting beyond sense": ({"settings": {**settings(), "x": nested(800)}}, "$.settings"),
}


def wait_until(condition, what, seconds=WAIT_S):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, f"not within {seconds} s: {what}"
        time.sleep(0.01)


class LoopbackServer:
    """A listener on loopback with a thread for each connection."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.open = []
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.open.append(sock)
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with contextlib.suppress(OSError), sock:
            head = b""
            while b"\r\n\r\n" not in head:
                data = sock.recv(4096)
                if not data:
                    return
                head += data
            self.answer(sock, head.split(b" ")[1].decode())

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self.open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Endpoint(LoopbackServer):
    """Answers health checks with its load report; counts the attempts that proxies made."""

    def __init__(self, name, zone, util=0.4):
        self.name, self.zone, self.util, self.is_up = name, zone, util, True
        self.attempts = self.failures = self.health_checks = 0
        super().__init__()

    def answer(self, sock, path):
        self.health_checks += 1
        status = "200 OK" if self.is_up else "503 Service Unavailable"
        body = f"TEXT inflight=3, util={self.util}" if path == "/status/load" else ""
        sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    def attempt(self):
        self.attempts += 1
        self.failures += not self.is_up
        return self.is_up

    def entry(self, phase="ready", up_since_ms=0):
        return {
            "id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "m", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }  # fmt: skip


class Discovery(LoopbackServer):
    """Answers watches with what changed after the revision that they name, and refreshes with the complete list.

    While `is_silent` stands watches are sent nothing more; while `holds_updates` stands they are sent empty lines only.
    """

    def __init__(self, members=()):
        self.sent_lines = []  # each with its revision
        self.members, self.revision = list(members), 1
        self.is_silent = self.holds_updates = False
        self.watch_requests, self.refreshes = [], 0
        self.changed = threading.Condition()
        super().__init__()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def publish(self, *members, complete=False):
        changed = {entry["id"] for entry in members}
        kept = [] if complete else [entry for entry in self.members if entry["id"] not in changed]
        self.members = kept + [entry for entry in members if entry["phase"] != "gone"]
        self.revision += 1
        line = {"revision": self.revision, "complete": complete, "members": list(members)}
        self.send_line(json.dumps(line).encode())

    def send_line(self, line):
        with self.changed:
            self.sent_lines.append((self.revision, line))
            self.changed.notify_all()

    def answer(self, sock, path):
        if "follow" not in path:
            self.refreshes += 1
            body = json.dumps(self.list()).encode()
            sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            return
        at = int(path.partition("since=")[2])
        was_silent, sent = self.is_silent, len([each for each in self.sent_lines if each[0] <= at])
        self.watch_requests.append(path)  # from here on a test that waits for the request may publish
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        while True:
            with self.changed:
                more = self.changed.wait_for(
                    lambda sent=sent: len(self.sent_lines) > sent and not self.holds_updates, 0.5
                )
                if not more:
                    sock.sendall(b"" if was_silent or self.is_silent else b"1\r\n\n\r\n")
                    continue
                lines, sent = self.sent_lines[sent:], len(self.sent_lines)
            if not (was_silent or self.is_silent):
                for _, line in lines:
                    sock.sendall(f"{len(line) + 1:x}\r\n".encode() + line + b"\n\r\n")


def frame(message):
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return len(body).to_bytes(4, "big") + body


class Client:
    """A connection to a controller; each message is put into `received`, and None at the end."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), WAIT_S)
        self.received = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, *messages):
        self.sock.sendall(b"".join(frame(message) for message in messages))

    def read(self):
        rest = b""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                rest += data
                while len(rest) >= 4 and len(rest) >= 4 + int.from_bytes(rest[:4], "big"):
                    size = 4 + int.from_bytes(rest[:4], "big")
                    self.handle(json.loads(rest[4:size]))
                    rest = rest[size:]
        self.received.put(None)

    def handle(self, message):
        self.received.put(message)

    def is_closed_within(self, seconds=WAIT_S):
        """Whether the controller closes it in time."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            with contextlib.suppress(queue.Empty):
                if self.received.get(timeout=left) is None:
                    return True
        return False

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Proxy(Client):
    """Holds tables, ejections and admission as updated, and acknowledges; counts lines as the channel does."""

    def __init__(self, address, number, zone="a", is_fresh=True, ejected=()):
        self.number, self.zone = number, zone
        self.tables = {each["name"]: {} for each in CLASSES}
        self.admission, self.ejected = {}, set(ejected)
        self.updates = self.lines = 0
        super().__init__(address)
        self.send({"t": "attach", "id": number, "site": zone, "rps": 10.0, "new": is_fresh})

    def handle(self, message):
        if message["t"] == "assign":
            self.apply(message)
        super().handle(message)

    def apply(self, part):
        classes = part.get("routes") or list(self.tables)
        self.lines += bool(part.get("full")) + len(part.get("endpoints", ())) + ("admit" in part)
        self.lines += len(part.get("eject", ())) + len(part.get("restore", ())) + ("nonce_out" in part)
        for name in classes:
            table = {} if part.get("full") else dict(self.tables[name])
            if part.get("full"):
                self.admission.pop(name, None)
            table.update(dict(part.get("endpoints", ())))
            self.tables[name] = {endpoint: weight for endpoint, weight in table.items() if weight}
            if "admit" in part:
                self.admission[name] = (part["admit"], part["policy"])
        self.ejected |= set(part.get("eject", ()))
        self.ejected -= set(part.get("restore", ()))
        self.updates += not part.get("continued")
        if "nonce_out" in part:
            self.send({"t": "done", "id": self.number, "seq": part["nonce_out"], "ms": 5.0})

    def usable_endpoints(self, class_name="lookup"):
        return [name for name in self.tables[class_name] if name not in self.ejected]

    def attempt_all(self, endpoints, attempts):
        """Spread attempts evenly over the usable endpoints; return attempts and failures by endpoint."""
        outcome = {}
        usable = sorted(self.usable_endpoints())
        for number in range(attempts if usable else 0):
            endpoint = endpoints[usable[number % len(usable)]]
            counts = outcome.setdefault(endpoint.name, [0, 0])
            counts[0] += 1
            counts[1] += not endpoint.attempt()
        return outcome

    def report(self, requests):
        stats = {"t": "client_stats", "id": self.number, "lane": "lookup"}
        self.send({**stats, "count": requests, "fail": 0, "over": 1000.0})


def upstream_stats(zone, name, count, fail, mean=100.0):
    stats = {"t": "upstream_stats", "site": zone, "target": name}
    return {**stats, "count": count, "fail": fail, "mean": mean, "over": 1000.0}


def write_configuration(folder, discovery, members, listen="127.0.0.1:0", **other):
    document = {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": members}, "settings": settings(),
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps({**document, **other}))
    return path


def dies_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """`python -m quillstep.platform` as the platform starts it; `address` once it is ready."""

    def __init__(self, path):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "quillstep.platform"], stderr=subprocess.PIPE, text=True,
            env={**os.environ, "BALANCER_CONFIG": str(path)}, preexec_fn=dies_with_parent,
        )  # fmt: skip
        self.lines = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stderr:
            self.lines.put(json.loads(line) if line.startswith("{") else {"event": line})

    def wait_for_log(self, event):
        """The next line of the log with this event."""
        until = time.monotonic() + WAIT_S
        while True:
            found = self.lines.get(timeout=max(0.001, until - time.monotonic()))
            if found["event"] == event:
                return found

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(WAIT_S)


@contextlib.contextmanager
def running_controller(folder, number):
    """So many endpoints in two zones, discovery, and a controller as the platform starts it; it knows them."""
    endpoints = {f"s{at}": Endpoint(f"s{at}", "ab"[at % 2]) for at in range(number)}
    discovery = Discovery([endpoint.entry() for endpoint in endpoints.values()])
    controller = Process(write_configuration(folder, discovery.address, discovery.members))
    try:
        controller.address = controller.wait_for_log("controller ready")["address"]
        controller.path, controller.endpoints, controller.discovery = folder / "config.json", endpoints, discovery
        yield controller
    finally:
        controller.stop()
        discovery.close()
        for endpoint in endpoints.values():
            endpoint.close()
