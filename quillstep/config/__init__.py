"""Settings: records in a stated subset of CUE, checked into typed records.  See docs/operate/settings.md."""
