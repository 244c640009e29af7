"""Resource names that proxies send, by which the deciding thread finds keys."""

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from memory_fleet import MemoryController

from quillstep.routing.resources import FOREIGN
from quillstep.xds.delta import DeltaStream
from quillstep.xds.resources import CDS, COLLECTION, EDS, LEDS, key_of
from quillstep.xds.sotw import SotwStream

DIGITS = "1" * 5000  # more than `int` converts
LONG_NAMES = [
    (CDS, f"table-{DIGITS}"), (EDS, f"table-{DIGITS}"), (LEDS, f"{COLLECTION}table-0/{DIGITS}"),
    (LEDS, f"{COLLECTION}table-{DIGITS}/1"), (LEDS, f"{COLLECTION}withdrawn/{DIGITS}"),
]  # fmt: skip
long_names = pytest.mark.parametrize(("url", "name"), LONG_NAMES, ids=["cds", "eds", "weight", "table", "withdrawn"])


def new_stream(controller, kind):
    core = controller.core
    return kind(core.tables, controller.encoder, core.settings.limits, "e", core.revision_time_ms)


# Guards against ValueError on the deciding thread, which ends the controller, when a name has 5,000 digits.
@long_names
@pytest.mark.parametrize("field", ["resource_names_subscribe", "resource_names_unsubscribe"])
def test_a_delta_request_with_a_number_of_any_length_is_handled(url, name, field):
    controller = MemoryController()
    proxy, other = controller.join("p"), controller.join("q")
    controller.run(300.0)
    proxy.send(discovery_pb2.DeltaDiscoveryRequest(type_url=url, **{field: [name]}))
    controller.run(300.0)
    assert other.held(LEDS) and proxy.held(LEDS)


@long_names
def test_a_first_request_that_holds_a_number_of_any_length_is_handled(url, name):
    controller = MemoryController()
    stream = new_stream(controller, DeltaStream)
    request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, initial_resource_versions={name: "1"})
    request.node.id = "p"
    stream.proxy = controller.core.add_proxy("p", "a", 5.0, stream.initial_versions(request), False)
    stream.handle_request(request, controller.now)


@long_names
def test_a_state_of_the_world_request_with_a_number_of_any_length_is_handled(url, name):
    controller = MemoryController()
    stream = new_stream(controller, SotwStream)
    request = discovery_pb2.DiscoveryRequest(type_url=url, resource_names=[name])
    request.node.id = "p"
    stream.proxy = controller.core.add_proxy("p", "a", 5.0, stream.initial_versions(request), True)
    stream.handle_request(request, controller.now)
    controller.run(300.0)
    stream.pump(controller.now)


@pytest.mark.parametrize("number", ["01", "+1", "-1", " 1", "1_0", "²", "٣", "", "9" * 19])
def test_a_number_in_another_form_than_that_of_generated_names_is_foreign(number):
    assert key_of(CDS, f"table-{number}")[0] == FOREIGN


@pytest.mark.parametrize("number", [0, 7, 10**17])
def test_a_generated_name_has_the_key_of_its_number(number):
    assert key_of(CDS, f"table-{number}")[1] == number
