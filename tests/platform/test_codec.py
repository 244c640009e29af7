"""Framing of the platform's protocol: segmented input, and malformed input that breaks a stream."""

import pytest
from platform_peers import frame

from quillstep.platform.protocol.codec import MessageCodec, StreamBroken


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_messages_are_decoded_from_any_segmentation(size):
    codec = MessageCodec(4096)
    data = b"".join(frame({"t": "hb", "n": number, "text": "ü" * number}) for number in range(20))
    messages = [event for start in range(0, len(data), size) for event in codec.receive(data[start : start + size])]
    assert [message["n"] for message in messages] == list(range(20)) and not codec.buffer


@pytest.mark.parametrize(
    ("data", "is_registered"),
    [
        (b"GET / HTTP/1.1\r\n", False), (b"\x00\x00\x00\x00", False), (b"\xff\xff\xff\xff", True),
        ((2**20 + 1).to_bytes(4, "big"), True), ((5000).to_bytes(4, "big"), False), (frame(b"[1]"), True),
        (frame(b"{nonsense}"), True), (frame(b'{"a":NaN}'), True), (frame(b"{" * 4000), True),
        (frame(b"\xff\xfe"), True),
    ],
)  # fmt: skip
def test_malformed_bytes_break_the_stream_after_preceding_messages(data, is_registered):
    codec = MessageCodec(4096)
    codec.is_registered = is_registered
    events = codec.receive(frame({"t": "hb"}) + data) if is_registered else codec.receive(data)
    assert [type(event) for event in events] == ([dict, StreamBroken] if is_registered else [StreamBroken])
    assert codec.receive(frame({"t": "hb"})) == []


def test_a_message_is_rejected_by_its_first_byte_before_its_body_is_buffered():
    codec = MessageCodec(4096)
    codec.is_registered = True
    codec.receive((2**20).to_bytes(4, "big"))
    assert isinstance(codec.receive(b"x")[0], StreamBroken) and not codec.buffer
