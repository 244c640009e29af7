"""The xDS front: discovery streams (delta and state-of-the-world) and load reports as gRPC over HTTP/2."""
