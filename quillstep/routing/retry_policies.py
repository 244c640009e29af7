"""Which retry policies may still be in effect at which proxies.

A policy is 0 (never retry), 1 (only if an attempt was certainly not executed), 2 or 3 (after any failure, once or
twice).  A higher policy counts as in effect from the moment it is sent; a lower one only once its proxy has
acknowledged it and all requests that began before have ended, because a proxy finishes a request with the routes that
the request began with.  A proxy that connects with unknown routes counts as having the highest policy until it holds
routes of this controller.  Performs no I/O and reads no clock; times are milliseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_RETRY_POLICY = 3
IDEMPOTENT_RETRY_POLICY = 2
ONLY_IF_NOT_EXECUTED = 1  # allowed for every class
MAX_RETRY_POLICIES = {"safe": MAX_RETRY_POLICY, "keyed": IDEMPOTENT_RETRY_POLICY}  # keyed by a class's semantics


class PolicyExcess(NamedTuple):
    """A class with a higher policy than it allows: the highest, and the proxies, including disconnected ones."""

    class_index: int
    retry_policy: int
    proxies: list[int]


class PolicyExcessChange(NamedTuple):
    """A change of a class's excess: proxies newly exceeding, proxies no longer exceeding, and how many exceed now."""

    class_index: int
    retry_policy: int
    exceeding: list[int]
    compliant: list[int]
    count_exceeding: int


class ExpiringPolicy(NamedTuple):
    """A replaced policy, and the latest end of requests that began with it."""

    retry_policy: int
    until_ms: float


@dataclass(slots=True)
class ProxyRetryPolicies:
    """One proxy's policies by class: acknowledged, in flight (by nonce), and expiring."""

    acknowledged: dict[int, int] = field(default_factory=dict)
    in_flight: dict[str, dict[int, int]] = field(default_factory=dict)
    expiring: dict[int, list[ExpiringPolicy]] = field(default_factory=dict)
    is_known: bool = True  # whether the proxy holds routes of this controller


class RetryPolicies:
    """The retry policies of all proxies.

    Attributes:
        allowed: The highest policy that each class allows.
        deadline_ms: The longest duration of a request of each class.
    """

    def __init__(self, allowed: list[int], deadline_ms: list[float]) -> None:
        self.allowed, self.deadline_ms = allowed, deadline_ms
        self.proxies: dict[int, ProxyRetryPolicies] = {}
        self.logged_excess: dict[int, set[int]] = {}  # exceeding proxies at the last call of `changes`, by class
        self.has_changed = False  # whether anything was recorded since the last call of `changes`
        self.next_expiry_ms = float("inf")  # expiry of the next replaced policy

    def add_proxy(self, proxy: int, fresh: bool, default_policy: int) -> None:
        """Adds a proxy; `fresh`: it holds no routes and follows the default policy.

        A proxy that reconnects finishes the requests that it had begun.  Its known policies are therefore kept, and the
        highest policy is added, which another controller may have sent to it.
        """
        policies = ProxyRetryPolicies() if fresh else self.proxies.get(proxy, ProxyRetryPolicies())
        policies.is_known = fresh
        policy = default_policy if fresh else MAX_RETRY_POLICY
        policies.acknowledged = dict.fromkeys(range(len(self.allowed)), policy)
        self.proxies[proxy] = policies
        self.has_changed = True

    def is_unknown(self, proxy: int) -> bool:
        """Whether a proxy connected with routes whose policies are not known yet."""
        policies = self.proxies.get(proxy)
        return policies is not None and not policies.is_known

    def record_reported(self, proxy: int, policies: Mapping[int, int], now_ms: float) -> None:
        """Records the policies of the routes that a proxy connected with, once they have been identified."""
        if self.is_unknown(proxy):
            self.proxies[proxy].in_flight[""] = dict(policies)
            self.record_ack(proxy, "", now_ms)

    def record_sent(self, proxy: int, nonce: str, policies: Mapping[int, int]) -> None:
        """Records that a proxy was sent routes with these policies."""
        if proxy in self.proxies:
            self.proxies[proxy].in_flight[nonce] = dict(policies)
            self.has_changed = True

    def record_ack(self, proxy: int, nonce: str, now_ms: float) -> None:
        """Records that a proxy uses these routes for new requests from now on.

        Routes that were sent earlier and not acknowledged may have been in effect for a while.
        """
        policies = self.proxies.get(proxy)
        if policies is None or nonce not in policies.in_flight:
            return
        sent = list(policies.in_flight)
        superseded = [policies.in_flight.pop(earlier) for earlier in sent[: sent.index(nonce)]]
        for index, policy in policies.in_flight.pop(nonce).items():
            before = max([policies.acknowledged.get(index, 0), *(each.get(index, 0) for each in superseded)])
            if before > policy:
                expiring = ExpiringPolicy(before, now_ms + self.deadline_ms[index])
                policies.expiring.setdefault(index, []).append(expiring)
            policies.acknowledged[index] = policy
        policies.is_known = self.has_changed = True

    def record_nack(self, proxy: int, nonce: str) -> None:
        """Records that a proxy rejected routes and keeps its previous ones."""
        if proxy in self.proxies:
            self.proxies[proxy].in_flight.pop(nonce, None)

    def highest_in_effect(self, proxy: int, class_index: int, now_ms: float) -> int:
        """Returns the highest policy that a request of this class may follow at this proxy now."""
        policies = self.proxies[proxy]
        expiring = [each for each in policies.expiring.get(class_index, ()) if each.until_ms > now_ms]
        policies.expiring[class_index] = expiring
        in_flight = [each.get(class_index, 0) for each in policies.in_flight.values()]
        return max([policies.acknowledged.get(class_index, 0), *in_flight, *(each.retry_policy for each in expiring)])

    def excesses(self, now_ms: float) -> list[PolicyExcess]:
        """Returns the classes that may still be retried under a higher policy than they allow."""
        excesses = []
        for class_index, allowed in enumerate(self.allowed):
            policies = {proxy: self.highest_in_effect(proxy, class_index, now_ms) for proxy in self.proxies}
            exceeding = [proxy for proxy, policy in policies.items() if policy > allowed]
            if exceeding:
                highest = max(policies[proxy] for proxy in exceeding)
                excesses.append(PolicyExcess(class_index, highest, sorted(exceeding)))
        return excesses

    def changes(self, now_ms: float) -> list[PolicyExcessChange]:
        """Returns the changes of the excesses since the last call, by class."""
        if not self.has_changed and now_ms < self.next_expiry_ms:
            return []
        self.has_changed = False
        excesses = {excess.class_index: excess for excess in self.excesses(now_ms)}
        self.next_expiry_ms = self._first_expiry_ms(now_ms)
        changes = []
        for class_index in range(len(self.allowed)):
            excess = excesses.get(class_index, PolicyExcess(class_index, 0, []))
            now, before = set(excess.proxies), self.logged_excess.get(class_index, set())
            if now != before:
                self.logged_excess[class_index] = now
                exceeding, compliant = sorted(now - before), sorted(before - now)
                change = PolicyExcessChange(class_index, excess.retry_policy, exceeding, compliant, len(now))
                changes.append(change)
        return changes

    def _first_expiry_ms(self, now_ms: float) -> float:
        """Returns when the next replaced policy expires; infinity if there is none."""
        first_ms = float("inf")
        for policies in self.proxies.values():
            for expiring in policies.expiring.values():
                for each in expiring:
                    if each.until_ms > now_ms:
                        first_ms = min(first_ms, each.until_ms)
        return first_ms


def max_retry_policy(semantics: str) -> int:
    """Returns the highest policy that a class of these semantics allows, whatever the planner sets.

    A safe class allows any policy, an idempotent one a single retry within its idempotency window, all others only a
    retry of an attempt that was certainly not executed.
    """
    return MAX_RETRY_POLICIES.get(semantics, ONLY_IF_NOT_EXECUTED)
