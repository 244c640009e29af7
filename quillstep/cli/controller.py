"""`quillstep controller`: runs one controller in the foreground."""

import os
import sys
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

import click
import structlog

from quillstep.cli.output import fail, load_settings, print_json
from quillstep.config.controller import ControllerSettings
from quillstep.net.threads import EXIT_INTERNAL_ERROR, log_thread_failure

if TYPE_CHECKING:
    from quillstep.controller.service import Controller
    from quillstep.store import Store

MAX_STOP_S = 5.0  # time to stop after standard input was closed, before the process exits anyway


@click.command()
@click.option("--settings", required=True, type=click.Path(), help="The controller's settings, a .cue file.")
@click.option("--with-parent", is_flag=True, help="Stop when standard input is closed.")
def controller(settings: str, with_parent: bool) -> None:
    """Run one controller until it is stopped."""
    record = load_settings(ControllerSettings, settings)
    store, record = _open_store(record, settings)
    threading.excepthook = _end_process
    running = _make_controller(record, store, settings)
    addresses = {"reports": running.processes.addresses} if running.processes else {}
    print_json({"ready": running.server.address, **addresses})
    sys.stdout.flush()
    if with_parent:
        threading.Thread(target=_stop_with_input, args=(running.stop,), daemon=True, name="parent-watch").start()
    try:
        running.run()
    except KeyboardInterrupt:
        running.server.stop()


def _end_process(failure: threading.ExceptHookArgs) -> None:
    """Ends the process when a thread has failed: a controller that lacks one of its threads cannot do its work."""
    log_thread_failure(failure)
    os._exit(EXIT_INTERNAL_ERROR)


def _open_store(record: ControllerSettings, path: str) -> tuple["Store | None", ControllerSettings]:
    """Returns the store and the settings to use; without the store, after a log event, if it cannot be opened."""
    from quillstep.store import StoreError, StoreSchemaTooNewError
    from quillstep.store.writer import open_store

    try:
        return (open_store(record.store) if record.store.folder else None), record
    except StoreSchemaTooNewError as error:
        fail(f"{path}: store.folder: {error}")
    except StoreError as error:
        structlog.get_logger("store").error("store unavailable at start", kind=error.reason, reason=str(error))
        without = record.store.model_copy(update={"folder": ""})
        return None, record.model_copy(update={"store": without})


def _make_controller(record: ControllerSettings, store: "Store | None", path: str) -> "Controller":
    from quillstep.controller.service import Controller
    from quillstep.files.disk import UnusableFileError

    try:
        return Controller(record, store)
    except UnusableFileError as error:
        fail(f"{path}: files.root: {error}")
    except OSError as error:
        fail(f"{path}: {error.filename or record.listen}: {error.strerror or error}")


def _stop_with_input(stop: Callable[[], None]) -> None:
    sys.stdin.buffer.read()
    stop()
    threading.Timer(MAX_STOP_S, os._exit, (0,)).start()
