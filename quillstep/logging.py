"""Logging to standard error: readable text on a terminal, JSON otherwise."""

import contextlib
import logging
import os
import sys
from collections.abc import Callable
from typing import Any

import structlog
from structlog.typing import EventDict, Processor


def configure_logging(output_format: str, level: str, write: Callable[[str], None] | None = None) -> None:
    """Configure structlog for this process.

    Args:
        output_format: `human`, `json`, or `auto`, which means `human` on a terminal and `json` elsewhere.
        level: The lowest level that is logged, such as `info`.
        write: Called with each line, from any thread; by default lines are written to standard error at once.
    """
    is_human = output_format == "human" or (output_format == "auto" and sys.stderr.isatty())
    renderer: Processor = structlog.dev.ConsoleRenderer() if is_human else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            _add_process_id,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=lambda *name: _LineLogger(write or _write_to_stderr),
        cache_logger_on_first_use=True,
    )


def _add_process_id(logger: Any, method: str, event: EventDict) -> EventDict:
    """Add the process's ID, which tells the lines of a restarted process from those before."""
    event["pid"] = os.getpid()
    return event


class _LineLogger:
    """Passes rendered lines on."""

    def __init__(self, write: Callable[[str], None]) -> None:
        self.write = write

    def msg(self, line: str) -> None:
        self.write(line + "\n")

    log = debug = info = warning = warn = error = critical = exception = fatal = msg


def _write_to_stderr(line: str) -> None:
    """Write a line to standard error; the program continues if standard error is closed."""
    with contextlib.suppress(OSError):
        sys.stderr.write(line)
