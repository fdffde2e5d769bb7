"""Seeded simulation: whole nodes on a virtual clock and a network in memory, the same from the same seed.

loop       an event loop with virtual time, whose choices are drawn from a seed, the hash of its trace, and
           processes of their own on it
network    connections in memory: delay, jitter, segments, resets, half-closes, partitions, full buffers
machine    a node's sockets, descriptors, files and clock, put in place by the seam `hollybay.proxy.system`
plan       what a run plays, as data drawn from a seed
kinds      the kinds of faults, of spoilt answers and of wrong requests
strikes    what each kind of fault does
http       messages as the models read them
servers, clients, agent   the models that speak real bytes
watch      the checks after every step: the four rules, and the oracles beside them
world      a whole run
shrink     a failing plan cut down to what it takes to fail
consensus_simulation   the services of an accord alone, a whole tier of them, on the same event loop
"""
