"""Run as `python -m quillstep.platform`: one controller in the foreground, configured by `BALANCER_CONFIG`.

Exit statuses: 0 after SIGTERM, 1 where the configuration can't be used, 70 after an internal error.
"""

import os
import signal
import sys
import threading
from types import FrameType
from typing import TYPE_CHECKING, NoReturn

if TYPE_CHECKING:
    from quillstep.platform.configuration import PlatformConfiguration
    from quillstep.platform.service import PlatformController

EXIT_CONFIGURATION_ERROR = 1
EXIT_INTERNAL_ERROR = 70


class Signals:
    """Keeps the signals that arrive before there is a controller, and passes all to it.

    A handler only ever sets a flag, so that no signal is lost to another one in between; the deciding thread acts.
    """

    def __init__(self) -> None:
        self.received: set[int] = set()
        self.controller: PlatformController | None = None

    def handle(self, number: int, frame: FrameType | None) -> None:
        """Note a signal; installed as its handler."""
        self.received.add(number)
        if self.controller:
            _request(self.controller, {number})

    def forward_to(self, controller: "PlatformController") -> None:
        """Pass signals to this controller from now on, and those that have arrived already."""
        self.controller = controller
        _request(controller, self.received)


def _request(controller: "PlatformController", signals: set[int]) -> None:
    if signal.SIGTERM in signals:
        controller.stop_requested = True
    if signal.SIGHUP in signals:
        controller.reload_requested = True


def exit_after_thread(failure: threading.ExceptHookArgs) -> NoReturn:
    """End the process with a thread that has failed: without it the process would serve nobody."""
    import structlog

    name = failure.thread.name if failure.thread else "unknown"
    exception = (failure.exc_type, failure.exc_value, failure.exc_traceback)
    structlog.get_logger("controller").critical("thread ended with an internal error", thread=name, exc_info=exception)
    _exit(EXIT_INTERNAL_ERROR)


def _exit(status: int) -> NoReturn:
    """End the process at once: threads that wait for a peer must not hold it up."""
    sys.stderr.flush()
    os._exit(status)


def main() -> int:
    """Run a controller until SIGTERM; return the exit status where it could not start."""
    signals = Signals()
    # Before the imports, which take long: SIGHUP would end a process that does not handle it.
    signal.signal(signal.SIGTERM, signals.handle)
    signal.signal(signal.SIGHUP, signals.handle)
    from quillstep.logging import configure_logging
    from quillstep.platform.configuration import ConfigurationError, read_configuration

    configure_logging("json", "info")
    threading.excepthook = exit_after_thread
    try:
        configuration = read_configuration()
        controller = _make_controller(configuration)
    except ConfigurationError as error:
        print(f"quillstep: {error}.", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    except OSError as error:
        reason = error.strerror or error
        print(f"quillstep: it can't listen at {configuration.listen}: {reason}.", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    signals.forward_to(controller)
    try:
        controller.run(read_configuration)
    except Exception as error:
        controller.log.critical("deciding thread ended with an internal error", exc_info=error)
        _exit(EXIT_INTERNAL_ERROR)
    _exit(0)


def _make_controller(configuration: "PlatformConfiguration") -> "PlatformController":
    from quillstep.platform.configuration import CONFIG_VARIABLE, controller_config
    from quillstep.platform.service import PlatformController

    return PlatformController(configuration, controller_config(configuration, os.environ[CONFIG_VARIABLE]))


if __name__ == "__main__":
    sys.exit(main())
