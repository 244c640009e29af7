"""Decodes JSON from outside of this process: messages of peers, lists of discovery, files.

The decoder calls itself once per level of nesting, on the stack of the thread that uses it, and a stack that overflows
ends the process.  The nesting is therefore limited before anything is decoded, as RFC 8259, section 9, allows.
"""

import re
from typing import Any

import msgspec

from quillstep.errors import QuillstepError

MAX_NESTING_DEPTH = 200  # levels of arrays and objects, each of which takes under 0.5 KiB of stack

_ESCAPE = re.compile(rb"\\.", re.DOTALL)
_OPENING = ord("[")
_BRACES_AS_BRACKETS = bytes.maketrans(b"{}", b"[]")
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


class MalformedJsonError(QuillstepError, ValueError):
    """The data is not JSON, or not of the expected type; the message names the problem and its place."""


class NestingTooDeepError(MalformedJsonError):
    """Arrays and objects are nested deeper than `MAX_NESTING_DEPTH`."""


def check_nesting(data: bytes) -> None:
    """Check that a decoder of this data descends at most `MAX_NESTING_DEPTH` levels.

    Takes time in proportion to the size of the data, and does not recurse.  Data that is not JSON may pass: a decoder
    rejects it at the first invalid byte, up to which the levels counted here are those that it descends.

    Raises:
        NestingTooDeepError: The data is nested too deeply.
    """
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING_DEPTH:
        return
    depth = 0
    for bracket in _brackets_outside_strings(data):
        depth += 1 if bracket == _OPENING else -1
        if depth > MAX_NESTING_DEPTH:
            raise NestingTooDeepError(f"nested deeper than {MAX_NESTING_DEPTH} levels")


def _brackets_outside_strings(data: bytes) -> bytes:
    """Return the brackets and braces that are not part of a string, as `[` and `]`."""
    without_escapes = _ESCAPE.sub(b"", data) if b"\\" in data else data
    outside_strings = b"".join(without_escapes.split(b'"')[::2])
    return outside_strings.translate(_BRACES_AS_BRACKETS, _NOT_BRACKETS)


class JsonDecoder:
    """Decodes JSON to values of one type, with limited nesting."""

    def __init__(self, kind: Any = Any) -> None:
        """`kind` is any type that msgspec can decode."""
        self._decode = msgspec.json.Decoder(kind).decode

    def decode(self, data: bytes) -> Any:
        """Return the decoded value.

        Raises:
            NestingTooDeepError: The data is nested deeper than `MAX_NESTING_DEPTH`.
            MalformedJsonError: The data is not JSON, or not of the decoder's type.
        """
        if len(data) > MAX_NESTING_DEPTH:  # a level takes a byte at least; most messages of proxies are this short
            check_nesting(data)
        try:
            return self._decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MalformedJsonError(str(error)) from error


decode_json = JsonDecoder().decode
