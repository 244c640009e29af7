"""One incarnation of a controller in virtual time: the controller's own decision loop among modelled proxies.

Endpoint lists, streams and load reports arrive at their recorded times.  The k-th update to a proxy has the delay of
its k-th recorded update; once all are used, delays are drawn at random from the recorded ones.
"""

from collections import deque
from typing import Any

from quillstep.config.controller import ControllerSettings
from quillstep.controller.core import ControllerCore
from quillstep.controller.decision_loop import DecisionLoop
from quillstep.controller.events import EndpointListReceived
from quillstep.load_reports.validation import LoadReport
from quillstep.planner.messages import EndpointEntry, HealthCheckResult
from quillstep.replay.modelled_scenario import ModelledScenario, Row, seeded
from quillstep.replay.proxy_model import ModelledProxy
from quillstep.replay.recorded_scenario import ControllerIncarnation, DiscoveryUpdate, StreamChange
from quillstep.routing import Change
from quillstep.routing.in_flight import InFlightState
from quillstep.routing.resources import LISTENER

UPDATE_DELAY_SHARE = 0.5  # Share of an ack's delay until the update arrives; the rest is the ack's transit.
DEFAULT_DELAY_MS = 5.0  # Ack delay of a proxy without recorded delays.
MAX_IN_FLIGHT_UPDATES = 8  # Limit per proxy.
MIN_PASS_INTERVAL_MS = 0.05


class ModelledFront:
    """Delivers updates to modelled proxies and returns their acknowledgements."""

    def __init__(self, scenario: ModelledScenario, controller: "ReplayedController") -> None:
        self._scenario, self._controller = scenario, controller
        self._nonces = 0

    def pump(self, now_ms: float, changed: set[int]) -> None:
        """Sends the changes that are due to the proxies whose desired state has changed."""
        for number in sorted(changed):
            self._send(number, now_ms)

    def drop(self, proxy: int, reason: str, now_ms: float) -> None:
        """Does nothing: a replay has no other front."""

    def next_ms(self) -> float:
        """Returns infinity: the front has no timers."""
        return float("inf")

    def _send(self, number: int, now_ms: float) -> None:
        tables = self._controller.core.tables
        proxy = self._controller.joined.get(number)
        ledger = tables.proxies.get(number)
        if proxy is None or ledger is None or len(ledger.in_flight_updates) >= MAX_IN_FLIGHT_UPDATES:
            return
        changes = tables.changes_to_send(number, now_ms, lambda key: True)
        if not changes:
            return
        self._nonces += 1
        nonce = str(self._nonces)
        tables.record_sent(number, nonce, changes, now_ms)
        self._controller.record_sent(proxy, ledger.released_revision, len(changes), now_ms)
        delay_ms = self._controller.next_delay_ms(proxy.name)
        call_at = self._scenario.clock.call_at
        call_at(now_ms + UPDATE_DELAY_SHARE * delay_ms, self._apply, number, ledger, proxy, changes)
        call_at(now_ms + delay_ms, self._acknowledge, number, ledger, nonce)

    def _apply(self, number: int, ledger: InFlightState, proxy: ModelledProxy, changes: list[Change]) -> None:
        if self._controller.core.tables.proxies.get(number) is ledger:
            proxy.tables.apply(changes)

    def _acknowledge(self, number: int, ledger: InFlightState, nonce: str) -> None:
        tables = self._controller.core.tables
        if tables.proxies.get(number) is ledger:
            tables.record_ack(number, nonce, self._scenario.clock.now_ms)
            self._controller.schedule_pass_now()


class ReplayedController:
    """One incarnation of a controller in a replay.

    Args:
        scenario: The state shared with the other parts of the replay.
        proxies: All proxies by name.
        incarnation: The recorded incarnation.
        settings: The recorded settings or changed ones.
        seed: The seed for drawing delays.

    Attributes:
        joined: Joined proxies by number.
        sent_rows: Updates that were sent, as rows of the socket record.
    """

    def __init__(
        self,
        scenario: ModelledScenario,
        proxies: dict[str, ModelledProxy],
        incarnation: ControllerIncarnation,
        settings: ControllerSettings,
        seed: int,
    ) -> None:
        self.incarnation = incarnation
        self.joined: dict[int, ModelledProxy] = {}
        self.sent_rows: list[Row] = []
        self._scenario, self._proxies = scenario, proxies
        self._loop = DecisionLoop(
            without_outputs(settings), incarnation.epoch, lambda *args, **fields: None, lambda event: None
        )
        self.core: ControllerCore = self._loop.core
        self._front = ModelledFront(scenario, self)
        self._loop.fronts = [self._front]
        self._delays_ms = {name: deque(delays) for name, delays in incarnation.ack_delays_ms.items()}
        self._random = seeded(seed, incarnation.epoch)
        self._pass_due_ms = float("inf")
        self._has_ended = False
        self._schedule_recorded()

    def record_sent(self, proxy: ModelledProxy, revision: int, lines: int, now_ms: float) -> None:
        """Adds an update to `sent_rows`."""
        self.sent_rows.append({
            "what": "send", "at": now_ms, "proxy": proxy.name, "order": revision, "lines": lines, "bytes": 0,
            "ordered": self.core.revision_time_ms(revision), "nonce": f"{self.incarnation.epoch}.{revision}",
        })  # fmt: skip

    def next_delay_ms(self, proxy: str) -> float:
        """Returns a proxy's next recorded delay, or a random one of them once all are used."""
        if remaining := self._delays_ms.get(proxy):
            return remaining.popleft()
        recorded = self.incarnation.ack_delays_ms.get(proxy)
        return self._random.choice(recorded) if recorded else DEFAULT_DELAY_MS

    def schedule_pass_now(self) -> None:
        """Schedules a pass of the decision loop at the current virtual time."""
        self._schedule_pass(self._scenario.clock.now_ms)

    def _schedule_recorded(self) -> None:
        call_at, incarnation = self._scenario.clock.call_at, self.incarnation
        for update in incarnation.discovery_updates:
            call_at(update.at_ms, self._receive_endpoint_list, update)
        for change in incarnation.stream_changes:
            call_at(change.at_ms, self._join if change.is_open else self._leave, change)
        for at_ms, proxy, age_ms in incarnation.report_arrivals:
            call_at(at_ms - age_ms, self._send_report, proxy, at_ms)
        call_at(incarnation.last_ms, self._end)

    def _receive_endpoint_list(self, update: DiscoveryUpdate) -> None:
        self.core.now_ms = self._scenario.clock.now_ms
        self.core.handle_endpoint_list(EndpointListReceived(update.kind, update.entries, update.addresses))
        self.core.record_arrival(self._scenario.clock.now_ms)
        for entry in update.entries:
            self._set_endpoint_state(entry)
        self.schedule_pass_now()

    def _set_endpoint_state(self, entry: EndpointEntry) -> None:
        if endpoint := self._scenario.endpoints.get(entry.endpoint):
            endpoint.is_draining = entry.state == "terminating"
            endpoint.started_ms = max(endpoint.started_ms, entry.started_ms)

    def _join(self, change: StreamChange) -> None:
        proxy = self._proxies.get(change.proxy)
        if proxy is None:
            return
        self.core.now_ms = self._scenario.clock.now_ms
        number = self.core.add_proxy(
            proxy.name, proxy.zone, proxy.expected_requests_per_s, proxy.tables.versions, change.is_fresh, self._front
        )
        self.joined[number] = proxy
        self.core.tables.subscribe(number, [(LISTENER,)], False)
        self.schedule_pass_now()

    def _leave(self, change: StreamChange) -> None:
        number = self.core.joined_number(change.proxy)
        if number is not None:
            self.core.now_ms = self._scenario.clock.now_ms
            self.joined.pop(number, None)
            self.core.remove_proxy(number)
            self.schedule_pass_now()

    def _send_report(self, name: str, arrives_ms: float) -> None:
        """Sends a joined proxy's load report now; it arrives when the recorded one did."""
        proxy = self._proxies.get(name)
        if proxy and self.core.joined_number(name) is not None:
            report = proxy.take_load_report()
            self._scenario.clock.call_at(arrives_ms, self._receive_report, name, report, arrives_ms)

    def _receive_report(self, name: str, report: LoadReport, at_ms: float) -> None:
        number = self.core.joined_number(name)
        if number is not None and not self._has_ended:
            report.sent_ms = self.core.now_ms = at_ms
            self.core.add_load_report(number, report)
            self.schedule_pass_now()

    def _schedule_pass(self, at_ms: float) -> None:
        if at_ms < self._pass_due_ms and not self._has_ended:
            self._pass_due_ms = at_ms
            self._scenario.clock.call_at(at_ms, self._run_pass, at_ms)

    def _run_pass(self, due_ms: float) -> None:
        if self._has_ended or due_ms != self._pass_due_ms:
            return  # An earlier pass has replaced this one.
        self._pass_due_ms = float("inf")
        now_ms = self._scenario.clock.now_ms
        self._loop.run_pass(now_ms)
        for endpoint, _, _ in self.core.health_check_requests:
            self._check_health(endpoint, now_ms)
        self.core.health_check_requests = []
        self.core.reports.membership_changes, self.core.reports.requests = [], []
        self._schedule_pass(max(now_ms + MIN_PASS_INTERVAL_MS, self._loop.next_ms()))

    def _check_health(self, number: int, now_ms: float) -> None:
        if endpoint := self._scenario.endpoints.get(number):
            outcome = endpoint.check_health(now_ms, self.core.settings.fleet.probes.timeout_ms)
            result = HealthCheckResult(number, outcome.is_healthy, outcome.took_ms, outcome.load)
            self._scenario.clock.call_at(now_ms + outcome.took_ms, self._receive_health_check, result)

    def _receive_health_check(self, result: HealthCheckResult) -> None:
        if not self._has_ended:
            self.core.now_ms = self._scenario.clock.now_ms
            self.core.add_health_check(result)
            self.schedule_pass_now()

    def _end(self) -> None:
        self._has_ended = True


def without_outputs(settings: ControllerSettings) -> ControllerSettings:
    """Returns the settings without file output, recording and socket record."""
    fields: dict[str, Any] = {**settings.model_dump(), "files": {}, "capture": {}, "record": ""}
    return ControllerSettings.model_validate(fields)
