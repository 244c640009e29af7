"""Which table served a request: its trace from a control interval to the response, and spans.  See docs/lineage.md."""
