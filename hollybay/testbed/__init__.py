"""Scripted stand-ins for what is outside the node, and the ledger over which the four rules are decided.

loopback   a node in this process, with servers and a discovery that a test scripts byte by byte
world      the decision module alone, with a driver that keeps its books
rules      the four rules as pure functions, used by world and by the ledger
ledger     what happened to each request, server and list, and the verdict over it
fleet      modelled HTTP servers: speed, slots, queue, cold start, connection cap, crash, cut, drain
agent      the discovery agent of the platform's protocol
callers    clients that note each attempt and each answer in the ledger
process    a real node as a process of its own
"""
