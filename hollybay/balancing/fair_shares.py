"""Shares by the number of nodes. No node talks to another: each computes its own from what all are told."""

from __future__ import annotations

from zlib import crc32

__all__ = ["COLD_PART", "cold_gap", "heed", "place"]

# Part of the budget of a cold server (the rule's multiple of its present capacity) that all nodes together
# plan to use. It is above what the server can do at its age at the least, as it often does more; the rest is
# slack for chance, for uneven traffic, and for what a request adds being taken for too little.
COLD_PART = 0.4

# Weight of one answer in what a node learns of lateness: such that answers of HEED_SPAN seconds decide,
# within bounds, as one answer is no evidence. With a fixed number of answers a node that gets few of them
# hears of a jam seconds late, and of its end as late again.
HEED_SPAN, HEED_LEAST, HEED_MOST = 0.5, 0.02, 0.1


def place(server: object, node: int, nodes: int) -> float:
    """The place of a node, between 0 and 1, in the order of all nodes that a server's id draws.

    Any part of that range is held by the same number of nodes at each server, give or take one; drawn by each
    node for itself, some servers would be everybody's and some nobody's. One server more or less moves
    nothing at the others; one node more shifts a place by one at most.
    """
    base = crc32(repr(server).encode())
    drawn = [((base ^ (n * 0x9E3779B1)) * 0x85EBCA6B >> 7) & 0xFFFFFF for n in range(nodes)]
    mine = (drawn[node], node)
    return (sum((other, n) < mine for n, other in enumerate(drawn)) + 0.5) / nodes


def cold_gap(work: float, size: float, warmth: float, multiple: float, nodes: float) -> int:
    """The time (ns) between two requests of one node to a server that is cold.

    work: ns that a request takes at size 1; size: the server's when warm; warmth: the share of it that it
    has now, at the least; multiple: of the rule on cold servers; nodes: among how many it is
    dealt. A part of less than one request becomes a longer gap, never a request of each node.
    """
    return int(work / size / (COLD_PART * multiple * warmth / nodes))


def heed(rate: float) -> float:
    """The weight of one answer in running means, for a node with so many requests a second."""
    return max(HEED_LEAST, min(HEED_MOST, 1.0 / (HEED_SPAN * max(rate, 1.0))))
