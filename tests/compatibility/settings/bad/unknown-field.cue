"name": "pilot-0"
"seed": 23
"zone": "b"
"listen": "127.0.0.1:7001"
"roster": "127.0.0.1:7002"
"decides": "listed"
"gather_ms": 15.0
"fleet": {
 "zones": [
  "a",
  "b"
 ],
 "classes": [
  {
   "name": "lookup",
   "agreed_ms": 350.0,
   "cut_off_ms": 1100.0,
   "credit": 1.5,
   "late_credit": 0.25,
   "semantics": "safe",
   "scope": "",
   "window_ms": 0.0,
   "home_only": false,
   "work_ms": 21.0,
   "share": 0.6
  },
  {
   "name": "quote",
   "agreed_ms": 500.0,
   "cut_off_ms": 1500.0,
   "credit": 2.0,
   "late_credit": 0.0,
   "semantics": "keyed",
   "scope": "zone",
   "window_ms": 60000.0,
   "home_only": true,
   "work_ms": 31.0,
   "share": 0.3
  },
  {
   "name": "issue",
   "agreed_ms": 900.0,
   "cut_off_ms": 2500.0,
   "credit": 4.0,
   "late_credit": 0.1,
   "semantics": "unsafe",
   "scope": "",
   "window_ms": 0.0,
   "home_only": false,
   "work_ms": 44.0,
   "share": 0.1
  }
 ],
 "rules": {
  "bare_ms": 4500.0,
  "drain_grace_ms": 2500.0,
  "start_capacity": 0.3,
  "warm_after_ms": 7000.0,
  "fall_multiple": 2.5,
  "tip_after_ms": 1400.0
 },
 "channel": {
  "lines_per_s": 2500.0,
  "lines_per_message": 5.0,
  "lines_waiting_most": 4500.0,
  "messages_most": 18,
  "messages_over_ms": 9000.0,
  "late_most_ms": 500.0
 },
 "proxies": {
  "admission": "share",
  "base_tries": 2,
  "try_factor": 0.7,
  "ejects": 4,
  "avoid_ms": 3500.0,
  "standing": 4,
  "report_every_ms": 900.0,
  "dial_ms": 250.0,
  "connect_ms": 200.0,
  "idle_ms": 2500.0,
  "line_ms": 0.05
 },
 "probes": {
  "allowed": false,
  "load_only_here": false,
  "timeout_ms": 700.0,
  "at_once": 12
 }
}
"limits": {
 "message_most_bytes": 2097152,
 "headers_most_bytes": 8192,
 "unsent_most_bytes": 131072,
 "in_flight_most": 6,
 "unacknowledged_ms": 7000.0,
 "handshake_ms": 2500.0,
 "write_ms": 4000.0,
 "silent_ms": 12000.0,
 "ping_ms": 2500.0,
 "connections_most": 1024,
 "strangers_most": 512,
 "messages_per_s": 800.0,
 "subscriptions_most": 2048,
 "spreads": false,
 "news_most": 2048
}
"files": {
 "root": "/tmp/generations",
 "form": "json",
 "poll_ms": 30.0,
 "silent_ms": 3500.0,
 "shards": 8,
 "retry_ms": 150.0,
 "fsync": false
}
"reports": {
 "by": "processes",
 "listen": [
  "127.0.0.1:0",
  "127.0.0.1:0"
 ],
 "work_per_s": 50000.0,
 "window_ms": 150.0,
 "rows_most": 2048,
 "message_most_bytes": 262144,
 "ageing": false,
 "sampling": false
}
"capture": {
 "folder": "/tmp/captures",
 "segment_bytes": 1048576
}
"spans": {
 "file": "/tmp/spans.jsonl",
 "part": 0.1,
 "most_per_s": 50.0
}
"gate": {
 "on": false,
 "moves_most": 0.4,
 "moves_over_ms": 1500.0
}
"store": {
 "folder": "/tmp/store",
 "size_most_bytes": 536870912,
 "fsync": false,
 "wait_most_ms": 200.0,
 "look_ms": 80.0,
 "trust_ms": 15000.0,
 "trust_age_ms": 90000.0,
 "remembered": 64,
 "keep_versions": 2048,
 "keep_hours": 48.0,
 "keep_orders": 10000
}
"record": "/tmp/sockets.jsonl"
"colour": "red"
