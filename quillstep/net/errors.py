"""Which errors of system calls are faults of this machine, and say nothing of the peer."""

import errno

# The call can be repeated on the same socket once the system has memory again.
OUT_OF_MEMORY = frozenset({errno.ENOBUFS, errno.ENOMEM})
# Connecting failed before anything was sent to the peer.
LOCAL_CONNECT_FAULTS = OUT_OF_MEMORY | {
    errno.EMFILE,
    errno.ENFILE,
    errno.EAGAIN,  # no free local port, or no memory for one
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EACCES,  # forbidden by a local rule
    errno.EPERM,
}


def is_out_of_memory(error: OSError) -> bool:
    """Return whether a read or write failed for lack of memory, and can be repeated."""
    return error.errno in OUT_OF_MEMORY


def is_local_connect_fault(error: OSError) -> bool:
    """Return whether a connection attempt failed on this machine; an unreachable host is the peer's fault."""
    return error.errno in LOCAL_CONNECT_FAULTS
