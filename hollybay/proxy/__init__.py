"""Proxy node: HTTP/1.1 over TCP. All balancing decisions are made by `hollybay.balancing`."""
