"""The typed records that settings files are checked into, and what of them the module is told at its start.

Units stand in the names: `_ms` milliseconds, `_s` seconds, `_per_s` a second, `_bytes` bytes; a share is 0 to 1.
A file that doesn't check raises `quillstep.config.Fault`.
"""

import json
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from quillstep.config.cue import Fault, Origin, read, shown
from quillstep.planner.messages import ClassFacts, StartFacts

Positive = Annotated[float, Field(gt=0)]
NotBelow0 = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Address = Annotated[str, Field(pattern=r"^[0-9A-Za-z.\-\[\]:]*:\d{1,5}$")]


class Record(BaseModel):
    """What all records share: no unknown fields, no silent conversions, no change after the check."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class ClassRecord(Record):
    """One class of exchange."""

    name: Annotated[str, Field(min_length=1)]
    agreed_ms: Positive
    cut_off_ms: Positive
    credit: Positive
    late_credit: Share = 0.0  # the part of the credit that an answer after the agreed time still earns
    semantics: Literal["safe", "keyed", "unsafe"]
    scope: Literal["", "all", "zone"] = ""
    window_ms: NotBelow0 = 0.0
    home_only: bool = False
    work_ms: Positive = 50.0  # of a core of speed 1; what stand-ins take for it
    share: Share = 1.0  # of the traffic


class RulesRecord(Record):
    """The figures behind the five rules."""

    bare_ms: Positive = 5000.0
    drain_grace_ms: Positive = 3000.0
    start_capacity: Annotated[float, Field(gt=0, le=1)] = 0.2
    warm_after_ms: Positive = 10000.0
    fall_multiple: Positive = 3.0
    tip_after_ms: Positive = 1500.0


class ChannelRecord(Record):
    """A pilot's order channel: what it sends and how much may wait there."""

    lines_per_s: Positive = 3000.0
    lines_per_message: NotBelow0 = 6.0
    lines_waiting_most: Positive = 5000.0
    messages_most: Count = 20  # to one proxy within messages_over_ms; 0: no limit
    messages_over_ms: NotBelow0 = 10000.0
    late_most_ms: NotBelow0 = 600.0  # from leaving the channel until a proxy holds it


class ProxyRecord(Record):
    """What the proxies do by themselves."""

    admission: Literal["share", "rate", "none"] = "rate"
    base_tries: Annotated[int, Field(ge=0, le=3)] = 0
    try_factor: NotBelow0 = 0.8
    ejects: Count = 5
    avoid_ms: NotBelow0 = 4000.0
    standing: Annotated[int, Field(ge=1)] = 5
    report_every_ms: Positive = 1000.0
    dial_ms: Positive = 300.0  # waits before a stream is dialled again
    connect_ms: Positive = 250.0
    idle_ms: Positive = 3000.0  # an unused connection to an endpoint is closed
    line_ms: NotBelow0 = 0.04  # that a proxy stands still for each line it applies; what stand-ins take for it


class LimitsRecord(Record):
    """What one stream may cost its pilot; a peer beyond these loses its stream, nobody else theirs."""

    message_most_bytes: Annotated[int, Field(ge=1024)] = 4 * 2**20
    headers_most_bytes: Annotated[int, Field(ge=512)] = 16 * 2**10
    unsent_most_bytes: Annotated[int, Field(ge=1024)] = 256 * 2**10
    in_flight_most: Annotated[int, Field(ge=1)] = 8  # responses that wait for their acknowledgement
    unacknowledged_ms: Positive = 8000.0  # a stream that leaves a response so long without a word is ended
    handshake_ms: Positive = 3000.0  # from the connection to the first request
    write_ms: Positive = 5000.0  # a peer that takes no bytes for so long is cut off
    silent_ms: Positive = 15000.0  # without any byte, pings included
    ping_ms: Positive = 3000.0
    connections_most: Annotated[int, Field(ge=1)] = 2048
    strangers_most: Annotated[int, Field(ge=1)] = 1024  # of them, without a request yet; the oldest ends first
    messages_per_s: Positive = 1000.0  # that one peer may send for long; as many may come at once
    subscriptions_most: Annotated[int, Field(ge=1)] = 4096
    spreads: bool = True  # what makes a proxy stand still for long goes in pieces; false: the baseline, all at once
    news_most: Annotated[int, Field(ge=1)] = 4096  # messages between readers and the deciding thread


class FilesRecord(Record):
    """The file front: proxies that follow files below `root`; an empty root: no such front."""

    root: str = ""
    form: Literal["protobuf", "json"] = "protobuf"
    poll_ms: Positive = 40.0  # between two looks at what proxies wrote
    silent_ms: Positive = 4000.0  # a proxy without a load report or other word for so long has left
    shards: Annotated[int, Field(ge=1, le=256)] = 16  # files that one table's lines are spread over
    retry_ms: Positive = 200.0  # after a write that failed, doubled up to 16 times
    fsync: bool = True


class CaptureRecord(Record):
    """Where all that comes in is captured; an empty folder: nowhere."""

    folder: str = ""
    segment_bytes: Annotated[int, Field(ge=4096)] = 32 * 2**20


class ReportsRecord(Record):
    """How load reports are read: see docs/reports.md."""

    by: Literal["inbox", "thread", "processes"] = "thread"  # `inbox` is the first pilot's way, kept as a baseline
    listen: list[Address] = []  # where report streams dial, a process for each; only with `processes`
    work_per_s: Positive = 60000.0  # that one thread or process may spend, in rows of reports
    window_ms: Positive = 200.0  # between two hand-overs to the deciding thread
    rows_most: Annotated[int, Field(ge=1)] = 4096  # of one report
    message_most_bytes: Annotated[int, Field(ge=1024)] = 512 * 2**10
    ageing: bool = True  # old sums weigh less
    sampling: bool = True  # under pressure not all proxies report in full


class GateRecord(Record):
    """What is checked before a table's version leaves: see docs/store.md."""

    on: bool = True
    moves_most: Share = 0.6  # of a table's traffic, moved within `moves_over_ms`; 0: any
    moves_over_ms: Positive = 2000.0


class StoreRecord(Record):
    """What outlives a pilot's process; an empty folder: nothing does."""

    folder: str = ""
    size_most_bytes: Annotated[int, Field(ge=2**20)] = 2**30
    fsync: bool = True
    wait_most_ms: NotBelow0 = 250.0  # that a push waits to be durable before it leaves all the same
    look_ms: Positive = 100.0  # between two looks at what operators ask for
    trust_ms: NotBelow0 = 20000.0  # after a start: for so long what stood before stands on, the older the shorter
    trust_age_ms: NotBelow0 = 120000.0  # and not at all from this age on
    remembered: Annotated[int, Field(ge=1)] = 128  # versions of a table that a start takes over from the last life
    keep_versions: Annotated[int, Field(ge=1)] = 4096  # of a table
    keep_hours: Positive = 168.0
    keep_orders: Annotated[int, Field(ge=1)] = 20000  # of the journal


class SpansRecord(Record):
    """Spans of rounds, pushes, applications and exchanges, as OTLP JSON lines; an empty file: none."""

    file: str = ""
    part: Share = 0.05  # of all rounds, and of all exchanges
    most_per_s: Positive = 100.0  # spans of one process


class ProbeRecord(Record):
    """Health checks of endpoints."""

    allowed: bool = True
    load_only_here: bool = True  # answers carry no load, probes do
    timeout_ms: Positive = 800.0
    at_once: Annotated[int, Field(ge=1)] = 16


class FleetRecord(Record):
    """What all parts of one deployment know of it."""

    zones: Annotated[list[str], Field(min_length=1)]
    classes: Annotated[list[ClassRecord], Field(min_length=1, max_length=32)]
    rules: RulesRecord = RulesRecord()
    channel: ChannelRecord = ChannelRecord()
    proxies: ProxyRecord = ProxyRecord()
    probes: ProbeRecord = ProbeRecord()


class PilotRecord(Record):
    """One pilot: `quillstep pilot --settings FILE`."""

    name: Annotated[str, Field(min_length=1)]
    seed: int = 1
    zone: str = ""
    listen: Address = "127.0.0.1:0"
    roster: Address
    decides: Literal["learnt", "even", "listed"] = "learnt"  # the last two are baselines
    gather_ms: Positive = 20.0  # news that comes within this goes into one round
    fleet: FleetRecord
    limits: LimitsRecord = LimitsRecord()
    files: FilesRecord = FilesRecord()
    reports: ReportsRecord = ReportsRecord()
    capture: CaptureRecord = CaptureRecord()
    spans: SpansRecord = SpansRecord()
    gate: GateRecord = GateRecord()
    store: StoreRecord = StoreRecord()
    record: str = ""  # a file for what passed on this pilot's sockets


class EndpointKind(Record):
    """So many endpoints of one kind in every zone."""

    each_zone: Annotated[int, Field(ge=1)]
    cores: Annotated[int, Field(ge=1)] = 2
    speed: Positive = 1.0
    listed: NotBelow0 = 1.0
    connections_most: Annotated[int, Field(ge=1)] = 200
    waiting_most: Annotated[int, Field(ge=1)] = 200
    connect_work_ms: NotBelow0 = 2.0
    probe_work_ms: NotBelow0 = 2.0


class PhaseRecord(Record):
    """From `at_s` on for `for_s` there is `times` the usual traffic."""

    at_s: NotBelow0
    for_s: Positive
    times: NotBelow0


class TroubleRecord(Record):
    """One trouble: what, when, to how much of what."""

    at_s: NotBelow0
    for_s: Positive = 5.0
    what: Literal[
        "stall", "slow", "fail", "silent", "die", "drain", "lose_answers", "zone_loss", "join",
        "proxy_stall", "proxy_refuses", "proxy_reads_nothing", "pilot_kill", "pilot_stall", "proxy_moves",
        "proxy_cut", "proxy_slow_lines", "proxy_late_words", "proxy_loses", "tighten",
        "reports_late", "reports_heavy", "reports_cut",
    ]  # fmt: skip
    zone: str = ""
    count: Annotated[int, Field(ge=1)] = 1
    # Of `slow`; `reports_late`, `proxy_late_words`: seconds; `proxy_slow_lines`: ms a line; `proxy_loses`: responses;
    # the part of answers lost or failed is 1 - 1 / factor.
    factor: Positive = 4.0
    kind: str = ""  # the class that `tighten` makes unsafe: pilots start over with it so, endpoints follow


class DayRecord(Record):
    """A scripted day: `quillstep day FILE`."""

    name: Annotated[str, Field(min_length=1)]
    seed: int = 1
    seconds: Positive
    warm_up_s: NotBelow0 = 3.0  # before the first exchange: streams join, tables arrive
    fleet: FleetRecord
    limits: LimitsRecord = LimitsRecord()
    reports: ReportsRecord = ReportsRecord()
    endpoints: Annotated[list[EndpointKind], Field(min_length=1)]
    reserves: Count = 0  # endpoints a zone of the first kind that only `join` starts
    proxies: Annotated[int, Field(ge=1)]
    proxy_processes: Annotated[int, Field(ge=1)] = 2
    sotw_proxies: Share = 0.0  # the part that speaks the older stream
    file_proxies: Share = 0.0  # the part that follows files
    files: FilesRecord = FilesRecord()
    capture: bool = False  # pilots capture what comes in, below the day's record
    record: bool = True  # pilots write down what passes on their sockets; without it nothing can be judged or traced
    gate: GateRecord = GateRecord()
    store: StoreRecord = StoreRecord()  # of each pilot; its folder is a name below the day's record
    spans: Share = 0.0  # the part of rounds and exchanges that pilots and proxies write spans of
    pilots: Annotated[int, Field(ge=1)] = 2
    exchanges_per_s: Positive
    callers_skew: NotBelow0 = 1.0  # how unevenly traffic comes to the proxies; 0: evenly
    keys: Annotated[int, Field(ge=1)] = 500
    roster_late_ms: NotBelow0 = 700.0
    phases: list[PhaseRecord] = []
    troubles: list[TroubleRecord] = []
    baselines: list[Literal["standing", "even", "listed"]] = ["standing", "even", "listed"]


R = TypeVar("R", bound=Record)


def load(kind: type[R], path: str | Path) -> R:
    """A settings file as a checked record; raises `Fault`, the file missing or unreadable included."""
    try:
        found, origin = read(path)
    except (OSError, UnicodeDecodeError) as trouble:
        raise Fault(str(path), 0, "", type(trouble).__name__, "a readable UTF-8 file") from None
    return check(kind, found, origin)


def check(kind: type[R], found: dict[str, Any], origin: Origin) -> R:
    """Plain values as a record; the first thing that is wrong is the fault."""
    try:
        record = kind.model_validate(found)
    except ValidationError as trouble:
        first = trouble.errors(include_url=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        lost = first["type"] == "missing"
        what = "nothing" if lost else _brief(first["input"])
        raise Fault(origin.file, origin.line(path), path, what, _expected(first)) from None
    _check_sense(record, origin)
    return record


def check_older(kind: type[R], plain: dict[str, Any]) -> R:
    """A record that an older version wrote: fields that there are no more are left out; the rest must check."""
    try:
        return kind.model_validate(plain)
    except ValidationError as trouble:
        gone = [error["loc"] for error in trouble.errors() if error["type"] == "extra_forbidden"]
        if not gone:
            raise
    kept = json.loads(json.dumps(plain))
    for *parents, last in gone:
        at = kept
        for name in parents:
            at = at[name]
        del at[last]
    return check_older(kind, kept)


def _brief(value: Any) -> str:
    return shown(value) if not isinstance(value, dict | list) else f"a {type(value).__name__}"


def _expected(first: Any) -> str:
    if first["type"] == "missing":
        return "a value"
    if first["type"] == "extra_forbidden":
        return "no such field here"
    text = str(first["msg"]).replace("Input should be ", "").replace("String should", "a text that should")
    return text[0].lower() + text[1:]


def _check_sense(record: Record, origin: Origin) -> None:
    """What no single field shows: that values fit each other."""
    fleet = getattr(record, "fleet", record)
    prefix = "fleet." if fleet is not record else ""
    if not isinstance(fleet, FleetRecord):
        return
    names: set[str] = set()
    for at, row in enumerate(fleet.classes):
        path = f"{prefix}classes.{at}"
        if row.name in names:
            _wrong(origin, f"{path}.name", shown(row.name), "a name that no other class has")
        names.add(row.name)
        if row.cut_off_ms < row.agreed_ms:
            _wrong(origin, f"{path}.cut_off_ms", f"{row.cut_off_ms:g}", f"at least {row.agreed_ms:g}, agreed_ms")
        if row.semantics == "keyed" and not (row.scope and row.window_ms):
            _wrong(origin, path, "a keyed class without them", "scope and window_ms")
    most, rate = fleet.channel.lines_waiting_most, fleet.channel.lines_per_s
    if most < rate * 0.5:
        _wrong(
            origin,
            f"{prefix}channel.lines_waiting_most",
            f"{most:g}",
            f"{rate * 0.5:g} or more, half a second",
        )
    zones = set(fleet.zones)
    for at, trouble in enumerate(getattr(record, "troubles", [])):
        if trouble.zone and trouble.zone not in zones:
            _wrong(origin, f"troubles.{at}.zone", shown(trouble.zone), "one of " + ", ".join(sorted(zones)))
        names_known = {row.name for row in fleet.classes}
        if (trouble.what == "tighten") != bool(trouble.kind) or (trouble.kind and trouble.kind not in names_known):
            _wrong(origin, f"troubles.{at}.kind", shown(trouble.kind), "a class with `tighten`, nothing else")
    reports = getattr(record, "reports", None)
    if reports is not None and (reports.by == "processes") != bool(reports.listen):
        found = f"{len(reports.listen)} with by: {shown(reports.by)}"
        _wrong(origin, "reports.listen", found, 'one address a process with by: "processes", else none')
    zone = getattr(record, "zone", "")
    if zone and zone not in zones:
        _wrong(origin, "zone", shown(zone), "one of " + ", ".join(sorted(zones)))


def _wrong(origin: Origin, path: str, found: str, expected: str) -> None:
    raise Fault(origin.file, origin.line(path), path, found, expected)


def changed(record: R, change: dict[str, Any]) -> R:
    """A record with some paths set; raises `Fault` where a path is none or a value does not check."""
    plain = record.model_dump()
    for path, value in change.items():
        at: Any = plain
        *parents, last = path.split(".")
        for name in parents:
            if isinstance(at, list):
                at = at[int(name)] if name.isdigit() and int(name) < len(at) else None
            else:
                at = at.get(name) if isinstance(at, dict) else None
        if not isinstance(at, dict) or last not in at:
            raise Fault("--set", 1, path, "no such setting", "a path of the record")
        at[last] = value
    return check(type(record), plain, Origin("--set", {}))


def parse_changes(texts: tuple[str, ...] | list[str]) -> dict[str, Any]:
    """`path=value` texts, values as JSON where they read as such."""
    change: dict[str, Any] = {}
    for each in texts:
        path, equals, value = each.partition("=")
        if not equals:
            raise Fault("--set", 1, path, "no value", "path=value")
        try:
            change[path] = json.loads(value)
        except ValueError:
            change[path] = value
    return change


def start_facts(fleet: FleetRecord) -> StartFacts:
    """What the module is told at its start."""
    rules, channel, proxies = fleet.rules, fleet.channel, fleet.proxies
    return StartFacts(
        classes=[
            ClassFacts(c.agreed_ms, c.credit, c.semantics, c.scope, c.window_ms, c.home_only) for c in fleet.classes
        ],
        zones=list(fleet.zones),
        may_probe=fleet.probes.allowed,
        load_by_probe=fleet.probes.load_only_here,
        admission=proxies.admission,
        base_mode=proxies.base_tries,
        try_factor=proxies.try_factor,
        ejects=proxies.ejects,
        standing=proxies.standing,
        report_every_ms=proxies.report_every_ms,
        channel_rate=channel.lines_per_s,
        lines_per_message=channel.lines_per_message,
        lines_waiting_most=channel.lines_waiting_most,
        messages_most=channel.messages_most,
        messages_over_ms=channel.messages_over_ms,
        order_late_most_ms=channel.late_most_ms,
        drain_grace_ms=rules.drain_grace_ms,
        start_capacity=rules.start_capacity,
        warm_after_ms=rules.warm_after_ms,
        fall_multiple=rules.fall_multiple,
    )
