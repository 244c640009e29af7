"""The stack size of this program's threads."""

import threading

# At the interpreter's recursion limit, the C code of decoders, encoders and comparisons needs up to half of this; a
# smaller stack overflows, which ends the process, before the limit raises `RecursionError`.
THREAD_STACK_BYTES = 1024 * 1024


def set_thread_stack_size() -> None:
    """Set the stack size of all threads that are started from now on."""
    threading.stack_size(THREAD_STACK_BYTES)
