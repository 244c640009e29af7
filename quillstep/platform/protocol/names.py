"""Names of messages and fields on the wire, as defined by the platform's PROTOCOL.md."""

# The field that holds a message's kind, and its values.
KIND = "t"
HEARTBEAT = "hb"
HEARTBEAT_REPLY = "hb_ok"
PROXY_REGISTRATION = "attach"
COLLECTOR_REGISTRATION = "telemetry"
UPSTREAM_STATS = "upstream_stats"
DOWNSTREAM_STATS = "client_stats"
ACK = "done"
UPDATE = "assign"

# Fields of received messages.
PROXY = "id"
ZONE = "site"
REQUESTS_PER_S = "rps"
IS_FRESH = "new"
ACK_SERIAL = "seq"
APPLY_DURATION = "ms"
ENDPOINT = "target"
CLASS = "lane"
COUNT = "count"  # attempts in upstream stats, requests in downstream stats
FAILURES = "fail"  # failed attempts in upstream stats, unanswered requests in downstream stats
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
