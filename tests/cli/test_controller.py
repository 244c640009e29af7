"""`quillstep controller` as a process."""

import subprocess
import sys

import pytest
from settings_files import FLEET

WAIT_S = 30.0
FAULTS = {
    "xds-server": "import quillstep.net.poller as module; module.Poller.run_maintenance = lambda self: 1 / 0",
    "discovery-client": ("import quillstep.controller.discovery_client as module; module.RECONNECT_DELAY_MS = None"),
}


# Guards against a controller that goes on without one of its threads, after input that the thread did not expect.
@pytest.mark.parametrize("thread", FAULTS)
def test_a_failed_thread_ends_the_process_with_a_traceback(tmp_path, thread):
    path = tmp_path / "controller.cue"
    path.write_text(FLEET)
    command = f"['quillstep', '--log', 'json', 'controller', '--settings', {str(path)!r}]"
    code = f"{FAULTS[thread]}; import sys; sys.argv = {command}; from quillstep.cli.main import main; main()"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=WAIT_S)
    assert done.returncode == 70
    assert "Traceback" in done.stderr and f'"thread": "{thread}"' in done.stderr
