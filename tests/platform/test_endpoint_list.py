"""Parsing of discovery's endpoint lists, and rejection of invalid lists and entries."""

import pytest

from quillstep.platform.endpoint_list import MalformedListError, parse_endpoint_list


def member(name="s", **other):
    entry = {
        "id": name,
        "host_port": "10.1.0.18:3000",
        "locality": "a",
        "phase": "ready",
        "size": 1.5,
        "up_since_ms": 0,
    }
    return {**entry, **other}


def test_a_list_is_converted_to_typed_entries():
    document = {"revision": 4, "complete": True, "members": [member(), member("t", phase="draining", up_since_ms=5000)]}
    update = parse_endpoint_list(document)
    assert update.kind == "complete" and update.addresses["s"] == ("10.1.0.18", 3000)
    assert update.entries == [("s", "a", "in_service", 1.5, 0.0), ("t", "a", "terminating", 1.5, 5000)]


@pytest.mark.parametrize(
    "other", [{"id": 5}, {"host_port": "x"}, {"phase": "odd"}, {"size": "1"}, {"up_since_ms": -1}, {"locality": None}]
)
def test_an_invalid_entry_is_rejected_without_removing_its_endpoint(other):
    update = parse_endpoint_list({"revision": 4, "complete": True, "members": [member(), member("t", **other)]})
    assert update.kind == "partial" and [entry[0] for entry in update.entries] == ["s"] and len(update.rejected) == 1


@pytest.mark.parametrize(
    "document", [[], {"revision": "4", "complete": True, "members": []}, {"revision": 1, "complete": True}]
)
def test_a_malformed_list_is_rejected(document):
    with pytest.raises(MalformedListError):
        parse_endpoint_list(document)


@pytest.mark.parametrize(
    "other",
    [
        {"host_port": "10.1.0.1:99999"}, {"host_port": "a..b:80"}, {"host_port": "endpoint-1:80"},
        {"host_port": "10.1.0:80"}, {"host_port": "10.1.0.1:\u0661"}, {"host_port": "10.1.0.1:80\n"},
        {"host_port": "x" * 100000 + ":1"}, {"size": 10**400}, {"up_since_ms": 10**400}, {"size": True},
    ],
    ids=range(10),
)  # fmt: skip
def test_an_entry_with_an_unusable_address_or_number_is_rejected(other):
    document = {"revision": 1, "complete": True, "members": [member("s"), member("t", **other)]}
    update = parse_endpoint_list(document)
    assert list(update.addresses) == ["s"] and len(update.rejected) == 1


@pytest.mark.parametrize("revision", [10**5000, -1, True, 1.0], ids=["huge", "below 0", "bool", "float"])
def test_a_list_with_an_invalid_revision_is_rejected(revision):
    with pytest.raises(Exception, match="revision"):
        parse_endpoint_list({"revision": revision, "complete": True, "members": []})
