"""The names of the protocol's messages and fields, as they stand on the wire (PROTOCOL.md of the platform)."""

# The field that gives a message's kind, and the kinds.
KIND = "t"
HEARTBEAT = "hb"
HEARTBEAT_ANSWER = "hb_ok"
PROXY_REGISTRATION = "attach"
COLLECTOR_REGISTRATION = "telemetry"
UPSTREAM_STATS = "upstream_stats"
DOWNSTREAM_STATS = "client_stats"
ACK = "done"
UPDATE = "assign"

# Fields of messages that are received.
PROXY = "id"
ZONE = "site"
REQUESTS_PER_S = "rps"
IS_FRESH = "new"
ACK_SERIAL = "seq"
APPLY_DURATION = "ms"
ENDPOINT = "target"
CLASS = "lane"
COUNT = "count"  # of attempts in upstream stats, of requests in downstream stats
FAILURES = "fail"  # in downstream stats: requests that were not answered
MEAN_SUCCESS_MS = "mean"
WINDOW_MS = "over"
LOAD_REPORT = "util"
UTILIZATION = "util"  # a metric of the load report

# Fields of an update.
CLASSES = "routes"
IS_FULL_TABLE = "full"
WEIGHTS = "endpoints"
ADMISSION_LIMIT = "admit"
RETRY_POLICY = "policy"
EJECTED = "eject"
RESTORED = "restore"
REQUESTED_ACK = "nonce_out"
IS_CONTINUED = "continued"
