"""Readers of load reports: a thread of the controller, or processes of their own; sockets and pipes."""
