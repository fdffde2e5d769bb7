"""Seeded simulation: asyncio code on a virtual clock and a network in memory, the same from the same seed.

loop       an event loop with virtual time, whose choices are drawn from a seed, and the hash of its trace
network    connections in memory: delay, jitter, segments, resets, half-closes, partitions, full buffers

What is built so far carries protocols and streams (`create_connection`, `create_server`). The node's raw
sockets, its clock and its questions to the kernel are not yet behind a seam: see docs/ROADMAP.md.
"""
