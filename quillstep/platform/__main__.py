"""Run as `python -m quillstep.platform`: one pilot in the foreground, told all by BALANCER_CONFIG and its sisters."""

import os
import signal
import sys
import threading
from types import FrameType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillstep.platform.service import PlatformController

FAULT = 70  # the status of a process that ends by a fault of ours


class Signals:
    """Only ever sets what is wanted, so that no signal is lost to another that comes in between; the loop does it."""

    def __init__(self) -> None:
        self.came: set[int] = set()
        self.pilot: PlatformController | None = None

    def take(self, number: int, frame: FrameType | None) -> None:
        self.came.add(number)
        if self.pilot:
            tell(self.pilot, {number})

    def hand_over(self, pilot: "PlatformController") -> None:
        """From now on to this pilot, and to it what came before."""
        self.pilot = pilot
        tell(pilot, self.came)


def tell(pilot: "PlatformController", came: set[int]) -> None:
    if signal.SIGTERM in came:
        pilot.stops = True
    if signal.SIGHUP in came:
        pilot.reloads = True


def end_with_thread(ended: threading.ExceptHookArgs) -> None:
    """A thread that can't go on takes the process with it: one that lives on without it would serve nobody."""
    import structlog

    name = ended.thread.name if ended.thread else "unknown"
    trouble = (ended.exc_type, ended.exc_value, ended.exc_traceback)
    structlog.get_logger("pilot").critical("a thread ended by a fault of ours", thread=name, exc_info=trouble)
    sys.stderr.flush()
    os._exit(FAULT)


def main() -> int:
    signals = Signals()
    # Before all that takes long to import: SIGHUP would end a process that has not said otherwise.
    signal.signal(signal.SIGTERM, signals.take)
    signal.signal(signal.SIGHUP, signals.take)
    from quillstep.logging import configure_logging
    from quillstep.platform import configuration
    from quillstep.platform.service import PlatformController

    configure_logging("json", "info")
    threading.excepthook = end_with_thread
    try:
        found = configuration.read()
        facts = configuration.pilot_facts(found, os.environ[configuration.FILE])
        pilot = PlatformController(found, facts)
    except configuration.ConfigurationError as trouble:
        print(f"quillstep: {trouble}.", file=sys.stderr)
        return 1
    except OSError as trouble:
        print(f"quillstep: it can't listen at {found.listen}: {trouble.strerror or trouble}.", file=sys.stderr)
        return 1
    signals.hand_over(pilot)
    try:
        pilot.run(configuration.read)
    except Exception as trouble:
        pilot.log.critical("the deciding thread ended by a fault of ours", exc_info=trouble)
        sys.stderr.flush()
        os._exit(FAULT)
    sys.stderr.flush()
    os._exit(0)  # threads that wait for others' sockets must not hold up the end


if __name__ == "__main__":
    sys.exit(main())
