"""The streaming front: xDS (delta and state of the world), load reports, over HTTP/2 on blocking sockets."""
