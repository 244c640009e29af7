"""Framing of messages between a controller and its reader processes."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from quillstep.load_reports.readers.framing import FrameBuffer, encode_frame


@given(st.lists(st.lists(st.integers(), max_size=4), max_size=6), st.integers(1, 7))
def test_messages_are_decoded_completely_however_the_bytes_are_split(messages, size):
    messages = [[each % 2**63 for each in row] for row in messages]
    data, frames, decoded = b"".join(encode_frame(row) for row in messages), FrameBuffer(), []
    for offset in range(0, len(data), size):
        decoded += [msgspec.msgpack.decode(body) for body in frames.feed(data[offset : offset + size])]
    assert decoded == messages
