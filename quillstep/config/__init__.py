"""Settings: files in a documented subset of CUE, validated into typed records.  See docs/operate/settings.md."""
