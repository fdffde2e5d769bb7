"""When a node asks discovery for the list, where one service works through the calls of all nodes in turn."""

from __future__ import annotations

__all__ = ["CALL_MOST", "EACH", "TOLD", "Calls", "first_call"]

# The time (ns) that discovery is taken to need for one node's call. Too little, and a tier that starts at
# once keeps more calls waiting than are ever in time: those that fail for it are worked through all the same,
# and every round of repeats meets the work of the last one. Too much, and a node waits for news longer than
# it must.
EACH = 150_000_000
# The part of the longest time without a call that the rules allow.
MOST_PART = 0.7
# A change counts as told so long (ns) after discovery had it and could be reached, however calls went; and a
# call that was taken may wait for so long.
TOLD, CALL_MOST = 6_000_000_000, 2_200_000_000
# The first pause (ns) after a failure, before it grows to the node's turn among all.
FIRST = 250_000_000
# A call that failed only after so long (ns) was probably in the queue, and is worked through all the same.
QUEUED = 1_500_000_000
# The longest pause after such calls: so many in a row that fail show that the queue is too long for all.
PAUSE_MOST = 8_000_000_000


def first_call(place: float, nodes: int, within: int) -> int:
    """How long (ns) a node that has a list from before waits for its first call: its own turn of all nodes'.

    place: the node's, between 0 and 1 (shares.place); within: the longest time (ns) without a call that the
    rules allow, 0 for none. When all nodes start at once, as after a mass kill, none waits for another.
    """
    span = nodes * EACH
    return int(max(0.0, place - 0.5 / nodes) * (min(span, int(MOST_PART * within)) if within else span))


class Calls:
    """The calls of one node, and when the next one is due after one that failed.

    While discovery is away all nodes call in vain, each in its own turn, and when it is back the first turn
    of all brings the list to each: the turns are apart by what discovery needs for a call where that fits in,
    and never go on for longer than TOLD less what a call may take. Only where calls wait in the queue until
    they fail do pauses grow beyond it: then discovery cannot answer all nodes in that time, and calls on
    which their nodes gave up would keep it from answering any.

    node and nodes: the place (0 to 1) among how many; within: the longest time (ns) without a call that the
    rules allow, 0 for none.
    """

    __slots__ = ("begun", "failures", "nodes", "place", "queued", "within")

    def __init__(self, place: float, nodes: int, within: int) -> None:
        self.place, self.nodes, self.within = place, nodes, within
        self.begun = -1  # when the call that is out began, -1: it has been answered since, and waits for news
        self.failures = 0  # in a row
        self.queued = 0  # of those, so many at last that failed only after a wait

    def first(self) -> int:
        """How long (ns) the first call waits where a list from before is held."""
        return first_call(self.place, self.nodes, self.within)

    def began(self, now: int) -> None:
        """A call begins."""
        self.begun = now

    def answered(self) -> None:
        """A list has come."""
        self.begun = -1
        self.failures = self.queued = 0

    def failed(self, now: int, chance: float) -> int:
        """The call has failed, or the watch broke: how long (ns) the next one waits.

        chance: evenly drawn from 0 to 1.
        """
        self.failures += 1
        took = now - self.begun if self.begun >= 0 else 0
        self.queued = self.queued + 1 if took >= QUEUED else 0
        most = max(FIRST, TOLD - CALL_MOST - took)
        span = min(self.nodes * EACH, most)
        if self.begun < 0:
            return int(self.place * span)  # what broke one watch may have broken all of them
        span = min(max(span, FIRST << min(self.failures - 1, 6)), most)
        if self.queued > 1:
            span = min(span << min(self.queued - 1, 6), PAUSE_MOST)
        return int(span * (0.75 + 0.25 * chance))
