"""Writes a recording beside the controller: a thread of its own encodes and writes the records.

Whatever fails here stops the recording with a log event, never the controller.
"""

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

from quillstep.recording.format import Header, Record, encode_block, encode_header, kind_of, taken_ms_of
from quillstep.recording.index import BlockPlace, add_place, open_index

MAX_BLOCK_RECORDS = 512
MAX_BATCH_AGE_S = 0.25
MAX_QUEUED_BLOCKS = 256
CLOSE_PUT_TIMEOUT_S = 2.0
CLOSE_JOIN_TIMEOUT_S = 5.0


class RecordingWriter:
    """The recording of one incarnation.

    `put`, `flush` and `close` belong to the deciding thread, of which only `close` blocks.  The writer's thread takes
    batches from one queue; whoever made the writer ends it with `close`.

    Attributes:
        stop_reason: Why the recording stopped; empty while it runs.
        written: Records written.
        cpu_s: Processor time that the writer's thread has used for them.
    """

    def __init__(self, folder: str, controller: str, epoch: str, settings: dict[str, Any], segment_bytes: int) -> None:
        """Starts the thread.

        Args:
            folder: Where the segments and their index go.
            controller: The controller's name.
            epoch: The name of its incarnation.
            settings: The settings it runs with, as plain values.
            segment_bytes: Size from which on a segment is followed by the next.
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
        """Adds a record to the batch."""
        if not self.stop_reason:
            self._batch.append(record)

    def flush(self, now: bool = False) -> None:
        """Passes the batch to the thread, if it is large enough or old enough, or `now`."""
        if not self._batch or self.stop_reason:
            return
        is_old = time.monotonic() - self._flushed_s > MAX_BATCH_AGE_S
        if now or len(self._batch) >= MAX_BLOCK_RECORDS or is_old:
            records, self._batch = self._batch, []
            self._flushed_s = time.monotonic()
            try:
                self._batches.put_nowait(records)
            except queue.Full:
                self._stop("the disk does not keep up")

    def close(self) -> None:
        """Writes what is left and ends the thread; a disk that does not keep up is not waited for any longer."""
        self.flush(now=True)
        try:
            self._batches.put(None, timeout=CLOSE_PUT_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(CLOSE_JOIN_TIMEOUT_S)

    def _stop(self, reason: str) -> None:
        """Ends the recording; the controller goes on."""
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
                        segment.close()
                    segment = self._open_segment()
                self._write_block(segment, index, records)
                self.written += len(records)
                self.cpu_s += time.thread_time() - begin_s
        finally:
            if segment:
                os.fsync(segment.fileno())
                segment.close()

    def _open_segment(self) -> BufferedWriter:
        """Begins the next segment."""
        name = f"{self._header.epoch}-{self._header.segment:04d}.qcap"
        segment = (self._folder / name).open("xb")
        segment.write(encode_header(self._header))
        self._header.segment += 1
        return segment

    def _write_block(self, segment: BufferedWriter, index: lmdb.Environment, records: list[Record]) -> None:
        """Appends a block, and adds it to the index once it has left the process."""
        offset = segment.tell()
        data = encode_block(records)
        segment.write(data)
        segment.flush()
        place = BlockPlace(
            self._header.segment - 1,
            offset,
            len(data),
            taken_ms_of(records[0]),
            taken_ms_of(records[-1]),
            dict(Counter(kind_of(record) for record in records)),
        )
        add_place(index, self._header.epoch, place)
