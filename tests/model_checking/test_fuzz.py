"""Tests of malformed and arbitrary data from peers."""

from envoy.service.discovery.v3 import discovery_pb2
from hypothesis import example, given, settings
from hypothesis import strategies as st

from quillstep.model_checking import fuzz
from quillstep.xds.resources import CDS, EDS, LEDS, RDS


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(fuzz.TARGETS)), st.binary(max_size=300))
@example("requests", b"\x04\x22\x02ab\x03\x2a\x01x")
@example("connection", b"\x00\x00\x00\x04\x00\x00\x00\x00\x00")
def test_arbitrary_bytes_from_a_peer_close_only_its_own_stream(target, data):
    fuzz.TARGETS[target](data)


def resource_names():
    return st.text(max_size=12) | st.sampled_from(["exchanges", "table-0", "*", "xdstp://x/*", "table-0/1", "e.1"])


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(
            lambda url, subscribe, unsubscribe, versions, nonce, code: discovery_pb2.DeltaDiscoveryRequest(
                type_url=url, resource_names_subscribe=subscribe, resource_names_unsubscribe=unsubscribe,
                initial_resource_versions=versions, response_nonce=nonce,
                error_detail={"code": code} if code else None,
            ).SerializeToString(),
            st.sampled_from([CDS, EDS, LEDS, RDS, "other"]), st.lists(resource_names(), max_size=3),
            st.lists(resource_names(), max_size=3), st.dictionaries(resource_names(), resource_names(), max_size=3),
            st.sampled_from(["", "e.1", "e.2", "e.3", "e.9"]), st.sampled_from([0, 0, 3]),
        ).filter(lambda data: len(data) < 256),
        max_size=12,
    )
)  # fmt: skip
def test_invalid_requests_that_parse_close_only_their_own_stream(requests):
    fuzz.requests(b"".join(bytes([len(each)]) + each for each in requests))
