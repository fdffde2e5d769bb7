"""Soak of ends: real node processes that are told to end while clients use every open connection.

`python -m hollybay.testbed.soak 0..49` plays seeds; each prints its plan and what it broke.

    plan        one run, drawn from a seed
    ledger      the rules that concern closed connections and clients that have left, beside the four
    clients     clients that send on every open connection until it ends
    crowd       idle clients up to the node's descriptors
    node        node processes: signals, exit status, log, descriptors and memory
    run         plays a plan and judges it
"""
