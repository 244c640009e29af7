"""Logging to standard error: readable text on a terminal, JSON otherwise."""

import logging
import os
import sys
from typing import Any

import structlog
from structlog.typing import EventDict, Processor


def configure_logging(output_format: str, level: str) -> None:
    """Configure structlog for this process.

    Args:
        output_format: `human`, `json`, or `auto`, which means `human` on a terminal and `json` elsewhere.
        level: The lowest level that is logged, such as `info`.
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
        logger_factory=lambda *name: _StderrLogger(name[0] if name else ""),
        cache_logger_on_first_use=True,
    )


def _add_process_id(logger: Any, method: str, event: EventDict) -> EventDict:
    """Add the process's ID, which tells the lines of a restarted process from those before."""
    event["pid"] = os.getpid()
    return event


class _StderrLogger:
    """Writes rendered lines to standard error; the program continues if standard error is closed."""

    def __init__(self, name: str) -> None:
        self.name = name

    def msg(self, line: str) -> None:
        try:
            sys.stderr.write(line + "\n")
        except OSError:
            pass  # the reader has closed standard error

    log = debug = info = warning = warn = error = critical = exception = fatal = msg
