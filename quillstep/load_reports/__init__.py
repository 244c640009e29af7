"""Ingestion of proxies' load reports: rate-limited, deduplicated, weighted by age, sampled and bounded per proxy.

See docs/reports.md.
"""
