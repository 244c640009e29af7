"""Load reports of many proxies: read within a budget, counted once, aged, sampled, bounded.  See docs/reports.md."""
