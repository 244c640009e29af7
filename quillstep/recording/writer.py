"""Writes a capture beside the pilot: records are handed over, encoded and written by a thread of its own.

Whatever goes wrong here stops the capture with a log line, never the pilot.
"""

import os
import queue
import threading
import time
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import structlog

from quillstep.recording.format import Header, Record, encode_block, encode_header

INDEX = "index.lmdb"
INDEX_BYTES = 64 * 2**20
BATCH = 512  # records in a block, at most
BATCH_S = 0.25
WAITING_MOST = 256  # blocks between the pilot and the disk


class RecordingWriter:
    """One life's capture.  `put` and `flush` belong to the deciding thread and never block."""

    def __init__(self, folder: str, pilot: str, epoch: str, settings: dict[str, Any], segment_bytes: int) -> None:
        self.folder, self.segment_bytes = Path(folder), segment_bytes
        offset = (time.time() - time.monotonic()) * 1000.0
        self.header = Header(pilot, epoch, 0, settings, offset)
        self.records: list[Record] = []
        self.begun = time.monotonic()
        self.blocks: queue.Queue[list[Record] | None] = queue.Queue(WAITING_MOST)
        self.stopped = ""
        self.cpu_s = 0.0
        self.written = 0
        self.log = structlog.get_logger("capture")
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def put(self, record: Record) -> None:
        if not self.stopped:
            self.records.append(record)

    def flush(self, now: bool = False) -> None:
        """Hand over what has gathered, if it is enough or old enough."""
        if not self.records or self.stopped:
            return
        if now or len(self.records) >= BATCH or time.monotonic() - self.begun > BATCH_S:
            records, self.records = self.records, []
            self.begun = time.monotonic()
            try:
                self.blocks.put_nowait(records)
            except queue.Full:
                self.stop("the disk does not keep up")

    def close(self) -> None:
        self.flush(now=True)
        try:
            self.blocks.put(None, timeout=2.0)
        except queue.Full:
            return
        self.thread.join(5.0)

    def stop(self, reason: str) -> None:
        """End the capture; the pilot goes on."""
        if not self.stopped:
            self.stopped, self.records = reason, []
            self.log.error("capture stopped", reason=reason, epoch=self.header.epoch)

    def run(self) -> None:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            index = lmdb.open(str(self.folder / INDEX), map_size=INDEX_BYTES, sync=False, subdir=True)
            with index:
                self.work(index)
        except (OSError, lmdb.Error) as trouble:
            self.stop(str(trouble))

    def work(self, index: lmdb.Environment) -> None:
        file = None
        try:
            while (records := self.blocks.get()) is not None:
                begun = time.thread_time()
                if file is None or file.tell() > self.segment_bytes:
                    if file:
                        file.close()
                    file = self.segment()
                at = file.tell()
                data = encode_block(records)
                file.write(data)
                file.flush()
                self.note(index, records, at, len(data))
                self.written += len(records)
                self.cpu_s += time.thread_time() - begun
        finally:
            if file:
                os.fsync(file.fileno())
                file.close()

    def segment(self) -> Any:
        name = f"{self.header.epoch}-{self.header.segment:04d}.qcap"
        file = (self.folder / name).open("xb")
        file.write(encode_header(self.header))
        self.header.segment += 1
        return file

    def note(self, index: lmdb.Environment, records: list[Record], at: int, size: int) -> None:
        """Where a block is, by its life and first time: enough to find a moment without reading all."""
        kinds: dict[str, int] = {}
        for record in records:
            kinds[record[0]] = kinds.get(record[0], 0) + 1
        first, last = records[0][2], records[-1][2]
        segment = self.header.segment - 1
        key = f"{self.header.epoch}\0{first:020.3f}\0{segment:06d}\0{at:012d}".encode()
        with index.begin(write=True) as change:
            change.put(key, msgspec.msgpack.encode([segment, at, size, first, last, kinds]))
