"""Log lines from which an endpoint's state, age and weight can be told."""

from platform_peers import write_configuration
from platform_stepping import member
from structlog.testing import capture_logs

from quillstep.net.clock import now_ms
from quillstep.platform.configuration import controller_config, read_configuration
from quillstep.platform.endpoint_list import parse_endpoint_list
from quillstep.platform.service import PlatformController

LISTED = [member("s0"), member("s1"), member("s2", phase="draining")]


def make_controller(folder):
    path = write_configuration(folder, "127.0.0.1:1", LISTED)
    configuration = read_configuration({"BALANCER_CONFIG": str(path)})
    return PlatformController(configuration, controller_config(configuration, str(path)))


def lines_of(logs, event):
    return {line["endpoint"]: line for line in logs if line["event"] == event}


def test_the_log_tells_the_age_and_the_reasons_behind_the_weight_of_a_restarted_endpoint(tmp_path):
    with capture_logs() as logs:
        controller = make_controller(tmp_path)
        controller.handler.handle(controller.initial_update)
        controller.run_interval(now_ms())
        assert set(lines_of(logs, "endpoint listed")) == set(lines_of(logs, "endpoint weight")) == {"s2"}
        logs.clear()
        restarted = {"revision": 2, "complete": False, "members": [member("s1", up_since_ms=10**12)]}
        controller.handler.handle(parse_endpoint_list(restarted))
        controller.run_interval(now_ms() + 1500.0)
    controller.connections.poller.listener.close()
    listed, weight = lines_of(logs, "endpoint listed")["s1"], lines_of(logs, "endpoint weight")["s1"]
    assert listed["is_start"] and listed["state_before"] == listed["state"] == "in_service"
    assert listed["age_ms"] == 0.0 and 1500.0 <= weight["age_ms"] < 10_000.0
    assert weight["is_ejected"] and weight["is_in_service"] and 0.2 < weight["warm_up_fraction"] < 0.8
    assert {"q_value", "utilization", "fleet_utilization", "capacity_per_proxy", "admitted_fraction"} <= set(weight)


def test_endpoints_that_a_complete_list_no_longer_names_are_logged_and_forgotten(tmp_path):
    # Endpoints are replaced under new ids all the time: what is kept of those that are gone would grow without bound.
    with capture_logs() as logs:
        controller = make_controller(tmp_path)
        controller.handler.handle(controller.initial_update)
        logs.clear()
        for revision in range(2, 30):
            document = {"revision": revision, "complete": True, "members": [member(f"n{revision}"), member("s0")]}
            controller.handler.handle(parse_endpoint_list(document))
    controller.connections.poller.listener.close()
    lines = lines_of(logs, "endpoint listed")
    assert lines["s1"]["state"] is None and lines["s1"]["state_before"] == "in_service"
    assert set(controller.endpoint_log.listed) == {"s0", "n29"}
