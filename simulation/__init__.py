"""Seeded simulation: asyncio code on a virtual clock and a network in memory, the same from the same seed.

loop       an event loop with virtual time, whose choices are drawn from a seed, and the hash of its trace
network    connections in memory: delay, jitter, segments, resets, half-closes, partitions, full buffers
machine    the node's sockets, descriptors and clock, put in place by the seam `elderscale.system`
scene      a first scene of a whole node, its agent, servers and clients
"""
