"""Stand-ins for a controller's peers on the platform: discovery, endpoints, proxies and collectors.

They implement the protocol's specification without quillstep's codecs.  Endpoints and proxies keep counts of their own.
"""

import contextlib
import ctypes
import json
import os
import pathlib
import queue
import signal
import socket
import subprocess
import sys
import threading
import time

WAIT_S = 20.0
FAULT_SHIMS = pathlib.Path(__file__).parent / "fault_shims"
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


INVALID_CONFIGURATIONS = {  # changes to a valid file, and the JSON path expected in the error
    "port out of range": ({"discovery": "127.0.0.1:99999"}, "$.discovery"),
    "malformed host": ({"discovery": "a..b:80"}, "$.discovery"),
    "host name": ({"discovery": "discovery:80"}, "$.discovery"),
    "address with a trailing newline": ({"listen": "127.0.0.1:80\n"}, "$.listen"),
    "classes as an object": (with_lanes({"count": 10**9}), "$.settings.lanes"),
    "class without a name": (with_lanes([{**CLASSES[0], "name": None}]), "$.settings.lanes"),
    "duplicate class name": (with_lanes([CLASSES[0], CLASSES[0]]), "$.settings.lanes"),
    "class that is not an object": (with_lanes([5]), "$.settings.lanes"),
    "zone that is not a string": ({"settings": {**settings(), "zones": [1]}}, "$.settings.zones"),
    "negative number of proxies": ({"settings": settings(proxies=-4)}, "dataPlaneSize"),
    "excessive nesting": ({"settings": {**settings(), "x": nested(800)}}, "$.settings"),
}


def wait_until(condition, what, seconds=WAIT_S):
    deadline_s = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline_s, f"timed out after {seconds} s: {what}"
        time.sleep(0.01)


class LoopbackServer:
    """A server on loopback with one thread per connection."""

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
    """Answers health checks with a load report, and counts health checks and attempts."""

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
    """Answers watches with the changes since the requested revision, and refreshes with the complete list.

    While `is_silent` is set, watches are sent nothing; while `holds_updates` is set, only keep-alives (empty lines).
    """

    def __init__(self, members=()):
        self.sent_lines = []  # pairs of revision and line
        self.members, self.revision = list(members), 1
        self.is_silent = self.holds_updates = False
        self.watch_requests, self.refreshes = [], 0
        self.changed = threading.Condition()
        super().__init__()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def publish(self, *members, complete=False):
        changed = {entry["id"] for entry in members}
        unchanged = [] if complete else [entry for entry in self.members if entry["id"] not in changed]
        self.members = unchanged + [entry for entry in members if entry["phase"] != "gone"]
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
        since_revision = int(path.partition("since=")[2])
        was_silent, sent = self.is_silent, len([each for each in self.sent_lines if each[0] <= since_revision])
        self.watch_requests.append(path)  # a test that waits for the request may publish from here on
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
    """A connection to a controller; received messages are put into `received`, and None once it is closed."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), WAIT_S)
        self.received = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, *messages):
        self.sock.sendall(b"".join(frame(message) for message in messages))

    def read(self):
        buffer = b""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                buffer += data
                while len(buffer) >= 4 and len(buffer) >= 4 + int.from_bytes(buffer[:4], "big"):
                    size = 4 + int.from_bytes(buffer[:4], "big")
                    self.handle(json.loads(buffer[4:size]))
                    buffer = buffer[size:]
        self.received.put(None)

    def handle(self, message):
        self.received.put(message)

    def is_closed_within(self, seconds=WAIT_S):
        """Return whether the controller closes the connection within this time."""
        deadline_s = time.monotonic() + seconds
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            with contextlib.suppress(queue.Empty):
                if self.received.get(timeout=remaining_s) is None:
                    return True
        return False

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Proxy(Client):
    """Applies and acknowledges updates; counts the lines of each update as the update channel does."""

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
        counts_by_endpoint = {}
        usable = sorted(self.usable_endpoints())
        for number in range(attempts if usable else 0):
            endpoint = endpoints[usable[number % len(usable)]]
            counts = counts_by_endpoint.setdefault(endpoint.name, [0, 0])
            counts[0] += 1
            counts[1] += not endpoint.attempt()
        return counts_by_endpoint

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


def kill_when_parent_exits():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """A controller process, started by `python -m quillstep.platform` as on the platform.

    `faults` is a plan for `fault_shims/sitecustomize.py`.
    """

    def __init__(self, path, **faults):
        environment = {**os.environ, "BALANCER_CONFIG": str(path)}
        if faults:
            environment |= {"FAULT_PLAN": json.dumps(faults), "PYTHONPATH": f"{FAULT_SHIMS}{os.pathsep}{os.getcwd()}"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "quillstep.platform"], stderr=subprocess.PIPE, text=True,
            env=environment, preexec_fn=kill_when_parent_exits,
        )  # fmt: skip
        self.lines = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stderr:
            self.lines.put(json.loads(line) if line.startswith("{") else {"event": line})

    def wait_for_log(self, event):
        """Return the next log line with this event; raises `queue.Empty` after `WAIT_S`."""
        deadline_s = time.monotonic() + WAIT_S
        while True:
            line = self.lines.get(timeout=max(0.001, deadline_s - time.monotonic()))
            if line["event"] == event:
                return line

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(WAIT_S)


@contextlib.contextmanager
def running_controller(folder, endpoint_count):
    """Run a controller process with discovery and this many endpoints, alternating between two zones."""
    endpoints = {f"s{index}": Endpoint(f"s{index}", "ab"[index % 2]) for index in range(endpoint_count)}
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
