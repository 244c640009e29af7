"""The xDS discovery client: ages of endpoints do not depend on wall clocks."""

import time

import pytest
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2
from envoy.service.discovery.v3 import discovery_pb2

from quillstep.controller.discovery_client import METADATA_NAMESPACE, DiscoveryClient
from quillstep.controller.start_times import StartTimes
from quillstep.net.clock import now_ms

HOUR_MS = 3.6e6


def response(number, started_unix_ms):
    endpoint = endpoint_components_pb2.LbEndpoint(health_status=health_check_pb2.HEALTHY)
    endpoint.endpoint.address.socket_address.address = "127.0.0.1"
    fields = endpoint.metadata.filter_metadata[METADATA_NAMESPACE].fields
    fields["id"].number_value, fields["zone"].string_value = number, "a"
    if started_unix_ms:
        fields["started_ms"].number_value = started_unix_ms
    resource = discovery_pb2.Resource(name=f"e{number}", version="1")
    resource.resource.Pack(endpoint)
    return discovery_pb2.DeltaDiscoveryResponse(resources=[resource])


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, -5000.0])
def test_an_endpoint_that_has_just_started_is_new_whatever_its_listed_start(monkeypatch, step_ms):
    monkeypatch.setattr(DiscoveryClient, "_run", lambda self: None)
    published = []
    clock_offset_ms = now_ms() - time.time() * 1000.0
    client = DiscoveryClient("127.0.0.1:1", "c", "a", StartTimes(clock_offset_ms, 1000.0), published.append)
    client._handle_response(response(1, 0))
    client._handle_response(response(2, time.time() * 1000.0 + step_ms))
    client._handle_response(response(1, time.time() * 1000.0 + step_ms))
    long_ago, first_seen, restarted = [event.entries[0].started_ms for event in published]
    assert long_ago == 0.0
    assert all(0.0 <= now_ms() - started_ms < 1000.0 for started_ms in (first_seen, restarted))
