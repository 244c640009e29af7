"""What all threads of a controller share: their stack size, and what is logged when one fails."""

import threading

import structlog

EXIT_INTERNAL_ERROR = 70  # status of a process that ends because one of its threads has failed

# At the interpreter's recursion limit, the C code of decoders, encoders and comparisons needs up to half of this; a
# smaller stack overflows, which ends the process, before the limit raises `RecursionError`.
THREAD_STACK_BYTES = 1024 * 1024


def set_thread_stack_size() -> None:
    """Set the stack size of all threads that are started from now on."""
    threading.stack_size(THREAD_STACK_BYTES)


def log_thread_failure(failure: threading.ExceptHookArgs) -> None:
    """Log the exception that ended a thread, with its traceback and the thread's name."""
    name = failure.thread.name if failure.thread else "unknown"
    exception = (failure.exc_type, failure.exc_value, failure.exc_traceback)
    log = structlog.get_logger("controller")
    log.critical("thread ended with an internal error", thread=name, exc_info=exception)
