"""One policy at every node or at none: the pure core, and what is on disk before it is said.

policy   a policy as a thing: bytes, servers out by hand, version, digest, parent
record   what a node or keeper has said, as bytes that tell whether they are whole
store    a file of such bytes, in two generations; the thin edge
"""
