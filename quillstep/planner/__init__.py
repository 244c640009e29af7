"""Decides which endpoints the proxies use and which requests they admit, without I/O or a clock."""
