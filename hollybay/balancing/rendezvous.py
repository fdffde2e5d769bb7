"""Rendezvous hashing: all nodes compute alike, without communication, which nodes own a server."""

from __future__ import annotations

from zlib import crc32

__all__ = ["rendezvous_rank"]

# Odd multipliers that spread node numbers over 32 bits, and the bits of the product that are compared.
NODE_MULTIPLIER = 0x9E3779B1
HASH_MULTIPLIER = 0x85EBCA6B
HASH_SHIFT_BITS = 7
HASH_MASK = 0xFFFFFF


def rendezvous_rank(key: object, node: int, nodes: int) -> float:
    """Return a node's rank in the order of all nodes that is given by a hash of the key and the node.

    For every key, an interval of ranks contains the same number of nodes, plus or minus one. If each node
    drew its ranks at random, some servers would be owned by most nodes and some by none. Adding or removing a
    server does not change the ranks of other servers; an additional node shifts a rank by at most one
    position.

    Parameters
    ----------
    key
        A server's id, or any name; its `repr` is hashed.
    node
        The node's number, from 0.
    nodes
        The number of nodes.

    Returns
    -------
    float
        Between 0 and 1: (position + 0.5) / nodes.
    """
    base = crc32(repr(key).encode())
    hashes = [
        ((base ^ (other * NODE_MULTIPLIER)) * HASH_MULTIPLIER >> HASH_SHIFT_BITS) & HASH_MASK
        for other in range(nodes)
    ]
    own = (hashes[node], node)
    return (sum((value, other) < own for other, value in enumerate(hashes)) + 0.5) / nodes
