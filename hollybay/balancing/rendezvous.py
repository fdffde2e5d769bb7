"""Rendezvous hashing: which nodes own a server, computed alike by all nodes without communication."""

from __future__ import annotations

from zlib import crc32

__all__ = ["rendezvous_rank"]

# Odd multipliers that spread node numbers over 32 bits, and the part of the product that is compared.
NODE_MULTIPLIER = 0x9E3779B1
HASH_MULTIPLIER = 0x85EBCA6B
HASH_SHIFT_BITS = 7
HASH_MASK = 0xFFFFFF


def rendezvous_rank(key: object, node: int, nodes: int) -> float:
    """Return a node's rank among all nodes in the order that a key's hash gives them.

    Any interval of ranks holds the same number of nodes for each key, give or take one. Were ranks drawn at
    random by each node, some servers would be owned by most nodes and some by none. Adding or removing a
    server changes no rank for the others; one node more shifts a rank by one position at most.

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
