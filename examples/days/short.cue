// Eight seconds for the recordings shipped as examples: a drain, fast failures that discovery does not report, silent
// endpoints, a controller killed.

name:      "short"
seed:      17
seconds:   8
warm_up_s: 2
capture:   true

fleet: {
	zones: ["norte", "sur"]
	classes: [
		{name: "quote-lookup", agreed_ms: 400, cut_off_ms: 1200, credit: 1, late_credit: 0.2, semantics: "safe", work_ms: 30, share: 0.7},
		{name: "folio-issue", agreed_ms: 400, cut_off_ms: 1200, credit: 3, late_credit: 0.2, semantics: "unsafe", work_ms: 30, share: 0.3},
	]
	rules: {drain_grace_ms: 2500, warm_after_ms: 6000}
	channel: {lines_per_s: 2000, lines_waiting_most: 2500, late_most_ms: 300}
	proxies: {standing: 2, avoid_ms: 3000}
	probes: {timeout_ms: 600}
}

endpoints: [{each_zone: 4, cores: 2}]
proxies:         8
pilots:          2
exchanges_per_s: 90
roster_late_ms:  400
baselines: []

troubles: [
	{at_s: 1.5, for_s: 2, what: "fail", count: 2, factor: 10},
	{at_s: 3, for_s: 2, what: "drain", zone: "sur", count: 1},
	{at_s: 4, for_s: 1.5, what: "pilot_kill", count: 1},
	{at_s: 5.5, for_s: 1.5, what: "silent", count: 2},
]
