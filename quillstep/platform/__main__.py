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

from quillstep.log_writer import LogWriter

if TYPE_CHECKING:
    from quillstep.platform.configuration import PlatformConfiguration
    from quillstep.platform.service import PlatformController

EXIT_CONFIGURATION_ERROR = 1
LOG_FLUSH_TIMEOUT_S = 0.3


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


class ProcessExit:
    """Ends the process after its log was written, or could not be written in time."""

    def __init__(self, log_writer: LogWriter) -> None:
        self.log_writer = log_writer

    def now(self, status: int) -> NoReturn:
        """End the process at once, without waiting for threads that are blocked on a peer."""
        self.log_writer.flush(LOG_FLUSH_TIMEOUT_S)
        os._exit(status)

    def on_thread_failure(self, failure: threading.ExceptHookArgs) -> NoReturn:
        """End the process when a thread has failed: a controller without one of its threads cannot serve proxies.

        Installed as `threading.excepthook`.
        """
        from quillstep.net.threads import EXIT_INTERNAL_ERROR, log_thread_failure

        log_thread_failure(failure)
        self.now(EXIT_INTERNAL_ERROR)


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
    from quillstep.net.threads import EXIT_INTERNAL_ERROR
    from quillstep.platform.configuration import ConfigurationError, read_configuration

    log_writer = LogWriter()
    configure_logging("json", "info", log_writer.write)
    process_exit = ProcessExit(log_writer)
    threading.excepthook = process_exit.on_thread_failure
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
        return process_exit.now(EXIT_INTERNAL_ERROR)
    return process_exit.now(0)


def _make_controller(configuration: "PlatformConfiguration") -> "PlatformController":
    from quillstep.platform.configuration import CONFIG_VARIABLE, controller_config
    from quillstep.platform.service import PlatformController

    return PlatformController(configuration, controller_config(configuration, os.environ[CONFIG_VARIABLE]))


if __name__ == "__main__":
    sys.exit(main())
