"""Settings files for tests."""

# A controller's settings with one class; tests append to it.
FLEET = """
name: "p", roster: "127.0.0.1:1"
fleet: {
  zones: ["a"]
  classes: [{name: "x", agreed_ms: 100, cut_off_ms: 200, credit: 1, semantics: "safe"}]
}
"""
