"""The what-if replay: plays a recorded scenario in virtual time, with the recorded settings or changed ones.

Controllers run their real decision code (`replayed_controller`); proxies and endpoints are models (`proxy_model`,
`endpoint_model`).
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec
import xxhash

from quillstep.config.loading import changed
from quillstep.invariants import Evidence, Violation, check_invariants
from quillstep.replay.endpoint_model import ModelledEndpoint
from quillstep.replay.inference import InferredEndpoints, attempts_by_endpoint, held_out_error, infer_endpoints
from quillstep.replay.modelled_scenario import ModelledScenario, Row, seeded
from quillstep.replay.proxy_model import ModelledProxy
from quillstep.replay.recorded_scenario import ControllerIncarnation, RecordedScenario
from quillstep.replay.replayed_controller import ReplayedController
from quillstep.testbed.scenarios.service_quality import service_quality

SETTLING_MS = 100.0  # Virtual time played after the end of the last recorded request.


@dataclass(slots=True)
class ReplayOutcome:
    """The result of one replay.

    Attributes:
        quality: Service quality, as `service_quality` returns it.
        violations: Violations of the invariants.
        requests: All requests with their outcomes.
        digest: A hash over all requests.
        intervals: The number of control intervals of all controllers.
    """

    quality: dict[str, Any]
    violations: list[Violation]
    requests: list[Row]
    digest: str
    intervals: int

    @property
    def service(self) -> float:
        """The share of the offered priority weight that was earned."""
        return float(self.quality["service"])


class InferenceResult(NamedTuple):
    """Inferred endpoints, and the errors of `held_out_error`."""

    endpoints: InferredEndpoints
    held_out: dict[str, float]


def infer_from(recorded: RecordedScenario) -> InferenceResult:
    """Infers speeds and conditions of endpoints from the attempts of a scenario."""
    classes = {class_.name: class_ for class_ in recorded.incarnations[0].settings.fleet.classes}
    addresses = {f"{row['host']}:{row['port']}": number for number, row in recorded.endpoints.items()}
    attempts = attempts_by_endpoint(recorded.requests, classes, addresses)
    cores = {number: row["cores"] for number, row in recorded.endpoints.items()}
    return InferenceResult(infer_endpoints(attempts, cores), held_out_error(attempts, cores))


def play(recorded: RecordedScenario, inferred: InferredEndpoints, change: dict[str, Any], seed: int) -> ReplayOutcome:
    """Plays a scenario in virtual time.

    Args:
        recorded: The recorded scenario.
        inferred: Speeds and conditions of its endpoints.
        change: Values by path in the controllers' settings; empty for the recorded settings.
        seed: The seed of all random numbers.

    Raises:
        ConfigError: The change is invalid.
    """
    settings = [changed(incarnation.settings, change) for incarnation in recorded.incarnations]
    begin_ms = min(incarnation.first_ms for incarnation in recorded.incarnations)
    scenario = ModelledScenario(settings[0].fleet, begin_ms)
    for number, row in recorded.endpoints.items():
        draw = seeded(seed, "endpoint", number).random
        scenario.add_endpoint(ModelledEndpoint(number, row, scenario.fleet, inferred, draw))
    proxies = {
        name: ModelledProxy(name, row, scenario, seeded(seed, name).random) for name, row in recorded.proxies.items()
    }
    controllers = [
        ReplayedController(scenario, proxies, incarnation, each, seed)
        for incarnation, each in zip(recorded.incarnations, settings, strict=True)
    ]
    for request in recorded.requests:
        if request["proxy"] in proxies:
            scenario.clock.call_at(request["at"], proxies[request["proxy"]].receive_request, request)
    scenario.clock.run_until(recorded.end_ms + SETTLING_MS)
    return ReplayOutcome(
        service_quality(scenario.fleet, scenario.requests),
        check_invariants(collect_evidence(recorded, scenario, proxies, controllers)),
        scenario.requests,
        xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(scenario.requests)),
        sum(controller.core.completed_intervals for controller in controllers),
    )


def collect_evidence(
    recorded: RecordedScenario,
    scenario: ModelledScenario,
    proxies: dict[str, ModelledProxy],
    controllers: list[ReplayedController],
) -> Evidence:
    """Returns the evidence that the invariants are checked against."""
    evidence = Evidence(
        scenario.fleet,
        endpoints_by_address={address: endpoint.number for address, endpoint in scenario.endpoints_by_address.items()},
        endpoint_zones={number: row["zone"] for number, row in recorded.endpoints.items()},
        endpoint_capacities={
            number: endpoint.speed * endpoint.cores for number, endpoint in scenario.endpoints.items()
        },
        proxy_zones={name: proxy.zone for name, proxy in proxies.items()},
    )
    evidence.requests = scenario.requests
    evidence.served_requests = _served_rows(scenario)
    starts: dict[tuple[float, int], None] = {}  # An ordered set.
    for controller in controllers:
        evidence.channel_rows += controller.sent_rows
        _add_discovery_updates(evidence, controller.incarnation, starts)
        _add_stream_changes(evidence, controller.incarnation)
    evidence.endpoint_starts = [{"at": at_ms, "endpoint": endpoint, "cold": True} for at_ms, endpoint in starts]
    return evidence.sort()


def _served_rows(scenario: ModelledScenario) -> list[Row]:
    return [
        {
            "what": "exchange", "at": served.at_ms, "endpoint": served.endpoint, "exchange": served.request,
            "class": served.request_class.name, "proxy": served.proxy, "work": served.request_class.work_ms,
            "effect": served.request_class.semantics == "unsafe", "outcome": "run",
        }
        for served in scenario.served_requests
    ]  # fmt: skip


def _add_discovery_updates(
    evidence: Evidence, incarnation: ControllerIncarnation, starts: dict[tuple[float, int], None]
) -> None:
    name = incarnation.settings.name
    for update in incarnation.discovery_updates:
        for entry in update.entries:
            evidence.discovery_updates.append({
                "at": update.at_ms, "pilot": name, "endpoint": entry.endpoint, "state": entry.state,
                "started": entry.started_ms,
            })  # fmt: skip
            if entry.started_ms:
                starts[entry.started_ms, entry.endpoint] = None
            evidence.endpoint_zones.setdefault(entry.endpoint, entry.zone)


def _add_stream_changes(evidence: Evidence, incarnation: ControllerIncarnation) -> None:
    """Adds opened and closed streams; all of them close at the end of the incarnation."""
    name = incarnation.settings.name
    changes = incarnation.stream_changes
    rows = [{"at": each.at_ms, "proxy": each.proxy, "up": each.is_open, "pilot": name} for each in changes]
    ends = [
        {"at": incarnation.last_ms, "proxy": proxy, "up": False, "pilot": name}
        for proxy in {change.proxy for change in changes}
    ]
    evidence.stream_changes += rows + ends
