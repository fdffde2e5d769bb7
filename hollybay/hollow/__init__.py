"""Hollow nodes: light stand-ins of nodes that take part in the consensus group, many in one process.

A hollow node runs the real protocol code (hollybay.consensus.service, the admin server of
hollybay.proxy.admin_server, the client of hollybay.proxy.admin_client) at its own loopback address. It has
no data plane: it has no clients and servers, applies policies to no traffic, and compiles them only if it is
told to.

node           a hollow node; it is a voter if its address is among the voters'
traffic_meter  an event loop that counts bytes, connections and segments, and can record conversations
messages       commands to a process of hollow nodes, and its replies
process        a process of hollow nodes, controlled by lines of JSON (python -m hollybay.hollow)
fleet          starts and controls several such processes of voters and nodes
meter          CPU time, memory and lateness of the measuring process
"""
