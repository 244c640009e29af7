"""Traces of requests from the control interval to the response, and OpenTelemetry spans.  See docs/lineage.md."""
