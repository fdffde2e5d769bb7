"""A real node: HTTP/1.1 on real sockets, with every decision left to `hollybay.balancing`."""
