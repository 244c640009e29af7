"""Files of one proxy that cannot be decoded: the watcher's thread goes on, and other proxies are followed."""

import os
import queue

import msgspec
import pytest
from envoy.service.discovery.v3 import discovery_pb2
from files.test_front import FrontHarness, current_generation

from quillstep.config.controller import FileSettings
from quillstep.files.disk import Disk
from quillstep.files.events import RegistrationRead
from quillstep.files.watcher import DirectoryWatcher
from quillstep.net.threads import set_thread_stack_size

WAIT_S = 10.0
HELLO = b'{"node": "%b", "zone": "a", "usual": 1.0, "generation": 3, "versions": {}}'
NESTED = b"[" * 2000
NESTED_CLOSED = b"[" * 700 + b"]" * 700
MANIFEST = {"origin": "e", "generation": 3, "order": 1, "ordered_ms": 0.0}


def wrong_resource():
    """Returns a discovery response with a resource that is no `Resource` although its type says so."""
    response = discovery_pb2.DiscoveryResponse(version_info="1")
    packed = response.resources.add()
    packed.Pack(discovery_pb2.Resource())
    packed.value = b"\xff\xff\xff\xff"
    return response.SerializeToString()


def manifest(*names):
    return msgspec.json.encode({**MANIFEST, "files": {name: "0" for name in names}})


UNDECODABLE_FILES = {  # files in the directory of the proxy `bad`; each has a valid hello.json unless it is named here
    "nested registration": {"hello.json": b'{"node": "bad", "unused": ' + NESTED},
    "nested registration that is closed": {"hello.json": b'{"node": "bad", "unused": ' + NESTED_CLOSED + b"}"},
    "nested versions": {"hello.json": b'{"node": "bad", "versions": ' + b'{"a":' * 2000},
    "registration that is not UTF-8": {"hello.json": b'{"node": "\xff"}'},
    "nested acknowledgement": {"ack.json": b'{"generation": 3, "unused": ' + NESTED_CLOSED + b"}"},
    "nested acknowledgement that is not closed": {"ack.json": b'{"generation": 3, "unused": ' + NESTED},
    "nested manifest": {"generations/3/manifest.json": b'{"unused": ' + NESTED},
    "file name with NUL": {"generations/3/manifest.json": manifest("a\0.pb")},
    "file name in another directory": {"generations/3/manifest.json": manifest("../../hello.json")},
    "resource of another type": {
        "generations/3/manifest.json": manifest("a.pb"),
        "generations/3/a.pb": wrong_resource(),
    },
    "resources with nested JSON": {"generations/3/manifest.json": manifest("a.json"), "generations/3/a.json": NESTED},
    "generation whose number is not in ASCII": {"generations/²/manifest.json": b"{}"},
    "generation whose number is in other digits": {"generations/٣٤/manifest.json": b"{}"},
}


def write_files(directory, files):
    files = {"hello.json": HELLO % directory.name.encode(), **files}
    for name in sorted(files, key=lambda name: name == "hello.json"):  # the registration last
        path = directory / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(files[name])
        if name != "ack.json":
            os.utime(path, (0, 0))


# Guards against the thread `file-watcher` ending, or the process with it, so that no file proxy is followed any more.
@pytest.mark.parametrize("files", UNDECODABLE_FILES.values(), ids=UNDECODABLE_FILES)
def test_the_watcher_reads_other_proxies_after_an_undecodable_file(tmp_path, files):
    set_thread_stack_size()
    events = queue.Queue()
    disk = Disk(str(tmp_path))
    write_files(tmp_path / "bad", files)
    watcher = DirectoryWatcher(disk, FileSettings(root=str(tmp_path), poll_interval_ms=5.0), events.put)
    watcher.start()
    write_files(tmp_path / "good", {})
    try:
        while (event := events.get(timeout=WAIT_S)).directory != "good":
            pass
        assert isinstance(event, RegistrationRead) and event.content.registration.node == "good"
    finally:
        watcher.stop()


# Guards against an exception that leaves the file front on the deciding thread, which ends the controller.
@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("ack.json", b'{"generation": 1, "unused": ' + NESTED),
        ("ack.json", b'{"generation": 1, "unused": ' + NESTED_CLOSED + b"}"),
        ("ack.json", b'{"generation": ' + b"9" * 4000 + b"}"),
        ("load/1.pb", b"\xff" * 100),
    ],
    ids=["nested", "nested and closed", "4,000 digits", "load report"],
)
def test_the_deciding_thread_handles_undecodable_files(tmp_path, name, data):
    harness = FrontHarness(tmp_path)
    directory = harness.register(tmp_path, "bad")
    harness.run_until(lambda: current_generation(directory))
    (directory / name).parent.mkdir(exist_ok=True)
    (directory / name).write_bytes(data)
    good = harness.register(tmp_path, "good")
    harness.run_until(lambda: current_generation(good))
    harness.front.stop()
