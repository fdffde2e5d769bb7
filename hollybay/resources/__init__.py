"""Configuration as typed, versioned resources; pure, no I/O, no clock, no global random source.

model              resources, operations on them, changes (atomic sets of operations)
digest             the digest of a resource, and the order-independent digest of a set of resources
state              all resources at one revision, as an immutable value; cost of a change: linear in its size
batch              the changes of one revision: assembled from proposals, and applied to a state
rejection_reasons  why a change is rejected, and the published texts
wire               the bounded MessagePack encoding of changes, batches and snapshots

Bodies are opaque to this package: `hollybay.routing` decodes and validates the tables that they hold.
"""
