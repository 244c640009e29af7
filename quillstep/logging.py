"""Log lines on standard error: for people on a terminal, JSON otherwise."""

import logging
import sys

import structlog
from structlog.typing import Processor


def configure_logging(form: str, level: str) -> None:
    """`form` is auto, human or json; `level` a name such as info."""
    human = form == "human" or (form == "auto" and sys.stderr.isatty())
    shape: Processor = structlog.dev.ConsoleRenderer() if human else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=lambda *name: _Named(name[0] if name else ""),
        cache_logger_on_first_use=True,
    )


class _Named:
    """Writes finished lines to standard error; losing the reader of the log must not end a pilot."""

    def __init__(self, name: str) -> None:
        self.name = name

    def msg(self, line: str) -> None:
        try:
            sys.stderr.write(line + "\n")
        except OSError:
            pass  # nobody reads the log any more

    log = debug = info = warning = warn = error = critical = exception = fatal = msg
