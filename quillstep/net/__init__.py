"""Sockets for many peers: one poller, which is handed the protocol's codec."""
