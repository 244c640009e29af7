"""What all fronts share: who carries updates to proxies, and what every front logs of them.

A front only carries: what a proxy should hold and what may be sent is decided by the tables.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from quillstep.config.controller import ControllerSettings
from quillstep.routing import Nack, Tables
from quillstep.routing.proxy_state import NACK_BACKOFF_FACTORS
from quillstep.xds import resources
from quillstep.xds.load_stats import Hooks

MAX_LOGGED_EJECTIONS = 10000  # overdue ejections that are remembered as logged
OVERDUE_GRACE_SHARE = 0.5  # of the drain grace, after which an ejection's acknowledgement is overdue
MAX_REASON = 500  # characters of a proxy's reason that are logged


class FrontContext(NamedTuple):
    """What every front needs of its controller."""

    settings: ControllerSettings
    tables: Tables  # what each proxy should hold
    hooks: Hooks
    epoch: str  # the controller's incarnation, in nonces and versions
    ordered_ms: Callable[[int], float]  # when a revision of the tables was made
    tap: Callable[..., None]  # records what passes between controller and proxies


class ProxyFront:
    """The proxies of one front; belongs to the deciding thread."""

    def __init__(self, context: FrontContext, *, logger: str, maintenance_interval_ms: float) -> None:
        """A front without proxies.

        Args:
            context: The controller's side.
            logger: Name of the front's logger.
            maintenance_interval_ms: Time between two checks for proxies that have stopped answering.
        """
        self.settings, self.tables, self.hooks, self.epoch, self.ordered_ms, self.tap = context
        settings = context.settings
        self.encoder = resources.Encoder(settings.fleet.classes, settings.fleet.proxies.attempt_timeout_factor)
        self.nodes: dict[int, str] = {}  # names of proxies
        self.retry_ms: dict[int, float] = {}  # when to try again to send to a proxy
        self.maintenance_interval_ms = maintenance_interval_ms
        self.maintained_ms = 0.0
        self.logged_ejections: set[tuple[str, int]] = set()
        self.log = structlog.get_logger(logger)

    def next_ms(self) -> float:
        """When there is something to do without any event."""
        retry_ms = min(self.retry_ms.values(), default=float("inf"))
        return min(retry_ms, self.maintained_ms + self.maintenance_interval_ms)

    def pump(self, now_ms: float, changed: set[int]) -> None:
        """Sends what may be sent to every proxy of this front that has changes, or is to be tried again."""
        for proxy, retry_ms in list(self.retry_ms.items()):
            if retry_ms <= now_ms:
                del self.retry_ms[proxy]
                changed.add(proxy)
        for proxy in sorted(changed):
            self._send_changes(proxy, now_ms)
        if now_ms - self.maintained_ms > self.maintenance_interval_ms:
            self.maintained_ms = now_ms
            self._maintain(now_ms)

    def _send_changes(self, proxy: int, now_ms: float) -> None:
        """Sends what may be sent to one proxy, which may be another front's."""
        raise NotImplementedError

    def _maintain(self, now_ms: float) -> None:
        """Ends proxies that have stopped answering."""
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
        """Logs what a proxy rejected, why, and what comes of it."""
        names = [resources.name(change.key) for change in nack.changes]
        self.log.warning(
            "version rejected",
            proxy=self.nodes[proxy],
            table=names[0] + (f" and {len(names) - 1} more" if len(names) > 1 else ""),
            version=version,
            reason=nack.reason[:MAX_REASON],
            next=_next_step(nack),
        )

    def _log_overdue_ejections(self, proxy: int, now_ms: float) -> None:
        """Logs once of each ejection that half the grace has passed without its acknowledgement: it is not done."""
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
    """What comes of a rejected update, in words."""
    if not nack.is_isolated:
        return "tried in parts"
    is_retried = any(change.key[0] in NACK_BACKOFF_FACTORS and change.resource for change in nack.changes)
    return "tried again after a back-off" if is_retried else "set apart until it changes"
