"""Connections whose poller runs step by step in the test's thread, and builders of peers' messages."""

import json
import socket

from platform_peers import WAIT_S, ZONES

from quillstep.platform.protocol.connections import ConnectionLimits, ConnectionManager
from quillstep.platform.protocol.validation import Deployment

DEPLOYMENT = Deployment(4, frozenset(ZONES), {"lookup": 0, "issue": 1}, 1200.0)


LIMITS = ConnectionLimits(64, 64)


def member(name="s", **other):
    entry = {"id": name, "host_port": "127.0.0.1:9", "locality": "a", "phase": "ready", "size": 1.0, "up_since_ms": 0}
    return {**entry, **other}


def list_line(revision, *members, complete=False):
    return json.dumps({"revision": revision, "complete": complete, "members": list(members)}).encode()


def attach(number, zone="a"):
    return {"t": "attach", "id": number, "site": zone, "rps": 1.0, "new": True}


class SteppedConnections:
    """A `ConnectionManager` whose poller runs step by step in the test's thread; `events` has what it published."""

    def __init__(self, limits=LIMITS):
        self.events = []
        self.manager = ConnectionManager(
            "127.0.0.1:0", limits, DEPLOYMENT, lambda event, key=None, merge=None: self.events.append(event)
        )
        self.poller = self.manager.poller
        self.poller.poll.register(self.poller.listener.sock, 1)
        self.sockets = []

    def connect(self, data=b""):
        host, _, port = self.poller.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), WAIT_S)
        self.sockets.append(sock)
        sock.sendall(data)
        return sock

    def readable(self):
        return {descriptor for descriptor, _ in self.poller.poll.poll(0)}

    def serve_ready(self):
        """Handle each ready connection once, in the order of descriptors."""
        for descriptor, events in sorted(self.poller.poll.poll(1000 if self.poller.connections else 0)):
            if descriptor in self.poller.connections:
                self.poller.handle_ready(self.poller.connections[descriptor], events)

    def close(self):
        for connection in list(self.poller.connections.values()):
            self.poller.close_now(connection, "end of test")
        for sock in self.sockets:
            sock.close()
        self.poller.listener.close()
