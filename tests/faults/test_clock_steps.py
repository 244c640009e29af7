"""Steps of wall clocks: this machine's, and those of the machines whose start times discovery lists."""

import time

import pytest
from platform_peers import (
    Client,
    Discovery,
    Endpoint,
    Process,
    Proxy,
    upstream_stats,
    wait_until,
    write_configuration,
)

HOUR_S = 3600.0
GRACE_S = 3.0  # in which proxies may still use the tables from before
WATCHED_S = 3.0  # of a warm-up of 18 s
MAX_COLD_SHARE = 0.6  # of a warm endpoint's weight; the endpoint has 0.2 to 0.5 of its capacity while it is watched


class Fleet:
    """Six endpoints, discovery, and two proxies that outlive the controllers."""

    def __init__(self, folder):
        self.folder = folder
        self.endpoints = {f"s{index}": Endpoint(f"s{index}", "ab"[index % 2]) for index in range(6)}
        self.discovery = Discovery([endpoint.entry() for endpoint in self.endpoints.values()])
        self.process, self.proxies = None, []

    def start_controller(self, **faults):
        path = write_configuration(self.folder, self.discovery.address, self.discovery.members)
        self.process = Process(path, **faults)
        self.address = self.process.wait_for_log("controller ready")["address"]

    def connect_proxies(self):
        held = self.proxies
        self.proxies = [Proxy(self.address, number, "ab"[number], is_fresh=not held) for number in range(2)]
        for proxy in self.proxies:
            wait_until(lambda proxy=proxy: len(proxy.tables["issue"]) >= 4, "the table")

    def restart_endpoint(self, name, listed_clock_step_s=0.0):
        up_since_ms = int((time.time() + listed_clock_step_s) * 1000.0)
        self.discovery.publish(self.endpoints[name].entry(up_since_ms=up_since_ms))

    def highest_share(self, name, seconds):
        """Return the highest weight of an endpoint, divided by the mean of the others, while proxies report traffic."""
        collectors = {zone: Client(self.address) for zone in "ab"}
        for zone, collector in collectors.items():
            collector.send({"t": "telemetry", "site": zone})
        highest, until_s = 0.0, time.monotonic() + seconds
        while time.monotonic() < until_s:
            for endpoint in self.endpoints.values():
                stats = upstream_stats(endpoint.zone, endpoint.name, 40, 0)
                collectors[endpoint.zone].send({**stats, "util": {"util": 0.4}})
            for proxy in self.proxies:
                proxy.report(60)
                highest = max(highest, share(proxy, name))
            time.sleep(0.1)
        for collector in collectors.values():
            collector.close()
        return highest

    def close(self):
        if self.process:
            self.process.stop()
        for peer in (*self.proxies, *self.endpoints.values(), self.discovery):
            peer.close()


def share(proxy, name):
    weights = dict(proxy.tables["issue"])
    usable = [endpoint for endpoint in weights if endpoint not in proxy.ejected]
    others = [weights[endpoint] for endpoint in usable if endpoint != name]
    return weights[name] * len(others) / sum(others) if name in usable and others else 0.0


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.mark.parametrize("step_s", [0.0, HOUR_S, -HOUR_S, 30.0])
def test_a_controller_restarted_on_a_stepped_clock_does_not_overload_a_cold_endpoint(fleet, step_s):
    # Incident 31b80e: the successor of a killed controller gave warming endpoints their full weight.
    fleet.start_controller()
    fleet.connect_proxies()
    fleet.process.stop()
    fleet.restart_endpoint("s0")
    fleet.start_controller(clock_steps=[[0.0, step_s]])
    fleet.connect_proxies()
    assert fleet.highest_share("s0", WATCHED_S) < MAX_COLD_SHARE


@pytest.mark.parametrize("step_s", [-HOUR_S, -30.0])
def test_a_successor_does_not_overload_an_endpoint_whose_start_was_listed_by_a_stepped_clock(fleet, step_s):
    # The successor has only the list to tell the endpoint's age.
    fleet.start_controller()
    fleet.connect_proxies()
    fleet.process.stop()
    fleet.restart_endpoint("s0", step_s)
    fleet.restart_endpoint("s1")
    fleet.start_controller()
    fleet.connect_proxies()
    assert fleet.highest_share("s0", WATCHED_S) < MAX_COLD_SHARE


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S, -3 * HOUR_S])
def test_a_start_that_is_listed_by_a_stepped_clock_is_seen(fleet, step_s):
    # The endpoint started hours ago; its machine's clock is stepped before it restarts.
    fleet.restart_endpoint("s0", -2 * HOUR_S)
    fleet.start_controller()
    fleet.connect_proxies()
    fleet.restart_endpoint("s0", step_s)
    time.sleep(GRACE_S)
    assert fleet.highest_share("s0", WATCHED_S) < MAX_COLD_SHARE
