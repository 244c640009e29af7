"""The limit on messages that have arrived in part, and the codecs that it reads."""

import struct

from quillstep.net.receive_budget import ReceiveBudget
from quillstep.platform.protocol.codec import MessageCodec
from quillstep.xds.grpc import FrameDecoder
from quillstep.xds.http2 import GrpcConnection


class FixedCodec:
    def __init__(self, buffered_bytes):
        self.buffered_bytes = buffered_bytes


def test_the_connection_with_most_buffered_bytes_is_over_the_budget_until_it_is_released():
    budget = ReceiveBudget(100)
    for name, size in {"small": 10, "large": 60, "complete": 0}.items():
        budget.update(name, FixedCodec(size))
    assert budget.connection_over_budget() is None and budget.total_bytes == 70
    budget.update("small", FixedCodec(50))
    assert budget.connection_over_budget() == "large"
    budget.release("large")
    assert budget.connection_over_budget() is None and budget.total_bytes == 50


def test_both_codecs_count_incomplete_messages():
    codec = MessageCodec(4096)
    codec.receive(struct.pack(">I", 100) + b'{"t":"hb"')
    assert codec.buffered_bytes == 13
    connection = GrpcConnection(False, 4096)
    connection.decoders[1] = FrameDecoder(4096)
    connection.decoders[1].feed(struct.pack(">BI", 0, 100) + b"x" * 30)
    assert connection.buffered_bytes == 35
