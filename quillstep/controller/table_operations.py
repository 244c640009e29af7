"""Table changes that the planner does not make: recovery after a start, and operators' pins and rollbacks.

Also logs the changes that the rollout gate withholds.  No I/O; times are arguments, in milliseconds.
"""

from typing import Any, NamedTuple

from quillstep.config.controller import StoreSettings
from quillstep.routing.recovery import recovery_trust_ms
from quillstep.routing.versioned_tables import VersionedTables
from quillstep.routing.versions import TableVersion, version_from_row
from quillstep.store.events import OperatorRequest, StoreOpened

WITHHELD_LOG_INTERVAL_MS = 10000.0  # minimum time between log lines for the same withheld change
RELEASE = "release"


class CompletedCommand(NamedTuple):
    """An operator's command that has been executed: its key, its kind, and the versions that it pinned or released."""

    key: str
    kind: str
    versions: list[TableVersion]


class TableOperations:
    """Executes operators' commands on tables; the store removes those listed in `completed`."""

    def __init__(self, versioned_tables: VersionedTables, settings: StoreSettings, table_offset: int, log: Any) -> None:
        self.versioned_tables, self.settings = versioned_tables, settings
        self.table_offset, self.log = table_offset, log
        self.completed: list[CompletedCommand] = []
        self._withheld_logged_ms: dict[tuple[int, str, int, int], float] = {}

    def recover(self, event: StoreOpened, now_ms: float) -> None:
        """Restores the versions and pins of earlier incarnations."""
        for row in event.versions:
            self.versioned_tables.add_stored_version(version_from_row(row))
        self.versioned_tables.now_ms = now_ms
        settings = self.settings
        self.versioned_tables.recover(
            event.wall_ms,
            lambda age_ms: recovery_trust_ms(age_ms, settings.recovery_trust_ms, settings.max_recovery_age_ms),
        )
        for row, cause, operator in event.pins:
            self._pin(version_from_row(row)._replace(cause=cause, operator=operator))

    def execute(self, request: OperatorRequest) -> None:
        """Pins tables to versions, or releases them to the planner."""
        versions = []
        for table, row in request.targets:
            if request.kind == RELEASE:
                if self.versioned_tables.release(table):
                    self.log.info("table released", table=table - self.table_offset, operator=request.operator)
                versions.append(TableVersion("", table, "", request.kind, request.operator, 0.0, 0, {}, {}))
            elif row:
                version = version_from_row(row)._replace(cause=request.kind, operator=request.operator)
                self._pin(version)
                versions.append(version)
        self.completed.append(CompletedCommand(request.key, request.kind, versions))

    def _pin(self, version: TableVersion) -> None:
        self.versioned_tables.pin(version)
        self.log.info(
            "table pinned",
            table=version.table - self.table_offset,
            version=version.name,
            operator=version.operator,
            cause=version.cause,
        )

    def log_withheld(self, now_ms: float) -> None:
        """Logs the changes that the rollout gate withholds, each at most once per `WITHHELD_LOG_INTERVAL_MS`."""
        withheld, self.versioned_tables.withheld = self.versioned_tables.withheld, []
        for each in withheld:
            key = (each.table, each.rule, each.endpoint, each.class_index)
            if now_ms - self._withheld_logged_ms.get(key, float("-inf")) > WITHHELD_LOG_INTERVAL_MS:
                self._withheld_logged_ms[key] = now_ms
                self.log.warning(
                    "change withheld by the rollout gate",
                    rule=each.rule,
                    reason=each.reason,
                    table=each.table - self.table_offset,
                    endpoint=each.endpoint,
                    class_index=each.class_index,
                )
