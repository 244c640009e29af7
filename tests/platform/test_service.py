"""A controller process with stand-in peers: tables, drains, reloads, and valid and invalid connections."""

import signal
import threading
import time

import pytest
from platform_peers import (
    INVALID_CONFIGURATIONS,
    WAIT_S,
    ZONES,
    Client,
    Discovery,
    Endpoint,
    Process,
    Proxy,
    frame,
    running_controller,
    settings,
    upstream_stats,
    wait_until,
    write_configuration,
)

from quillstep.platform.configuration import controller_config, read_configuration
from quillstep.platform.service import PlatformController


@pytest.fixture
def deployment(tmp_path):
    """A running controller process with discovery and six endpoints."""
    with running_controller(tmp_path, 6) as controller:
        yield controller


def connect_proxies(controller, numbers=range(4)):
    proxies = [Proxy(controller.address, number, "ab"[number % 2]) for number in numbers]
    for proxy in proxies:
        wait_until(lambda proxy=proxy: len(proxy.tables["issue"]) == 6, f"the table of proxy {proxy.number}")
    return proxies


def test_proxies_receive_tables_and_drains_and_a_new_stream_replaces_the_old_one(deployment):
    proxies = connect_proxies(deployment)
    drained = deployment.endpoints["s1"].entry("draining")
    deployment.discovery.publish(drained)
    for proxy in proxies:
        wait_until(lambda proxy=proxy: "s1" not in proxy.usable_endpoints("issue"), "the drain at every proxy")
    reconnected = Proxy(deployment.address, 0, "a", is_fresh=False, ejected=["s1"])
    assert proxies[0].is_closed_within()
    wait_until(lambda: len(reconnected.usable_endpoints("issue")) == 5, "the table on the new stream")
    proxies[0].close()
    deployment.discovery.publish(deployment.endpoints["s2"].entry("draining"))
    wait_until(lambda: "s2" not in reconnected.usable_endpoints("issue"), "updates after the old stream closed")


UNREGISTERED_CONNECTIONS = {
    "HTTP": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "invalid length": b"\xff\xff\xff\xff{",
    "update": frame({"t": "assign", "eject": ["s0"]}),
    "report before registration": frame(upstream_stats("a", "s0", 5, 0)),
    "unknown proxy": frame({"t": "attach", "id": 4, "site": "a", "rps": 1.0, "new": True}),
    "unknown zone": frame({"t": "telemetry", "site": "c"}),
    "malformed JSON": frame(b"{nonsense"),
    "incomplete message": frame({"t": "telemetry", "site": "a"})[:9],
    "no data": b"",
    "heartbeat only": frame({"t": "hb"}),
}


@pytest.mark.parametrize("what", sorted(UNREGISTERED_CONNECTIONS))
def test_unregistered_connections_are_closed_without_affecting_proxies(deployment, what):
    (proxy,) = connect_proxies(deployment, [1])
    unregistered = Client(deployment.address)
    unregistered.sock.sendall(UNREGISTERED_CONNECTIONS[what])
    assert unregistered.is_closed_within(WAIT_S)
    deployment.discovery.publish(deployment.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable_endpoints(), "the drain despite the unregistered connection")
    assert deployment.process.poll() is None


def test_proxies_can_register_while_hundreds_of_connections_are_idle(deployment):
    unregistered = [Client(deployment.address) for _ in range(300)]
    proxies = connect_proxies(deployment)
    client = Client(deployment.address)
    client.send({"t": "hb"})
    assert client.received.get(timeout=WAIT_S) == {"t": "hb_ok"}
    assert all(client.is_closed_within() for client in unregistered)
    status = deployment.wait_for_log("status")
    assert status["descriptors"] <= 256 and status["proxies"] == len(proxies)


def test_invalid_messages_are_dropped_and_a_malformed_stream_is_closed(deployment):
    collector = Client(deployment.address)
    collector.send({"t": "telemetry", "site": "a"})
    (proxy,) = connect_proxies(deployment, [0])
    valid = upstream_stats("a", "s0", 5, 0)
    for malformed in ({**valid, "fail": 9}, {**valid, "target": 5}, {"t": "assign"}, {"t": None}, {"count": 3}):
        collector.send(malformed)
    proxy.send({"t": "done", "id": 0, "seq": "x"}, {"t": "done", "id": 0, "seq": 60000, "ms": 1.0}, {"t": "attach"})
    proxy.send({"t": "client_stats", "id": 1, "lane": "lookup", "count": 1, "fail": 0, "over": 1000.0})
    deployment.discovery.publish(deployment.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable_endpoints(), "updates after malformed messages")
    collector.send(valid)
    status = deployment.wait_for_log("status")
    assert sum(status["dropped"].values()) == 9 and status["proxies"] == 1 and status["connections"] == 2
    proxy.sock.sendall(frame(b"malformed JSON"))
    assert proxy.is_closed_within() and deployment.wait_for_log("proxy disconnected")["proxy"] == 0
    collector.send({"t": "hb"})
    assert collector.received.get(timeout=WAIT_S) == {"t": "hb_ok"}


def test_a_reload_changes_the_watch_and_an_invalid_file_keeps_the_configuration(deployment):
    (proxy,) = connect_proxies(deployment, [0])
    deployment.path.write_text("{malformed")
    deployment.process.send_signal(signal.SIGHUP)
    assert "JSON was expected" in deployment.wait_for_log("configuration rejected")["reason"]
    deployment.discovery.publish(deployment.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable_endpoints(), "the drain over the current watch")
    others = [Discovery(deployment.discovery.members) for _ in range(2)]
    try:
        for other in others:
            write_configuration(deployment.path.parent, other.address, deployment.discovery.members)
            deployment.process.send_signal(signal.SIGHUP)
            wait_until(lambda other=other: other.watch_requests, "a connection at the new address")
            assert other.watch_requests[0].endswith("since=2")
        others[1].revision = 2
        others[1].publish(deployment.endpoints["s3"].entry("draining"))
        wait_until(lambda: "s3" not in proxy.usable_endpoints(), "an update from the new address")
        deployment.process.send_signal(signal.SIGHUP)
        deployment.process.send_signal(signal.SIGTERM)
        started_s = time.monotonic()
        assert (
            deployment.process.wait(WAIT_S) == 0
            and proxy.is_closed_within()
            and time.monotonic() - started_s < WAIT_S / 4
        )
    finally:
        for other in others:
            other.close()


def test_the_planner_observes_the_attempts_load_and_health_of_the_endpoints(tmp_path):
    """Compares the planner's observations with the endpoints' own counts while one endpoint fails."""
    endpoints = {f"s{index}": Endpoint(f"s{index}", "ab"[index % 2], util=0.2 + 0.1 * index) for index in range(6)}
    members = [endpoint.entry() for endpoint in endpoints.values()]
    discovery = Discovery(members)
    path = write_configuration(tmp_path, discovery.address, members)
    configuration = read_configuration({"BALANCER_CONFIG": str(path)})
    controller = PlatformController(configuration, controller_config(configuration, str(path)))
    planner, reported = controller.intervals.planner, {}
    original_run_interval = planner.run_interval

    def run_interval(observations, output):
        for stats in observations.upstream_stats:
            counts = reported.setdefault(stats.endpoint, [0, 0])
            counts[0] += stats.attempts
            counts[1] += stats.failures
        original_run_interval(observations, output)

    planner.run_interval = run_interval
    thread = threading.Thread(target=controller.run, args=(None,), daemon=True)
    thread.start()
    controller.address = controller.connections.poller.address
    proxies = connect_proxies(controller)
    collectors = {}
    for zone in ZONES:
        collectors[zone] = Client(controller.address)
        collectors[zone].send({"t": "telemetry", "site": zone})
    endpoints["s2"].is_up = False
    try:
        for _ in range(60):
            for proxy in proxies:
                for name, (attempts, failures) in proxy.attempt_all(endpoints, 12).items():
                    collectors[proxy.zone].send(upstream_stats(proxy.zone, name, attempts, failures))
                proxy.report(12)
            if planner.fleet.endpoints["s2"].is_outlier:
                break
            time.sleep(0.1)
        assert planner.fleet.endpoints["s2"].is_outlier
        wait_until(
            lambda: all("s2" not in proxy.usable_endpoints() for proxy in proxies), "the ejection at every proxy"
        )
        counted = {name: [each.attempts, each.failures] for name, each in endpoints.items()}
        wait_until(lambda: reported == counted, "all attempts to be reported")
        assert not any(planner.fleet.endpoints[name].is_outlier for name in endpoints.keys() - {"s2"})
        for name in endpoints.keys() - {"s2"}:
            util = endpoints[name].util
            wait_until(
                lambda name=name, util=util: abs(planner.fleet.endpoints[name].utilization - util) < 0.05,
                f"the utilization of {name}",
            )
    finally:
        controller.stop_requested = True
        thread.join(WAIT_S)
        discovery.close()
        for endpoint in endpoints.values():
            endpoint.close()


def test_a_zone_name_may_contain_a_comma(tmp_path):
    endpoint = Endpoint("s0", "port, north")
    discovery = Discovery([endpoint.entry()])
    other_zones = {**settings(), "zones": ["port, north", "b"]}
    controller = Process(write_configuration(tmp_path, discovery.address, discovery.members, settings=other_zones))
    try:
        proxy = Proxy(controller.wait_for_log("controller ready")["address"], 0, "port, north")
        wait_until(lambda: proxy.usable_endpoints("issue") == ["s0"], "the table")
    finally:
        controller.stop()
        discovery.close()
        endpoint.close()


@pytest.fixture
def running(tmp_path):
    with running_controller(tmp_path, 3) as controller:
        yield controller


@pytest.mark.parametrize("what", ["port out of range", "excessive nesting", "duplicate class name"])
def test_a_reload_of_an_invalid_file_keeps_the_current_configuration(running, what):
    proxy = Proxy(running.address, 0)
    wait_until(lambda: len(proxy.usable_endpoints()) == 3, "the table")
    write_configuration(running.path.parent, **{
        "discovery": running.discovery.address, "members": running.discovery.members, **INVALID_CONFIGURATIONS[what][0],
    })  # fmt: skip
    running.process.send_signal(signal.SIGHUP)
    assert INVALID_CONFIGURATIONS[what][1] in running.wait_for_log("configuration rejected")["reason"]
    running.discovery.publish(running.endpoints["s0"].entry("draining"))
    wait_until(lambda: "s0" not in proxy.usable_endpoints(), "the drain over the unchanged watch")


def test_a_drain_sent_by_a_new_discovery_address_as_a_change_reaches_the_proxies(running):
    proxy = Proxy(running.address, 0)
    wait_until(lambda: len(proxy.usable_endpoints()) == 3, "the table")
    other = Discovery(running.discovery.members)
    other.publish(running.endpoints["s1"].entry("draining"))  # the watch receives only this change, no complete list
    try:
        write_configuration(running.path.parent, other.address, running.discovery.members)
        running.process.send_signal(signal.SIGHUP)
        wait_until(lambda: "s1" not in proxy.usable_endpoints(), "the drain")
        assert other.watch_requests[0].endswith("since=1")
    finally:
        other.close()
