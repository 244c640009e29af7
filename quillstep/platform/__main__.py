"""Run as `python -m quillstep.platform`: one pilot in the foreground, told all by BALANCER_CONFIG and its sisters."""

import os
import signal
import sys
from types import FrameType

from quillstep import logs
from quillstep.platform import record
from quillstep.platform.record import Fault
from quillstep.platform.service import LivePilot


def tell(pilot: LivePilot, came: set[int]) -> None:
    """Only ever set, so that no signal is lost to another that comes in between."""
    if signal.SIGTERM in came:
        pilot.stops = True
    if signal.SIGHUP in came:
        pilot.reloads = True


def main() -> int:
    came: set[int] = set()
    pilot: LivePilot | None = None

    def on_signal(number: int, frame: FrameType | None) -> None:
        """Only say what is wanted: the loop does it."""
        came.add(number)
        if pilot:
            tell(pilot, {number})

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGHUP, on_signal)
    logs.set_up("json", "info")
    try:
        found = record.read()
        facts = record.pilot_facts(found, os.environ[record.FILE])
        pilot = LivePilot(found, facts)
    except Fault as trouble:
        print(f"quillstep: {trouble}.", file=sys.stderr)
        return 1
    except OSError as trouble:
        print(f"quillstep: it can't listen at {found.listen}: {trouble.strerror or trouble}.", file=sys.stderr)
        return 1
    tell(pilot, came)  # what came before there was a pilot
    pilot.run(record.read)
    sys.stderr.flush()
    os._exit(0)  # threads that wait for others' sockets must not hold up the end


if __name__ == "__main__":
    sys.exit(main())
