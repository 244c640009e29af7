"""Networking: a poller that serves many connections in one thread, length-prefixed framing, and an HTTP/1.1 client."""
