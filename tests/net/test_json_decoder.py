"""The limit on nesting: counted as a decoder descends, whatever stands in strings, in time linear in the size."""

import json
import subprocess
import sys
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillstep.net.json_decoder import (
    MAX_NESTING_DEPTH,
    JsonDecoder,
    MalformedJsonError,
    NestingTooDeepError,
    check_nesting,
    decode_json,
)

MEBIBYTE = 2**20
strings = st.text(alphabet=st.sampled_from('[]{}"\\/ab\n'), max_size=8)
values = st.recursive(
    st.one_of(st.integers(), st.none(), strings),
    lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(strings, inner, max_size=4)),
    max_leaves=30,
)


def depth_of(value):
    if isinstance(value, dict):
        return 1 + max(map(depth_of, value.values()), default=0)
    return 1 + max(map(depth_of, value), default=0) if isinstance(value, list) else 0


def enclosed(value, levels):
    for level in range(levels):
        value = [value] if level % 2 else {"[{": value}
    return value


@given(values, st.integers(MAX_NESTING_DEPTH - 6, MAX_NESTING_DEPTH + 2), st.booleans())
def test_a_document_is_decoded_if_and_only_if_its_depth_is_within_the_limit(value, levels, is_escaped):
    document = enclosed(value, levels)
    data = json.dumps(document, ensure_ascii=is_escaped).encode()
    if depth_of(document) <= MAX_NESTING_DEPTH:
        assert decode_json(data) == document
    else:
        with pytest.raises(NestingTooDeepError):
            decode_json(data)


@given(st.lists(st.sampled_from([b"[", b"{", b"]", b"}", b'"', b"\\", b'{"a":', b",", b"1", b"[" * 60]), max_size=60))
def test_no_decoder_descends_further_than_the_limit_in_data_that_passes(pieces):
    """The recursion limit stands for a small stack: a decoder that descends further raises `RecursionError`."""
    data = b"".join(pieces)
    try:
        check_nesting(data)
    except NestingTooDeepError:
        return
    usual_limit = sys.getrecursionlimit()
    sys.setrecursionlimit(len(list(_frames())) + MAX_NESTING_DEPTH + 30)
    try:
        msgspec.json.decode(data)
    except msgspec.DecodeError:
        pass
    finally:
        sys.setrecursionlimit(usual_limit)


def _frames():
    frame = sys._getframe()
    while frame:
        yield frame
        frame = frame.f_back


@pytest.mark.parametrize(
    "data",
    [b"[" * MEBIBYTE, b"[]" * (MEBIBYTE // 2), b'"\\"' * (MEBIBYTE // 3),
     b"[" * 2 * MAX_NESTING_DEPTH + b"\\" * MEBIBYTE,
     b'["' * (MEBIBYTE // 2), (b"[" * (MAX_NESTING_DEPTH - 1) + b"]" * (MAX_NESTING_DEPTH - 1)) * 2500],
    ids=["unclosed", "pairs", "escaped quotes", "backslashes", "quotes", "waves"],
)  # fmt: skip
def test_hostile_data_of_the_largest_size_is_checked_within_a_second(data):
    started_s = time.process_time()
    with pytest.raises(MalformedJsonError):
        decode_json(data)
    assert time.process_time() - started_s < 1.0


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b'{"a":1}x', b"1" * 5000, b'"\\ud800"', b"NaN", b'{"a":"\xed\xa0\x80"}']
)
def test_data_that_is_not_json_raises_one_type_of_error(data):
    with pytest.raises(MalformedJsonError):
        decode_json(data)


def test_a_value_of_another_type_is_malformed():
    with pytest.raises(MalformedJsonError):
        JsonDecoder(dict[str, int]).decode(b'{"a":"b"}')


# Guards against stacks that overflow in C code before the interpreter's recursion limit is reached (SIGSEGV).
@pytest.mark.parametrize("shape", ["[{}]", '{{"a":{}}}'], ids=["arrays", "objects"])
@pytest.mark.parametrize(
    "use",
    ["decode(data)", "msgspec.msgpack.decode(packed)", "repr(value)", "msgspec.json.encode(value)", "json.dumps(value)",
     "value == other", "json.loads(data)", "copy.deepcopy(value)"],
)  # fmt: skip
def test_the_recursion_limit_is_reached_before_the_stack_of_a_thread_overflows(shape, use):
    opening, closing = shape.replace("{{", "{").replace("}}", "}").split("{}")
    code = f"""
import copy, json, msgspec, sys, threading
from quillstep.net.threads import set_thread_stack_size
decode = msgspec.json.decode
data = {opening!r} * 100_000 + "1" + {closing!r} * 100_000
packed = (b"\\x91" if {opening!r} == "[" else b"\\x81\\xa1a") * 100_000 + b"\\x01"
def nested():
    value = 1
    for _ in range(100_000):
        value = [value] if {opening!r} == "[" else {{"a": value}}
    return value
value, other = nested(), nested()
def run():
    try:
        {use}
    except RecursionError:
        print("RecursionError")
set_thread_stack_size()
thread = threading.Thread(target=run)
thread.start()
thread.join()
sys.stdout.flush()
import os
os._exit(0)  # without freeing the values
"""
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert (completed.returncode, completed.stdout) == (0, "RecursionError\n"), completed.stderr
