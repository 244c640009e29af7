"""Settings of one controller, by subsystem."""

from typing import Annotated, Literal

from pydantic import Field

from quillstep.config.base import Address, NonNegative, Positive, PositiveCount, Settings, Share, in_file
from quillstep.config.fleet import FleetSettings


class LimitSettings(Settings):
    """What one stream may cost its controller; a peer beyond these loses its own stream only."""

    max_message_bytes: Annotated[int, Field(ge=1024), in_file("message_most_bytes")] = 4 * 2**20
    max_headers_bytes: Annotated[int, Field(ge=512), in_file("headers_most_bytes")] = 16 * 2**10
    max_unsent_bytes: Annotated[int, Field(ge=1024), in_file("unsent_most_bytes")] = 256 * 2**10
    max_in_flight: Annotated[PositiveCount, in_file("in_flight_most")] = 8  # responses without an acknowledgement
    ack_timeout_ms: Annotated[Positive, in_file("unacknowledged_ms")] = 8000.0
    handshake_timeout_ms: Annotated[Positive, in_file("handshake_ms")] = 3000.0  # connection to first request
    write_timeout_ms: Annotated[Positive, in_file("write_ms")] = 5000.0
    idle_timeout_ms: Annotated[Positive, in_file("silent_ms")] = 15000.0  # without any byte, pings included
    ping_interval_ms: Annotated[Positive, in_file("ping_ms")] = 3000.0
    max_connections: Annotated[PositiveCount, in_file("connections_most")] = 2048
    # Connections that have not sent a request yet; the oldest is closed first.
    max_unregistered: Annotated[PositiveCount, in_file("strangers_most")] = 1024
    messages_per_s: Positive = 1000.0  # a peer's sustained rate, and its burst
    max_subscriptions: Annotated[PositiveCount, in_file("subscriptions_most")] = 4096
    # Splits updates that would block a proxy for long; false sends each at once, as a baseline.
    splits_updates: Annotated[bool, in_file("spreads")] = True
    max_queued_events: Annotated[PositiveCount, in_file("news_most")] = 4096


class FileSettings(Settings):
    """Proxies that follow files below `root`; an empty root means none."""

    root: str = ""
    form: Literal["protobuf", "json"] = "protobuf"
    poll_interval_ms: Annotated[Positive, in_file("poll_ms")] = 40.0
    # A proxy without a load report or other sign of life for this long is taken to have left.
    idle_timeout_ms: Annotated[Positive, in_file("silent_ms")] = 4000.0
    shards: Annotated[int, Field(ge=1, le=256)] = 16  # files that one table's lines are spread over
    retry_backoff_ms: Annotated[Positive, in_file("retry_ms")] = 200.0  # after a failed write, doubled up to 16 times
    fsync: bool = True


class RecordingSettings(Settings):
    """Where all events are recorded for replay; an empty folder means nowhere."""

    folder: str = ""
    segment_bytes: Annotated[int, Field(ge=4096)] = 32 * 2**20


class LoadReportSettings(Settings):
    """How load reports are read: see docs/reports.md."""

    by: Literal["inbox", "thread", "processes"] = "thread"  # `inbox` is a baseline
    listen: list[Address] = []  # where report streams connect, one per process; only with `processes`
    rows_per_s: Annotated[Positive, in_file("work_per_s")] = 60000.0  # budget of one thread or process
    window_ms: Positive = 200.0  # between two summaries handed to the deciding thread
    max_rows: Annotated[PositiveCount, in_file("rows_most")] = 4096  # of one report
    max_message_bytes: Annotated[int, Field(ge=1024), in_file("message_most_bytes")] = 512 * 2**10
    ageing: bool = True  # old statistics weigh less
    sampling: bool = True  # under pressure not all proxies report in full


class RolloutGateSettings(Settings):
    """What is checked before a table's version leaves: see docs/store.md."""

    enabled: Annotated[bool, in_file("on")] = True
    # Of a table's traffic, moved within `move_window_ms`; 0 means any.
    max_moved_share: Annotated[Share, in_file("moves_most")] = 0.6
    move_window_ms: Annotated[Positive, in_file("moves_over_ms")] = 2000.0


class StoreSettings(Settings):
    """What outlives a controller's process; an empty folder means nothing does."""

    folder: str = ""
    max_size_bytes: Annotated[int, Field(ge=2**20), in_file("size_most_bytes")] = 2**30
    fsync: bool = True
    # An update leaves after this time even if it is not durable yet.
    max_durability_wait_ms: Annotated[NonNegative, in_file("wait_most_ms")] = 250.0
    operator_poll_interval_ms: Annotated[Positive, in_file("look_ms")] = 100.0
    # After a start the recovered tables stand for this long, the older the shorter.
    recovery_trust_ms: Annotated[NonNegative, in_file("trust_ms")] = 20000.0
    max_recovery_age_ms: Annotated[NonNegative, in_file("trust_age_ms")] = 120000.0
    recovered_versions: Annotated[PositiveCount, in_file("remembered")] = 128  # of each table, at a start
    keep_versions: PositiveCount = 4096  # of a table
    keep_hours: Positive = 168.0
    keep_orders: PositiveCount = 20000  # of the journal


class SpanSettings(Settings):
    """Spans of control intervals, updates, applications and requests, as OTLP JSON lines; an empty file means none."""

    file: str = ""
    sampled_share: Annotated[Share, in_file("part")] = 0.05  # of all control intervals, and of all requests
    max_spans_per_s: Annotated[Positive, in_file("most_per_s")] = 100.0  # of one process


class ControllerSettings(Settings):
    """One controller: `quillstep controller --settings FILE`."""

    name: Annotated[str, Field(min_length=1)]
    seed: int = 1
    zone: str = ""
    listen: Address = "127.0.0.1:0"
    discovery_address: Annotated[Address, in_file("roster")]
    # The last two are baselines.
    planner_kind: Annotated[Literal["learnt", "even", "listed"], in_file("decides")] = "learnt"
    # Events that arrive within this time are decided on together.
    batch_window_ms: Annotated[Positive, in_file("gather_ms")] = 20.0
    fleet: FleetSettings
    limits: LimitSettings = LimitSettings()
    files: FileSettings = FileSettings()
    reports: LoadReportSettings = LoadReportSettings()
    capture: RecordingSettings = RecordingSettings()
    spans: SpanSettings = SpanSettings()
    gate: RolloutGateSettings = RolloutGateSettings()
    store: StoreSettings = StoreSettings()
    socket_record: Annotated[str, in_file("record")] = ""  # a file for what passed on this controller's sockets
