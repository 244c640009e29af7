"""The listening socket: accepts connections, and is not polled for a moment after one could not be accepted."""

import errno
import select
import socket
from collections.abc import Callable

import structlog

from quillstep.net.log_limit import LogLimiter

MAX_ACCEPTED_PER_PASS = 64  # limited so that other connections are served between batches
REJECTION_LOG_INTERVAL_MS = 1000.0
RESOURCES_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """A listening socket registered with `poll`; all methods are called by the polling thread."""

    def __init__(self, listen: str, poll: select.poll) -> None:
        host, _, port = listen.rpartition(":")
        self.sock = socket.create_server((host.strip("[]"), int(port)), backlog=1024)
        self.address = "{}:{}".format(*self.sock.getsockname()[:2])
        self.sock.settimeout(0)  # `accept` is called until none is pending; accepted sockets block
        self.poll = poll
        self.is_accepting = True  # False after `accept` has failed, until the next maintenance
        self.log_limiter = LogLimiter(REJECTION_LOG_INTERVAL_MS)
        self.log = structlog.get_logger("net")

    def accept(
        self, add: Callable[[socket.socket], None], evict: Callable[[], bool], log_rejection: Callable[[str], None]
    ) -> None:
        """Accept pending connections, at most `MAX_ACCEPTED_PER_PASS`; the rest are accepted in the next pass.

        Args:
            add: Called with each accepted socket.
            evict: Closes a connection to free a descriptor of this process; returns False if there is none to close.
            log_rejection: Called with the reason if a connection could not be accepted.
        """
        failures = 0
        for _ in range(MAX_ACCEPTED_PER_PASS):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno == errno.EMFILE and evict():
                    return
                failures += 1
                log_rejection(error.strerror or type(error).__name__)
                if error.errno in RESOURCES_EXHAUSTED or failures == MAX_ACCEPTED_PER_PASS:
                    self.set_accepting(False)  # the connection is still pending, and would wake the poller at once
                    return
                continue  # this connection was aborted; others may be pending
            add(sock)

    def set_accepting(self, is_accepting: bool) -> None:
        """Poll the socket or not: a pending connection that can't be accepted would wake the poller constantly."""
        if self.is_accepting != is_accepting:
            self.is_accepting = is_accepting
            self.poll.modify(self.sock, select.POLLIN if is_accepting else 0)

    def log_rejection(self, reason: str, connections: int) -> None:
        """Log that a connection was rejected, at most once per `REJECTION_LOG_INTERVAL_MS`."""
        if self.log_limiter.is_due():
            self.log.warning("connection rejected", reason=reason, connections=connections)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
