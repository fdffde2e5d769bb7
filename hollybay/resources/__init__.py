"""Configuration as typed, versioned resources; pure, no I/O, no clock, no global random source.

model   a resource, an operation on one, a change (an atomic set of operations), why a change is refused
digest  the digest of a resource, and the order-free digest of a set of them
state   all resources at one revision, as a persistent value; changes cost what they change
batch   the changes of one revision; how a batch is assembled from proposals and how it is followed
log     the last batches, and whether a reader is served by a delta or needs a snapshot
wire    the bounded MessagePack form of changes, batches and snapshots

A body is opaque here: `routing` knows the tables that bodies hold and whether they keep the four rules.
"""
