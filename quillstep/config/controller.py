"""Settings of one controller, by subsystem."""

from typing import Annotated, Literal

from pydantic import Field

from quillstep.config.base import Address, NonNegative, Positive, PositiveCount, Settings, Share, in_file
from quillstep.config.fleet import FleetSettings


class LimitSettings(Settings):
    """Limits of the streams of one controller; a peer that exceeds one loses its own stream only."""

    max_message_bytes: Annotated[int, Field(ge=1024), in_file("message_most_bytes")] = 4 * 2**20
    max_headers_bytes: Annotated[int, Field(ge=512), in_file("headers_most_bytes")] = 16 * 2**10
    max_unsent_bytes: Annotated[int, Field(ge=1024), in_file("unsent_most_bytes")] = 256 * 2**10
    max_in_flight: Annotated[PositiveCount, in_file("in_flight_most")] = 8  # responses not acknowledged yet
    ack_timeout_ms: Annotated[Positive, in_file("unacknowledged_ms")] = 8000.0
    # From accepting a connection to its first request.
    handshake_timeout_ms: Annotated[Positive, in_file("handshake_ms")] = 3000.0
    write_timeout_ms: Annotated[Positive, in_file("write_ms")] = 5000.0
    idle_timeout_ms: Annotated[Positive, in_file("silent_ms")] = 15000.0  # without any byte received, pings included
    ping_interval_ms: Annotated[Positive, in_file("ping_ms")] = 3000.0
    max_connections: Annotated[PositiveCount, in_file("connections_most")] = 2048
    # Connections that have not sent a request yet; above the limit the oldest is closed first.
    max_unregistered: Annotated[PositiveCount, in_file("strangers_most")] = 1024
    messages_per_s: Positive = 1000.0  # a peer's sustained rate; also the size of its burst
    max_subscriptions: Annotated[PositiveCount, in_file("subscriptions_most")] = 4096
    # Splits updates that would block a proxy for long; false sends each update in one piece, as a baseline.
    splits_updates: Annotated[bool, in_file("spreads")] = True
    max_queued_events: Annotated[PositiveCount, in_file("news_most")] = 4096


class FileSettings(Settings):
    """Settings of the file front: proxies that follow files below `root`; an empty `root` disables it."""

    root: str = ""
    form: Literal["protobuf", "json"] = "protobuf"
    poll_interval_ms: Annotated[Positive, in_file("poll_ms")] = 40.0
    # A proxy without a load report or other keep-alive for this long counts as disconnected.
    idle_timeout_ms: Annotated[Positive, in_file("silent_ms")] = 4000.0
    shards: Annotated[int, Field(ge=1, le=256)] = 16  # number of files that the lines of one table are distributed over
    # Delay after a failed write; doubles up to 16 times.
    retry_backoff_ms: Annotated[Positive, in_file("retry_ms")] = 200.0
    fsync: bool = True


class RecordingSettings(Settings):
    """Where all events are recorded for replay; an empty folder disables recording."""

    folder: str = ""
    segment_bytes: Annotated[int, Field(ge=4096)] = 32 * 2**20


class LoadReportSettings(Settings):
    """How load reports are read and aggregated; see docs/reports.md."""

    by: Literal["inbox", "thread", "processes"] = "thread"  # `inbox` is a baseline
    listen: list[Address] = []  # addresses for report streams, one per process; only with `processes`
    rows_per_s: Annotated[Positive, in_file("work_per_s")] = 60000.0  # budget of one thread or process
    window_ms: Positive = 200.0  # interval between summaries for the deciding thread
    max_rows: Annotated[PositiveCount, in_file("rows_most")] = 4096  # rows in one report
    max_message_bytes: Annotated[int, Field(ge=1024), in_file("message_most_bytes")] = 512 * 2**10
    ageing: bool = True  # whether older statistics weigh less
    sampling: bool = True  # whether only some proxies report in full while readers are overloaded


class RolloutGateSettings(Settings):
    """What is checked before a version of a table is sent; see docs/store.md."""

    enabled: Annotated[bool, in_file("on")] = True
    # The share of a table's traffic that may move within `move_window_ms`; 0 means no limit.
    max_moved_share: Annotated[Share, in_file("moves_most")] = 0.6
    move_window_ms: Annotated[Positive, in_file("moves_over_ms")] = 2000.0


class StoreSettings(Settings):
    """The store, whose contents survive a restart of the controller; an empty folder disables it."""

    folder: str = ""
    max_size_bytes: Annotated[int, Field(ge=2**20), in_file("size_most_bytes")] = 2**30
    fsync: bool = True
    # An update is sent after this time even if it is not durable yet.
    max_durability_wait_ms: Annotated[NonNegative, in_file("wait_most_ms")] = 250.0
    operator_poll_interval_ms: Annotated[Positive, in_file("look_ms")] = 100.0
    # After a start, recovered tables stay in effect for at most this long; less, the older they are.
    recovery_trust_ms: Annotated[NonNegative, in_file("trust_ms")] = 20000.0
    max_recovery_age_ms: Annotated[NonNegative, in_file("trust_age_ms")] = 120000.0
    # The number of newest versions of each table that are loaded at a start.
    recovered_versions: Annotated[PositiveCount, in_file("remembered")] = 128
    keep_versions: PositiveCount = 4096  # versions retained of each table
    keep_hours: Positive = 168.0
    keep_orders: PositiveCount = 20000  # entries retained of the journal


class SpanSettings(Settings):
    """Spans of control intervals, updates, applications and requests, as OTLP JSON lines; off if `file` is empty."""

    file: str = ""
    # The share of control intervals, and of requests, that are sampled.
    sampled_share: Annotated[Share, in_file("part")] = 0.05
    max_spans_per_s: Annotated[Positive, in_file("most_per_s")] = 100.0  # per process


class ControllerSettings(Settings):
    """One controller: `quillstep controller --settings FILE`."""

    name: Annotated[str, Field(min_length=1)]
    seed: int = 1
    zone: str = ""
    listen: Address = "127.0.0.1:0"
    discovery_address: Annotated[Address, in_file("roster")]
    # `even` and `listed` are baselines.
    planner_kind: Annotated[Literal["learnt", "even", "listed"], in_file("decides")] = "learnt"
    # Events that arrive within this time are handled in one control interval.
    batch_window_ms: Annotated[Positive, in_file("gather_ms")] = 20.0
    fleet: FleetSettings
    limits: LimitSettings = LimitSettings()
    files: FileSettings = FileSettings()
    reports: LoadReportSettings = LoadReportSettings()
    capture: RecordingSettings = RecordingSettings()
    spans: SpanSettings = SpanSettings()
    gate: RolloutGateSettings = RolloutGateSettings()
    store: StoreSettings = StoreSettings()
    socket_record: Annotated[str, in_file("record")] = ""  # path of the socket record
