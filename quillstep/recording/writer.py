"""Writes the recording of a controller: a separate thread encodes and writes the records.

Any failure here stops the recording with a log event, never the controller.
"""

import contextlib
import os
import queue
import threading
import time
from collections import Counter
from io import BufferedWriter
from pathlib import Path
from typing import Any

import lmdb
import structlog

from quillstep.recording.format import Header, Record, encode_block, encode_header, handled_ms_of, kind_of
from quillstep.recording.index import IndexEntry, add_entry, open_index

MAX_BLOCK_RECORDS = 512
MAX_BATCH_AGE_S = 0.25
MAX_QUEUED_BLOCKS = 256
CLOSE_PUT_TIMEOUT_S = 2.0
CLOSE_JOIN_TIMEOUT_S = 5.0


class RecordingWriter:
    """The recording of one incarnation.

    `put`, `flush` and `close` are called by the deciding thread; only `close` blocks.  The writer's thread takes
    batches from one queue; the creator of the writer must call `close`.

    Attributes:
        stop_reason: Why the recording stopped; empty while it runs.
        written: Number of records written.
        cpu_s: CPU time that the writer's thread has used for them.
    """

    def __init__(self, folder: str, controller: str, epoch: str, settings: dict[str, Any], segment_bytes: int) -> None:
        """Starts the thread.

        Args:
            folder: Folder for the segments and their index.
            controller: Name of the controller.
            epoch: Name of the incarnation.
            settings: Settings of the controller, as plain values.
            segment_bytes: Size above which a new segment is opened.
        """
        self._folder, self._segment_bytes = Path(folder), segment_bytes
        wall_offset_ms = (time.time() - time.monotonic()) * 1000.0
        self._header = Header(controller, epoch, 0, settings, wall_offset_ms)
        self._batch: list[Record] = []
        self._flushed_s = time.monotonic()
        self._batches: queue.Queue[list[Record] | None] = queue.Queue(MAX_QUEUED_BLOCKS)
        self.stop_reason = ""
        self.written = 0
        self.cpu_s = 0.0
        self._log = structlog.get_logger("recording")
        self._thread = threading.Thread(target=self._run, name="recording-writer", daemon=True)
        self._thread.start()

    def put(self, record: Record) -> None:
        """Adds a record to the batch; a no-op once the recording has stopped."""
        if not self.stop_reason:
            self._batch.append(record)

    def flush(self, now: bool = False) -> None:
        """Passes the batch to the writer's thread if it is large enough, old enough, or `now` is set."""
        if not self._batch or self.stop_reason:
            return
        is_old = time.monotonic() - self._flushed_s > MAX_BATCH_AGE_S
        if now or len(self._batch) >= MAX_BLOCK_RECORDS or is_old:
            records, self._batch = self._batch, []
            self._flushed_s = time.monotonic()
            try:
                self._batches.put_nowait(records)
            except queue.Full:
                self._stop("the disk cannot keep up: the queue of blocks is full")

    def close(self) -> None:
        """Writes the remaining records and ends the thread; gives up after a time-out if the disk cannot keep up."""
        self.flush(now=True)
        try:
            self._batches.put(None, timeout=CLOSE_PUT_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(CLOSE_JOIN_TIMEOUT_S)

    def _stop(self, reason: str) -> None:
        """Stops the recording and logs the reason; the controller continues."""
        if not self.stop_reason:
            self.stop_reason, self._batch = reason, []
            self._log.error("recording stopped", reason=reason, epoch=self._header.epoch)

    def _run(self) -> None:
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            with open_index(self._folder) as index:
                self._write_batches(index)
        except (OSError, lmdb.Error) as error:
            self._stop(str(error))

    def _write_batches(self, index: lmdb.Environment) -> None:
        segment: BufferedWriter | None = None
        try:
            while (records := self._batches.get()) is not None:
                begin_s = time.thread_time()
                if segment is None or segment.tell() > self._segment_bytes:
                    if segment:
                        full, segment = segment, None  # the next one may fail to open
                        full.close()
                    segment = self._open_segment()
                self._write_block(segment, index, records)
                self.written += len(records)
                self.cpu_s += time.thread_time() - begin_s
        except BaseException:
            if segment:
                with contextlib.suppress(OSError):  # the first error is the reason for the stop
                    segment.close()
            raise
        if segment:
            os.fsync(segment.fileno())
            segment.close()

    def _open_segment(self) -> BufferedWriter:
        """Opens the next segment and writes its header."""
        name = f"{self._header.epoch}-{self._header.segment:04d}.qcap"
        segment = (self._folder / name).open("xb")
        segment.write(encode_header(self._header))
        self._header.segment += 1
        return segment

    def _write_block(self, segment: BufferedWriter, index: lmdb.Environment, records: list[Record]) -> None:
        """Appends a block, and adds it to the index after it was flushed to the file."""
        offset = segment.tell()
        data = encode_block(records)
        segment.write(data)
        segment.flush()
        entry = IndexEntry(
            self._header.segment - 1,
            offset,
            len(data),
            handled_ms_of(records[0]),
            handled_ms_of(records[-1]),
            dict(Counter(kind_of(record) for record in records)),
        )
        add_entry(index, self._header.epoch, entry)
