// Endpoints that fail and recover repeatedly while discovery lists them as in service: some fail fast, some stop
// responding, some lose responses.  One drains, and one dies and is listed as terminated.  Recorded for replays.

name:      "flapping"
seed:      31
seconds:   24
warm_up_s: 3
capture:   true

fleet: {
	zones: ["norte", "sur"]
	classes: [
		{name: "quote-lookup", agreed_ms: 400, cut_off_ms: 1200, credit: 1, late_credit: 0.2, semantics: "safe", work_ms: 40, share: 0.7},
		{name: "folio-issue", agreed_ms: 400, cut_off_ms: 1200, credit: 3, late_credit: 0.2, semantics: "unsafe", work_ms: 30, share: 0.3},
	]
	rules: {bare_ms: 4000, drain_grace_ms: 2500, start_capacity: 0.2, warm_after_ms: 6000, fall_multiple: 3, tip_after_ms: 1500}
	channel: {lines_per_s: 2000, lines_per_message: 6, lines_waiting_most: 2500, messages_most: 20, messages_over_ms: 10000, late_most_ms: 300}
	proxies: {admission: "rate", base_tries: 0, try_factor: 0.8, ejects: 5, avoid_ms: 3000, standing: 3, report_every_ms: 1000}
	probes: {allowed: true, load_only_here: true, timeout_ms: 600, at_once: 16}
}

endpoints: [{each_zone: 6, cores: 2, speed: 1.0, connections_most: 150}]
proxies:         12
pilots:          2
exchanges_per_s: 220
roster_late_ms:  600

troubles: [
	{at_s: 3, for_s: 2, what: "fail", count: 3, factor: 10},
	{at_s: 7, for_s: 2, what: "fail", count: 3, factor: 10},
	{at_s: 9, for_s: 2, what: "silent", count: 2},
	{at_s: 12, for_s: 3, what: "lose_answers", count: 3, factor: 2},
	{at_s: 14, for_s: 3, what: "drain", zone: "sur", count: 1},
	{at_s: 16, for_s: 2, what: "silent", count: 3},
	{at_s: 18, for_s: 3, what: "die", count: 1},
	{at_s: 20, for_s: 2, what: "fail", count: 3, factor: 10},
]
