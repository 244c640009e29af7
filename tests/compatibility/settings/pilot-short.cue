// Only what must be told.
name: "pilot-1"
roster: "127.0.0.1:7002"
fleet: {
	zones: ["a"]
	classes: [{name: "lookup", agreed_ms: 400, cut_off_ms: 1200, credit: 1, semantics: "safe"}]
}
