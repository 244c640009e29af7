"""What a live pilot meets on the platform, written from the protocol's page: discovery, endpoints, proxies, collectors.

Endpoints and proxies count for themselves what passed; nothing of the program's codecs is used here.
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
LANES = [
    {"name": "lookup", "aim": 400000, "giveUp": 1200000, "worth": 1.0, "semantics": "safe", "keyScope": "all"},
    {"name": "issue", "aim": 400000, "giveUp": 1200000, "worth": 3.0, "semantics": "unsafe", "keyScope": "all"},
]


def settings(proxies=4, **other):
    base = {
        "lanes": LANES, "zones": ZONES, "tick": 4000, "discovery": "pushed", "family": "control",
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


def wait_until(holds, what, seconds=WAIT_S):
    until = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < until, f"not within {seconds} s: {what}"
        time.sleep(0.01)


class Listening:
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


class Endpoint(Listening):
    """Answers probes with its load; counts the tries that proxies say they made."""

    def __init__(self, name, zone, util=0.4):
        self.name, self.zone, self.util, self.up = name, zone, util, True
        self.tries = self.failed = self.probes = 0
        super().__init__()

    def answer(self, sock, path):
        self.probes += 1
        status = "200 OK" if self.up else "503 Service Unavailable"
        body = f"TEXT inflight=3, util={self.util}" if path == "/status/load" else ""
        sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    def try_once(self):
        self.tries += 1
        self.failed += not self.up
        return self.up

    def entry(self, phase="ready", up_since_ms=0):
        return {
            "id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "m", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }  # fmt: skip


class Discovery(Listening):
    """Watches: each gets what changed after the version it names; `silent` ones get nothing more.

    The whole list is answered at once, and names what `tell` has told; `keeps` has watches live on without news.
    """

    def __init__(self, members=()):
        self.news = []  # (revision, raw line)
        self.members, self.revision = list(members), 1
        self.silent = self.keeps = False
        self.asked, self.looked = [], 0
        self.changed = threading.Condition()
        super().__init__()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def tell(self, *members, complete=False):
        told = {entry["id"]: entry for entry in members}
        kept = [] if complete else [entry for entry in self.members if entry["id"] not in told]
        self.members = kept + [entry for entry in members if entry["phase"] != "gone"]
        self.revision += 1
        line = {"revision": self.revision, "complete": complete, "members": list(members)}
        self.say(json.dumps(line).encode())

    def say(self, line):
        with self.changed:
            self.news.append((self.revision, line))
            self.changed.notify_all()

    def answer(self, sock, path):
        if "follow" not in path:
            self.looked += 1
            body = json.dumps(self.list()).encode()
            sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            return
        at = int(path.partition("since=")[2])
        silent, sent = self.silent, len([each for each in self.news if each[0] <= at])
        self.asked.append(path)  # from here on whoever waits for the question may tell
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        while True:
            with self.changed:
                more = self.changed.wait_for(lambda sent=sent: len(self.news) > sent and not self.keeps, 0.5)
                if not more:
                    sock.sendall(b"" if silent or self.silent else b"1\r\n\n\r\n")
                    continue
                lines, sent = self.news[sent:], len(self.news)
            if not (silent or self.silent):
                for _, line in lines:
                    sock.sendall(f"{len(line) + 1:x}\r\n".encode() + line + b"\n\r\n")


def frame(message):
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return len(body).to_bytes(4, "big") + body


class Client:
    """A connection to a pilot; `got` receives each message, None at the end."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), WAIT_S)
        self.got = queue.Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def say(self, *messages):
        self.sock.sendall(b"".join(frame(message) for message in messages))

    def read(self):
        rest = b""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                rest += data
                while len(rest) >= 4 and len(rest) >= 4 + int.from_bytes(rest[:4], "big"):
                    size = 4 + int.from_bytes(rest[:4], "big")
                    self.take(json.loads(rest[4:size]))
                    rest = rest[size:]
        self.got.put(None)

    def take(self, message):
        self.got.put(message)

    def ended(self, seconds=WAIT_S):
        """Whether the pilot ends it within so long."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            with contextlib.suppress(queue.Empty):
                if self.got.get(timeout=left) is None:
                    return True
        return False

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Proxy(Client):
    """Holds tables, ejections and levels as ordered, and answers marks; `messages` counts whole ones."""

    def __init__(self, address, number, zone="a", fresh=True, out=()):
        self.number, self.zone = number, zone
        self.tables = {lane["name"]: {} for lane in LANES}
        self.levels, self.out = {}, set(out)
        self.messages = self.lines = 0
        super().__init__(address)
        self.say({"t": "attach", "id": number, "site": zone, "rps": 10.0, "new": fresh})

    def take(self, message):
        if message["t"] == "assign":
            self.apply(message)
        super().take(message)

    def apply(self, part):
        routes = part.get("routes") or list(self.tables)
        self.lines += bool(part.get("full")) + len(part.get("endpoints", ())) + ("admit" in part)
        self.lines += len(part.get("eject", ())) + len(part.get("restore", ())) + ("nonce_out" in part)
        for lane in routes:
            table = {} if part.get("full") else dict(self.tables[lane])
            if part.get("full"):
                self.levels.pop(lane, None)
            table.update({name: weight for name, weight in part.get("endpoints", ())})
            self.tables[lane] = {name: weight for name, weight in table.items() if weight}
            if "admit" in part:
                self.levels[lane] = (part["admit"], part["policy"])
        self.out |= set(part.get("eject", ()))
        self.out -= set(part.get("restore", ()))
        self.messages += not part.get("continued")
        if "nonce_out" in part:
            self.say({"t": "done", "id": self.number, "seq": part["nonce_out"], "ms": 5.0})

    def usable(self, lane="lookup"):
        return [name for name in self.tables[lane] if name not in self.out]

    def try_all(self, endpoints, tries):
        """Tries spread evenly over what the table holds; what was met, by endpoint."""
        met = {}
        held = sorted(self.usable())
        for at in range(tries if held else 0):
            endpoint = endpoints[held[at % len(held)]]
            row = met.setdefault(endpoint.name, [0, 0])
            row[0] += 1
            row[1] += not endpoint.try_once()
        return met

    def report(self, arrived):
        told = {"t": "client_stats", "id": self.number, "lane": "lookup"}
        self.say({**told, "count": arrived, "fail": 0, "over": 1000.0})


def sums(zone, name, count, fail, mean=100.0):
    told = {"t": "upstream_stats", "site": zone, "target": name}
    return {**told, "count": count, "fail": fail, "mean": mean, "over": 1000.0}


def configuration(folder, discovery, members, listen="127.0.0.1:0", **other):
    told = {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": members}, "settings": settings(),
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps({**told, **other}))
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

    def said(self, event):
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
def served(folder, number):
    """So many endpoints in two zones, discovery, and a pilot as the platform starts it; it knows them."""
    endpoints = {f"s{at}": Endpoint(f"s{at}", "ab"[at % 2]) for at in range(number)}
    discovery = Discovery([endpoint.entry() for endpoint in endpoints.values()])
    pilot = Process(configuration(folder, discovery.address, discovery.members))
    try:
        pilot.address = pilot.said("pilot ready")["address"]
        pilot.path, pilot.endpoints, pilot.discovery = folder / "config.json", endpoints, discovery
        yield pilot
    finally:
        pilot.stop()
        discovery.close()
        for endpoint in endpoints.values():
            endpoint.close()
