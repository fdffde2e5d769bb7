"""Upstream side of the node: attempts, connections to servers, and their pools."""
