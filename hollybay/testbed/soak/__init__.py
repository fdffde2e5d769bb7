"""Soak test of the shutdown: real node processes get signals while clients use every open connection.

`python -m hollybay.testbed.soak 0..49` runs these seeds; each prints its plan and its violations.

    plan          the plan of a run, drawn from a seed
    ledger        adds rules on closed connections and disconnected clients to the four rules
    clients       clients that send on every connection until it closes
    idle_clients  idle clients, more than the node's file descriptors
    run           runs a plan and checks the rules
"""
