"""Signal handling and exit of the controller process."""

import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from platform_peers import (
    WAIT_S,
    Client,
    Proxy,
    kill_when_parent_exits,
    running_controller,
    wait_until,
    write_configuration,
)

from quillstep.platform.__main__ import SignalForwarder


@pytest.fixture
def running(tmp_path):
    with running_controller(tmp_path, 3) as controller:
        yield controller


def test_no_signal_is_lost_during_startup():
    class Controller:
        stop_requested = reload_requested = False

    for signal_number, flag in ((signal.SIGTERM, "stop_requested"), (signal.SIGHUP, "reload_requested")):
        for is_forwarding in (False, True):
            signals, controller = SignalForwarder(), Controller()
            if is_forwarding:
                signals.forward_to(controller)
            signals.handle(signal_number, None)
            if not is_forwarding:
                signals.forward_to(controller)
            assert getattr(controller, flag)
    signals.handle(signal.SIGTERM, None)
    assert controller.stop_requested and controller.reload_requested  # neither cancels the other


def test_sighup_during_imports_does_not_end_the_process(tmp_path):
    """The first import after the handlers are installed blocks until the test has sent the signal."""
    path = write_configuration(tmp_path, "127.0.0.1:1", [])
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    startup = tmp_path / "sitecustomize.py"
    startup.write_text(
        "import sys\n"
        "class Gate:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'structlog':\n"
        f"            sys.meta_path.remove(self); open({str(gate)!r}).read()\n"
        "sys.meta_path.insert(0, Gate())\n"
    )
    environment = {**os.environ, "BALANCER_CONFIG": str(path), "PYTHONPATH": f"{tmp_path}{os.pathsep}{os.getcwd()}"}
    process = subprocess.Popen(
        [sys.executable, "-m", "quillstep.platform"], stderr=subprocess.PIPE, text=True, env=environment,
        preexec_fn=kill_when_parent_exits,
    )  # fmt: skip
    try:
        with open(gate, "w"):  # opens once the process blocks in the import
            process.send_signal(signal.SIGHUP)
            wait_until(lambda: has_no_pending_signal(process.pid), "the signal's delivery")
        assert any("controller ready" in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
    finally:
        process.kill()
        process.wait(WAIT_S)
        process.stderr.close()


def test_sighup_before_the_first_import_does_not_end_the_process(tmp_path):
    """The interpreter blocks before the program's first line until the test has sent the signals."""
    run = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    (tmp_path / "sitecustomize.py").write_text(f"open({str(gate)!r}).read()\n")
    path = write_configuration(tmp_path, "127.0.0.1:1", [])
    process = subprocess.Popen(
        ["/bin/sh", "-c", run], stderr=subprocess.PIPE, text=True, preexec_fn=kill_when_parent_exits,
        env={**os.environ, "BALANCER_CONFIG": str(path), "PYTHONPATH": str(tmp_path)},
    )  # fmt: skip
    try:
        with open(gate, "w"):  # opens once the interpreter blocks
            for _ in range(10):
                process.send_signal(signal.SIGHUP)
            wait_until(lambda: process.poll() is not None or has_no_pending_signal(process.pid), "the delivery")
        assert any("controller ready" in line for line in process.stderr)
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        assert process.wait(WAIT_S) == 0
    finally:
        process.kill()
        process.wait(WAIT_S)
        process.stderr.close()


def has_no_pending_signal(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return all(int(line.split()[1], 16) == 0 for line in status if line.startswith(("SigPnd", "ShdPnd")))


@pytest.mark.parametrize("thread", ["poller", "watch", "deciding"])
def test_a_failed_thread_ends_the_process_with_a_traceback(tmp_path, thread):
    """Guards against a process that keeps running without one of its threads and serves no proxy.

    Each fault is raised outside of the handling of a connection.
    """
    path = write_configuration(tmp_path, "127.0.0.1:1", [])
    faults = {
        "poller": "import quillstep.net.poller as module; module.Poller.run_maintenance = lambda self: 1 / 0",
        "watch": (
            "import quillstep.platform.discovery_watch as module; module.MIN_RECONNECT_INTERVAL_MS = None; "
            "module.DiscoveryWatch.watch_once = lambda *_: None"
        ),
        "deciding": (
            "import quillstep.platform.service as module; module.PlatformController.run_pass = lambda self: 1 / 0"
        ),
    }
    code = f"{faults[thread]}; import sys; from quillstep.platform.__main__ import main; sys.exit(main())"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=WAIT_S,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert completed.returncode == 70 and "Traceback" in completed.stderr and "internal error" in completed.stderr


def test_connections_accepted_after_sigterm_are_closed_at_once(running):
    proxy = Proxy(running.address, 0)
    wait_until(lambda: len(proxy.usable_endpoints()) == 3, "the table")
    running.process.send_signal(signal.SIGTERM)
    started_s, is_refused = time.monotonic(), False
    while not is_refused:
        try:
            assert Client(running.address).is_closed_within()
        except OSError:
            is_refused = True
    assert running.process.wait(WAIT_S) == 0 and proxy.is_closed_within() and time.monotonic() - started_s < WAIT_S / 4


def test_a_controller_whose_log_nobody_reads_serves_on(tmp_path):
    """A pipe holds 64 KiB; a write beyond that would block the thread that logs, and with it every proxy."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = f"127.0.0.1:{free.getsockname()[1]}"
    path = write_configuration(tmp_path, "127.0.0.1:1", [], listen=address)
    process = subprocess.Popen(
        [sys.executable, "-m", "quillstep.platform"], stderr=subprocess.PIPE, text=True,
        env={**os.environ, "BALANCER_CONFIG": str(path)}, preexec_fn=kill_when_parent_exits,
    )  # fmt: skip
    try:
        assert any("controller ready" in line for line in process.stderr)  # nothing is read from here on
        for number in range(600):
            Proxy(address, number % 4).close()
        client = Client(address)
        client.send({"t": "hb"})
        assert client.received.get(timeout=WAIT_S) == {"t": "hb_ok"}
        client.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
        lines = process.stderr.readlines()
        assert sum("proxy connected" in line for line in lines) < 600  # the pipe was full
    finally:
        process.kill()
        process.wait(WAIT_S)
        process.stderr.close()
