// Half a minute with many faults: a drain and joins, slow, failing and silent endpoints, lost responses, a zone that
// fails and restarts cold, a controller killed under load, a proxy that rejects updates and one that reads nothing.


name:    "bad day"
seed:    11
seconds: 32
warm_up_s: 3

fleet: {
	zones: ["norte", "sur", "poniente"]
	classes: [
		{name: "quote-lookup", agreed_ms: 400, cut_off_ms: 1200, credit: 1, late_credit: 0.2, semantics: "safe", work_ms: 40, share: 0.6},
		{name: "quote-save", agreed_ms: 400, cut_off_ms: 1200, credit: 3, late_credit: 0.2, semantics: "keyed", scope: "all", window_ms: 2000, work_ms: 40, share: 0.27},
		{name: "folio-issue", agreed_ms: 350, cut_off_ms: 1000, credit: 2, late_credit: 0.2, semantics: "unsafe", work_ms: 25, share: 0.13},
	]
	rules: {bare_ms: 4000, drain_grace_ms: 2500, start_capacity: 0.2, warm_after_ms: 6000, fall_multiple: 3, tip_after_ms: 1500}
	channel: {lines_per_s: 2000, lines_per_message: 6, lines_waiting_most: 2500, messages_most: 20, messages_over_ms: 10000, late_most_ms: 300}
	proxies: {admission: "rate", base_tries: 0, try_factor: 0.8, ejects: 5, avoid_ms: 3000, standing: 3, report_every_ms: 1000}
	probes: {allowed: true, load_only_here: true, timeout_ms: 600, at_once: 16}
}

endpoints: [
	{each_zone: 3, cores: 2, speed: 1.0, connections_most: 150},
	{each_zone: 2, cores: 2, speed: 0.6, connections_most: 150},
]
reserves:        1
proxies:         18
proxy_processes: 2
sotw_proxies:    0.12
pilots:          2
exchanges_per_s: 260
callers_skew:    1.2
roster_late_ms:  600

phases: [{at_s: 19, for_s: 4, times: 1.25}]

troubles: [
	{at_s: 3, for_s: 8, what: "slow", count: 3, factor: 5},
	{at_s: 5, for_s: 3, what: "drain", zone: "sur", count: 1},
	{at_s: 6, for_s: 1, what: "join", count: 2},
	{at_s: 7, for_s: 4, what: "proxy_refuses", count: 1},
	{at_s: 9, for_s: 6, what: "silent", count: 2},
	{at_s: 12, for_s: 3, what: "proxy_reads_nothing", count: 1},
	{at_s: 15, for_s: 4, what: "zone_loss", zone: "norte"},
	{at_s: 20, for_s: 3, what: "pilot_kill", count: 1},
	{at_s: 24, for_s: 5, what: "lose_answers", count: 2, factor: 3},
	{at_s: 25, for_s: 4, what: "fail", count: 2, factor: 5},
]
