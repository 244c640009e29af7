"""Entry point of `python -m quillstep.platform`: runs one controller in the foreground.

The environment variable `BALANCER_CONFIG` holds the path of the configuration file.  Exit statuses: 0 after SIGTERM, 1
if the configuration is invalid or the listen address cannot be bound, 70 after an internal error.
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


class SignalForwarder:
    """Forwards SIGTERM and SIGHUP to the controller, including those received before the controller exists.

    A handler only sets a flag, so that a signal cannot be lost when another one interrupts it.  The deciding thread
    acts on the flags.
    """

    def __init__(self) -> None:
        self.received: set[int] = set()
        self.controller: PlatformController | None = None

    def handle(self, signal_number: int, frame: FrameType | None) -> None:
        """Handle a signal; installed with `signal.signal`."""
        self.received.add(signal_number)
        if self.controller:
            _set_request_flags(self.controller, {signal_number})

    def forward_to(self, controller: "PlatformController") -> None:
        """Forward all signals received so far and all later ones to this controller."""
        self.controller = controller
        _set_request_flags(controller, self.received)


def _set_request_flags(controller: "PlatformController", signals: set[int]) -> None:
    if signal.SIGTERM in signals:
        controller.stop_requested = True
    if signal.SIGHUP in signals:
        controller.reload_requested = True


def exit_on_thread_failure(failure: threading.ExceptHookArgs) -> NoReturn:
    """End the process when a thread has failed: a controller without one of its threads cannot serve proxies.

    Installed as `threading.excepthook`.
    """
    import structlog

    name = failure.thread.name if failure.thread else "unknown"
    exception = (failure.exc_type, failure.exc_value, failure.exc_traceback)
    structlog.get_logger("controller").critical("thread ended with an internal error", thread=name, exc_info=exception)
    _exit_now(EXIT_INTERNAL_ERROR)


def _exit_now(status: int) -> NoReturn:
    """End the process at once, without waiting for threads that are blocked on a peer."""
    sys.stderr.flush()
    os._exit(status)


def main() -> int:
    """Run a controller until SIGTERM.

    Returns:
        The exit status if the controller could not start; otherwise the process ends without returning.
    """
    signals = SignalForwarder()
    # Installed before the slow imports below: an unhandled SIGHUP would terminate the process.
    signal.signal(signal.SIGTERM, signals.handle)
    signal.signal(signal.SIGHUP, signals.handle)
    from quillstep.logging import configure_logging
    from quillstep.platform.configuration import ConfigurationError, read_configuration

    configure_logging("json", "info")
    threading.excepthook = exit_on_thread_failure
    try:
        configuration = read_configuration()
        controller = _make_controller(configuration)
    except ConfigurationError as error:
        print(f"quillstep: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    except OSError as error:
        reason = error.strerror or error
        print(f"quillstep: cannot listen on {configuration.listen}: {reason}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    signals.forward_to(controller)
    try:
        controller.run(read_configuration)
    except Exception as error:
        controller.log.critical("deciding thread ended with an internal error", exc_info=error)
        _exit_now(EXIT_INTERNAL_ERROR)
    _exit_now(0)


def _make_controller(configuration: "PlatformConfiguration") -> "PlatformController":
    from quillstep.platform.configuration import CONFIG_VARIABLE, controller_config
    from quillstep.platform.service import PlatformController

    return PlatformController(configuration, controller_config(configuration, os.environ[CONFIG_VARIABLE]))


if __name__ == "__main__":
    sys.exit(main())
