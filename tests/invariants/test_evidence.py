"""Reading the record of a scenario: lines that cannot be decoded."""

import pytest
from memory_fleet import fleet

from quillstep.invariants import Evidence, read_evidence
from quillstep.net.json_decoder import MalformedJsonError

NESTED = b'{"what":"exchange","unused":' + b"[" * 3000


# Guards against RecursionError of a nested line, which no reader of the record expects.
@pytest.mark.parametrize("line", [NESTED, b"\xff", b"{"], ids=["nested", "not UTF-8", "truncated"])
def test_a_complete_line_that_cannot_be_decoded_is_named(tmp_path, line):
    (tmp_path / "proxies-0.jsonl").write_bytes(line + b"\n")
    with pytest.raises(MalformedJsonError, match="proxies-0.jsonl:1"):
        read_evidence(tmp_path, Evidence(fleet()))


@pytest.mark.parametrize("line", [NESTED, b"{"], ids=["nested", "truncated"])
def test_a_last_line_without_its_end_is_skipped(tmp_path, line):
    (tmp_path / "proxies-0.jsonl").write_bytes(line)
    read_evidence(tmp_path, Evidence(fleet()))
