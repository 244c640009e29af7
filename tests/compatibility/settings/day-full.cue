"name": "full"
"seed": 3
"seconds": 9.0
"warm_up_s": 2.5
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
"reports": {
 "by": "thread",
 "listen": [],
 "work_per_s": 50000.0,
 "window_ms": 150.0,
 "rows_most": 2048,
 "message_most_bytes": 262144,
 "ageing": false,
 "sampling": false
}
"endpoints": [
 {
  "each_zone": 3,
  "cores": 4,
  "speed": 1.5,
  "listed": 2.0,
  "connections_most": 150,
  "waiting_most": 120,
  "connect_work_ms": 1.0,
  "probe_work_ms": 1.5
 }
]
"reserves": 1
"proxies": 12
"proxy_processes": 3
"sotw_proxies": 0.25
"file_proxies": 0.25
"files": {
 "root": "/tmp/generations",
 "form": "json",
 "poll_ms": 30.0,
 "silent_ms": 3500.0,
 "shards": 8,
 "retry_ms": 150.0,
 "fsync": false
}
"capture": true
"record": false
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
"spans": 0.2
"pilots": 3
"exchanges_per_s": 120.0
"callers_skew": 0.5
"keys": 300
"roster_late_ms": 350.0
"phases": [
 {
  "at_s": 1.0,
  "for_s": 2.0,
  "times": 2.0
 }
]
"troubles": [
 {
  "at_s": 2.0,
  "for_s": 1.5,
  "what": "stall",
  "zone": "a",
  "count": 2,
  "factor": 3.0,
  "kind": ""
 },
 {
  "at_s": 2.0,
  "for_s": 1.5,
  "what": "pilot_kill",
  "zone": "a",
  "count": 2,
  "factor": 3.0,
  "kind": ""
 },
 {
  "at_s": 2.0,
  "for_s": 1.5,
  "what": "tighten",
  "zone": "a",
  "count": 2,
  "factor": 3.0,
  "kind": "lookup"
 },
 {
  "at_s": 2.0,
  "for_s": 1.5,
  "what": "reports_cut",
  "zone": "a",
  "count": 2,
  "factor": 3.0,
  "kind": ""
 }
]
"baselines": [
 "standing",
 "even"
]
