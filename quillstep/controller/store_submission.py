"""Submits versions, pins, planner output and proxies' acknowledgements to the store's queue.  Performs no I/O."""

import time
from typing import Any

from quillstep.controller.core import ControllerCore
from quillstep.controller.table_operations import RELEASE
from quillstep.store.records import Entry
from quillstep.store.writer import StoreWriter

MAX_UNANSWERED_RESPONSES = 65536  # if exceeded, all are dropped: their acks are not expected any more
ACK_SUBMISSION_INTERVAL_MS = 1000.0


class StoreSubmission:
    """Tracks responses and acknowledgements, and submits the changes of each pass of the deciding thread."""

    def __init__(self, writer: StoreWriter) -> None:
        self.writer = writer
        self._submitted_revision = 0
        self._unanswered: dict[tuple[str, str], int] = {}  # revisions by proxy and nonce
        self._acknowledged: dict[str, int] = {}  # newest revision by proxy, since the last submission
        self._acknowledged_ms = 0.0

    def tap(self, what: str, fields: dict[str, Any]) -> None:
        """Tracks sent responses and acknowledgements from a row of the socket record."""
        if what == "send":
            self._unanswered[fields["proxy"], fields["nonce"]] = fields["order"]
            if len(self._unanswered) > MAX_UNANSWERED_RESPONSES:
                self._unanswered.clear()
        elif what == "ack":
            revision = self._unanswered.pop((fields["proxy"], fields["nonce"]), 0)
            if revision:
                self._acknowledged[fields["proxy"]] = revision

    def submit(self, core: ControllerCore, now_ms: float) -> None:
        """Submits the changes since the last call, if there are any."""
        wall_ms = time.time() * 1000.0
        entries = [self.writer.version_entry(version, wall_ms) for version in core.new_versions]
        core.new_versions.clear()
        entries += self._command_entries(core, wall_ms)
        revision = core.tables.revision
        if revision != self._submitted_revision:
            entries += self.writer.journal_entries(revision, wall_ms, core.recorded_output or [])
        if self._acknowledged and now_ms - self._acknowledged_ms > ACK_SUBMISSION_INTERVAL_MS:
            self._acknowledged_ms = now_ms
            entries += [
                self.writer.acknowledged_entry(node, acknowledged, wall_ms)
                for node, acknowledged in self._acknowledged.items()
            ]
            self._acknowledged = {}
        if entries or revision != self._submitted_revision:
            self._submitted_revision = revision
            self.writer.submit(revision, entries)

    def _command_entries(self, core: ControllerCore, wall_ms: float) -> list[Entry]:
        entries: list[Entry] = []
        for command in core.operations.completed:
            for version in command.versions:
                if command.kind == RELEASE:
                    entries.append(self.writer.release_entry(version.table))
                else:
                    entries.append(self.writer.pin_entry(version, wall_ms))
            entries.append(self.writer.command_done_entry(command.key))
        core.operations.completed = []
        return entries
