"""When a node asks discovery for the list, where one service works through the calls of all nodes in turn."""

from __future__ import annotations

__all__ = ["EACH", "first_call", "next_call"]

# The time (ns) that discovery is taken to need for one node's call. Too little, and a tier that starts at
# once keeps more calls waiting than are ever in time: those that fail for it are worked through all the same,
# and every round of repeats meets the work of the last one. Too much, and a node waits for news longer than
# it must.
EACH = 150_000_000
# First pause after a failure, and the part of the longest time without a call that the rules allow.
FIRST, MOST_PART = 500_000_000, 0.7


def first_call(place: float, nodes: int, within: int) -> int:
    """How long (ns) a node that has a list from before waits for its first call: its own turn of all nodes'.

    place: the node's, between 0 and 1 (shares.place); within: the longest time (ns) without a call that the
    rules allow, 0 for none. When all nodes start at once, as after a mass kill, none waits for another.
    """
    span = nodes * EACH
    return int(max(0.0, place - 0.5 / nodes) * (min(span, int(MOST_PART * within)) if within else span))


def next_call(failures: int, nodes: int, within: int, chance: float) -> int:
    """How long (ns) to wait after a call that failed; failures: in a row; chance: evenly drawn from 0 to 1.

    Spread over the time that all nodes' calls take, as all may have failed at once.
    """
    most = max(2 * FIRST, within // 2, nodes * EACH)
    return int(min(max(FIRST * 2 ** min(failures - 1, 16), nodes * EACH), most) * (0.5 + chance))
