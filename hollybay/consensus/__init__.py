"""A replicated configuration log: epochs decided by quorums of voters, and leases on them.

core, acceptor, leaseholder, proposer   the protocol; no I/O
policy, log                             a policy as an entry of the log; the log on disk
service                                 one process's part: joins the roles and routes requests
model_check                             searches what the protocol can do for violations of the guarantee

Published names differ: on the wire, on disk and for operators a voter is a keeper, an address a door,
bootstrap is found, the joint stage NARROW, grace is late, and decided is know.
"""
