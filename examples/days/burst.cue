// A zone that fails and returns with its proxies: its endpoints die, and its proxies are disconnected from all
// controllers for ten seconds, reconnect within one second, and each report ten seconds of stats.  The proxies of
// another zone report five seconds late.  Recorded.

name:      "burst"
seed:      17
seconds:   30
warm_up_s: 4
capture:   true

fleet: {
	zones: ["norte", "sur", "oriente"]
	classes: [
		{name: "quote-lookup", agreed_ms: 400, cut_off_ms: 1200, credit: 1, late_credit: 0.2, semantics: "safe", work_ms: 40, share: 0.7},
		{name: "folio-issue", agreed_ms: 400, cut_off_ms: 1200, credit: 3, late_credit: 0.2, semantics: "unsafe", work_ms: 30, share: 0.3},
	]
	rules: {bare_ms: 4000, drain_grace_ms: 3000, start_capacity: 0.2, warm_after_ms: 6000, fall_multiple: 3, tip_after_ms: 1500}
	channel: {lines_per_s: 3000, lines_per_message: 6, lines_waiting_most: 5000, messages_most: 20, messages_over_ms: 10000, late_most_ms: 300}
	proxies: {admission: "rate", base_tries: 0, try_factor: 0.8, ejects: 5, avoid_ms: 3000, standing: 3, report_every_ms: 1000}
	probes: {allowed: true, load_only_here: false, timeout_ms: 600, at_once: 16}
}

endpoints: [{each_zone: 5, cores: 2, speed: 1.0, connections_most: 200}]
proxies:         30
pilots:          2
exchanges_per_s: 320
roster_late_ms:  600

troubles: [
	{at_s: 8, for_s: 8, what: "zone_loss", zone: "norte"},
	{at_s: 8, for_s: 10, what: "proxy_cut", zone: "norte", count: 10},
	{at_s: 6, for_s: 20, what: "reports_late", zone: "sur", count: 10, factor: 5},
	{at_s: 18.5, for_s: 4, what: "drain", zone: "oriente", count: 1},
	{at_s: 21, for_s: 2, what: "silent", zone: "sur", count: 1},
]
