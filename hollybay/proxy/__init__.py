"""A real node round the decision module: HTTP/1.1 on real sockets, every decision left to lynxrouter."""
