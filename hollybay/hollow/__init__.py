"""Hollow nodes: what a node is to its keepers, without clients and servers, many in one process.

Each is the real protocol code (hollybay.consensus.service, the operators' listener of
hollybay.proxy.admin_server, the client of hollybay.proxy.admin_client) with an address of its own on the
loopback. What it leaves out is the data plane: it puts no policy in force at a gate, and compiles one only
where it is told to.

node       one hollow node; a keeper is one whose address stands among the keepers
wire       an event loop that counts bytes, connections and segments, and can record conversations
messages   what a process of hollow nodes is told, and what it reports
process    many of them in one process, led by lines of JSON (python -m hollybay.hollow)
fleet      several such processes: keepers and nodes, started, asked and ended
"""
