"""Injects faults of the operating system into a real process; the interpreter imports it from PYTHONPATH at its start.

The plan is JSON in the environment variable FAULT_PLAN:

    seed            seed of the random choices
    clock_steps     [[after_s, step_s], ...]: steps of the wall clock, in seconds since the process started
    calls           [{"call": name, "errno": name, "share": 0..1, "from_s": x, "until_s": y}, ...]: failing system calls
    short           share of reads and writes on sockets that transfer one byte only

Errors are raised where the interpreter would raise them.  EINTR is not among them: the interpreter retries it itself.
"""

import errno
import json
import os
import random
import select
import socket
import sys
import time

PLAN = json.loads(os.environ.get("FAULT_PLAN", "{}"))
RANDOM = random.Random(PLAN.get("seed", 0))
STARTED_S = time.monotonic()
SOCKET_CALLS = ("accept", "connect", "recv", "send", "setsockopt")
FILE_CALLS = ("write", "fsync", "fdatasync", "replace", "rename", "unlink", "open")


def elapsed_s():
    return time.monotonic() - STARTED_S


def raise_if_planned(call):
    now_s = elapsed_s()
    for fault in PLAN.get("calls", ()):
        is_active = fault.get("from_s", 0.0) <= now_s < fault.get("until_s", float("inf"))
        if fault["call"] == call and is_active and RANDOM.random() < fault.get("share", 1.0):
            number = getattr(errno, fault["errno"])
            raise OSError(number, os.strerror(number))


def failing(call, function):
    def call_or_fail(*args, **kwargs):
        raise_if_planned(call)
        return function(*args, **kwargs)

    return call_or_fail


def shortened(function, is_read):
    """Transfer one byte instead of what was asked for, in the planned share of calls."""

    def transfer(sock, data, *rest):
        if RANDOM.random() < PLAN.get("short", 0.0):
            data = min(1, data) if is_read else bytes(memoryview(data)[:1])
        return function(sock, data, *rest)

    return transfer


class FailingPoll:
    """A `select.poll` object whose `poll` fails as planned."""

    def __init__(self):
        self.wrapped = make_poll()
        self.register, self.modify, self.unregister = (
            self.wrapped.register,
            self.wrapped.modify,
            self.wrapped.unregister,
        )

    def poll(self, *timeout):
        raise_if_planned("poll")
        return self.wrapped.poll(*timeout)


def install_clock():
    real, real_ns = time.time, time.time_ns

    def step_s():
        now_s = elapsed_s()
        return sum(step for after_s, step in PLAN["clock_steps"] if now_s >= after_s)

    time.time = lambda: real() + step_s()
    time.time_ns = lambda: real_ns() + int(step_s() * 1e9)


if PLAN.get("clock_steps"):
    install_clock()
planned = {fault["call"] for fault in PLAN.get("calls", ())}
unknown = planned - {*SOCKET_CALLS, *FILE_CALLS, "poll"}
if unknown:
    sys.exit(f"FAULT_PLAN: unknown calls {sorted(unknown)}")
if PLAN.get("short"):
    socket.socket.recv = shortened(socket.socket.recv, True)
    socket.socket.send = shortened(socket.socket.send, False)
for name in planned.intersection(SOCKET_CALLS):
    setattr(socket.socket, name, failing(name, getattr(socket.socket, name)))
for name in planned.intersection(FILE_CALLS):
    setattr(os, name, failing(name, getattr(os, name)))
if "poll" in planned:
    make_poll, select.poll = select.poll, FailingPoll
