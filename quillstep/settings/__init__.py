"""Settings: records in a stated subset of CUE, checked into typed records.  See docs/operate/settings.md."""

from quillstep.settings.cue import Fault, Origin, read
from quillstep.settings.records import (
    ChannelRecord,
    ClassRecord,
    DayRecord,
    EndpointKind,
    FilesRecord,
    FleetRecord,
    GateRecord,
    LimitsRecord,
    PilotRecord,
    ProxyRecord,
    ReportsRecord,
    RulesRecord,
    StoreRecord,
    TroubleRecord,
    changed,
    check_older,
    load,
    parse_changes,
    start_facts,
)

__all__ = [
    "ChannelRecord", "ClassRecord", "DayRecord", "EndpointKind", "Fault", "FilesRecord", "FleetRecord",
    "GateRecord", "LimitsRecord", "Origin", "PilotRecord", "ProxyRecord", "ReportsRecord", "RulesRecord",
    "StoreRecord", "TroubleRecord", "changed", "check_older", "load", "parse_changes", "read", "start_facts",
]  # fmt: skip
