"""The listening socket: accepts connections, and stays out of the poll while no descriptor is left."""

import errno
import select
import socket
from collections.abc import Callable

import structlog

from quillstep.net.clock import now_ms

MAX_ACCEPTED_PER_PASS = 64  # the other connections are served between two such batches
REJECTION_LOG_INTERVAL_MS = 1000.0
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE)


class Listener:
    """A listening socket that `poll` watches; all methods belong to the thread that polls."""

    def __init__(self, listen: str, poll: select.poll) -> None:
        host, _, port = listen.rpartition(":")
        self.sock = socket.create_server((host.strip("[]"), int(port)), backlog=1024)
        self.address = "{}:{}".format(*self.sock.getsockname()[:2])
        self.sock.settimeout(0)  # several wait at once; the accepted ones block
        self.poll = poll
        self.is_accepting = True  # False: no descriptor is left, the socket is not polled until the next maintenance
        self.last_rejection_log_ms = float("-inf")
        self.log = structlog.get_logger("net")

    def accept(
        self, add: Callable[[socket.socket], None], evict: Callable[[], bool], log_rejection: Callable[[str], None]
    ) -> None:
        """Accept what waits, up to a bound; the rest is accepted in the next pass.

        Args:
            add: Is given each accepted socket.
            evict: Closes a connection to free its descriptor; returns False if there is none to close.
            log_rejection: Is given the reason where no descriptor is left.
        """
        for _ in range(MAX_ACCEPTED_PER_PASS):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in DESCRIPTORS_EXHAUSTED and not evict():
                    log_rejection("no descriptor is left")
                    self.set_accepting(False)
                return
            add(sock)

    def set_accepting(self, is_accepting: bool) -> None:
        """Poll the socket or not: a connection that can't be accepted would wake the poller all the time."""
        if self.is_accepting != is_accepting:
            self.is_accepting = is_accepting
            self.poll.modify(self.sock, select.POLLIN if is_accepting else 0)

    def log_rejection(self, reason: str, connections: int) -> None:
        """Log that a connection was rejected, at most once in the interval."""
        if now_ms() - self.last_rejection_log_ms > REJECTION_LOG_INTERVAL_MS:
            self.last_rejection_log_ms = now_ms()
            self.log.warning("connection rejected", reason=reason, connections=connections)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
