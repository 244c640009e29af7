"""Sockets: one thread that polls many connections, framing by length, and HTTP/1.1 as a client."""
