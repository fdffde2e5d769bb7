"""Deterministic simulation of whole nodes on a virtual clock and an in-memory network, from a seed.

loop             an event loop with virtual time and seeded choices, a hash of its trace, and the processes
                 that share it
network          in-memory connections: delay, jitter, segments, resets, half-closes, partitions, full buffers
host             a node's sockets, descriptors, files and clock, installed in `hollybay.proxy.system`
plan             the plan of a run: settings, servers, requests and faults, as data drawn from a seed
fault_kinds      the kinds of faults, of unusual responses and of malformed requests
fault_injection  an injector for each kind of fault
http             the HTTP/1.1 parser of the models
servers, clients, agent
                 the models of servers, clients and discovery agents, which exchange real HTTP/1.1 bytes
nodes            a node's processes, and their checks
run_context      the interface of a run for its models
oracles          the checks after every step: the four rules of the ledger, and further oracles
world            a whole run
shrink           reduces a failing plan to a minimal one
consensus_simulation
                 the services of a whole consensus group, without the rest of the node, on the same event loop
"""
