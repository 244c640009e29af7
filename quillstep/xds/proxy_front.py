"""The base class of fronts, which send updates to proxies, with the logging common to all of them.

A front only transports updates: the tables decide what a proxy should hold and what may be sent.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.routing import Nack, Tables
from quillstep.routing.proxy_state import NACK_BACKOFF_FACTORS
from quillstep.xds import resources
from quillstep.xds.load_stats import Hooks

MAX_LOGGED_EJECTIONS = 10000  # size limit of the set that prevents an overdue ejection from being logged twice
OVERDUE_GRACE_SHARE = 0.5  # an unacknowledged ejection is overdue after this share of the drain grace
MAX_REASON_CHARS = 500  # a proxy's rejection reason is cut to this length in the log


class FrontContext(NamedTuple):
    """The parts of a controller that every front uses.

    Attributes:
        settings: The controller's settings.
        tables: The desired state of each proxy.
        hooks: The controller's callbacks.
        epoch: The controller's incarnation, part of nonces and versions.
        revision_time_ms: Returns when a revision of the tables was decided.
        tap: Records joins, updates and acknowledgements in the socket record.
    """

    settings: ControllerSettings
    tables: Tables
    hooks: Hooks
    epoch: str
    revision_time_ms: Callable[[int], float]
    tap: Callable[..., None]


class ProxyFront:
    """The proxies of one front.  All methods run in the decision thread."""

    def __init__(self, context: FrontContext, *, logger: str, maintenance_interval_ms: float) -> None:
        """Initializes a front without proxies.

        Args:
            context: The controller's side.
            logger: Name of the front's logger.
            maintenance_interval_ms: Time between two checks for proxies that no longer respond.
        """
        self.settings, self.tables, self.hooks, self.epoch, self.revision_time_ms, self.tap = context
        settings = context.settings
        self.encoder = resources.Encoder(settings.fleet.classes, settings.fleet.proxies.attempt_timeout_factor)
        self.nodes: dict[int, str] = {}  # node ids by proxy number
        self.retry_ms: dict[int, float] = {}  # time of the next attempt to send, by proxy number
        self.maintenance_interval_ms = maintenance_interval_ms
        self.last_maintenance_ms = 0.0
        self.logged_ejections: set[tuple[str, int]] = set()
        self.log = structlog.get_logger(logger)

    def next_ms(self) -> float:
        """Returns the time at which `pump` must run even without an event."""
        retry_ms = min(self.retry_ms.values(), default=float("inf"))
        return min(retry_ms, self.last_maintenance_ms + self.maintenance_interval_ms)

    def pump(self, now_ms: float, changed: set[int]) -> None:
        """Sends pending updates to each proxy of this front that has changes or whose retry time has come."""
        for proxy, retry_ms in list(self.retry_ms.items()):
            if retry_ms <= now_ms:
                del self.retry_ms[proxy]
                changed.add(proxy)
        for proxy in sorted(changed):
            self._send_changes(proxy, now_ms)
        if now_ms - self.last_maintenance_ms > self.maintenance_interval_ms:
            self.last_maintenance_ms = now_ms
            self._maintain(now_ms)

    def _send_changes(self, proxy: int, now_ms: float) -> None:
        """Sends pending updates to one proxy; does nothing if the proxy belongs to another front."""
        raise NotImplementedError

    def _maintain(self, now_ms: float) -> None:
        """Disconnects proxies that no longer respond."""
        raise NotImplementedError

    def _record_joined(self, proxy: int, node: str, zone: str, fresh: bool, held: int, now_ms: float) -> None:
        self.nodes[proxy] = node
        self.tap("join", now_ms, proxy=node, zone=zone, fresh=fresh)
        self.log.info("proxy joined", proxy=node, zone=zone, fresh=fresh, holds=held)

    def _record_left(self, proxy: int, reason: str, now_ms: float) -> None:
        self.tap("leave", now_ms, proxy=self.nodes[proxy], reason=reason)
        self.log.info("proxy left", proxy=self.nodes[proxy], reason=reason)
        self.hooks.remove_proxy(proxy)

    def _log_nack(self, proxy: int, nack: Nack, version: Any) -> None:
        """Logs what a proxy rejected, the reason, and how the controller proceeds."""
        names = [resources.name(change.key) for change in nack.changes]
        self.log.warning(
            "version rejected",
            proxy=self.nodes[proxy],
            table=names[0] + (f" and {len(names) - 1} more" if len(names) > 1 else ""),
            version=version,
            reason=nack.reason[:MAX_REASON_CHARS],
            next=_next_step(nack),
        )

    def _log_overdue_ejections(self, proxy: int, now_ms: float) -> None:
        """Logs once each ejection without acknowledgement after half of the drain grace: it may not be in effect."""
        grace_ms = OVERDUE_GRACE_SHARE * self.settings.fleet.rules.drain_grace_ms
        for overdue in self.tables.proxies[proxy].overdue_ejections(now_ms, grace_ms):
            if overdue in self.logged_ejections:
                continue
            if len(self.logged_ejections) > MAX_LOGGED_EJECTIONS:
                self.logged_ejections.clear()
            self.logged_ejections.add(overdue)
            version, endpoint = overdue
            self.log.warning("drain not acknowledged", proxy=self.nodes[proxy], endpoint=endpoint, version=version)


def _next_step(nack: Nack) -> str:
    """Describes how the controller proceeds after a rejected update."""
    if not nack.is_isolated:
        return "split and retried in parts"
    is_retried = any(change.key[0] in NACK_BACKOFF_FACTORS and change.resource for change in nack.changes)
    return "retried after a back-off" if is_retried else "not sent again until it changes"
