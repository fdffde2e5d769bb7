"""When a node polls discovery for the server list, where one service handles all nodes' polls in turn."""

from __future__ import annotations

__all__ = [
    "MAX_BACKOFF_NS",
    "MAX_POLL_WAIT_NS",
    "MAX_STALENESS_NS",
    "POLL_SERVICE_TIME_NS",
    "QUEUED_FAILURE_NS",
    "PollSchedule",
    "first_poll_delay",
]

# The time (ns) that discovery is assumed to need for one poll. If too short, nodes that start at once queue
# more polls than are answered in time; polls that time out are handled all the same, and each round of
# repeats meets the work of the last one. If too long, nodes wait for news longer than they must.
POLL_SERVICE_TIME_NS = 150_000_000
# The first poll waits for at most this share of the longest allowed time without a poll.
MAX_FIRST_DELAY_SHARE = 0.7
# A change must be known this long (ns) after discovery had it and was reachable, whatever polls failed.
MAX_STALENESS_NS = 6_000_000_000
# The time (ns) that a poll may wait for its answer.
MAX_POLL_WAIT_NS = 2_200_000_000
# The first backoff (ns) after a failure, before it grows to the node's turn among all.
FIRST_BACKOFF_NS = 250_000_000
# A poll that failed only after this time (ns) was probably queued, and is handled all the same.
QUEUED_FAILURE_NS = 1_500_000_000
# The longest backoff (ns) after such polls: several in a row show that the queue is too long for all.
MAX_BACKOFF_NS = 8_000_000_000
# A backoff is drawn from this share of its span to the whole.
MIN_JITTER_SHARE = 0.75


def first_poll_delay(rank: float, nodes: int, max_interval: int) -> int:
    """Return how long (ns) a node that holds a cached list waits for its first poll: its turn among all.

    When all nodes start at once, as after a mass restart, none waits behind another.

    Parameters
    ----------
    rank
        The node's rank among all, between 0 and 1 (`rendezvous_rank`).
    nodes
        The number of nodes.
    max_interval
        The longest allowed time (ns) without a poll, 0 for no limit.
    """
    span = nodes * POLL_SERVICE_TIME_NS
    if max_interval:
        span = min(span, int(MAX_FIRST_DELAY_SHARE * max_interval))
    return int(max(0.0, rank - 0.5 / nodes) * span)


def doubled(span: int, times: int, longest: int) -> int:
    """Return a span (ns, at least 1) doubled so many times, and at most the longest one (ns)."""
    if times >= longest.bit_length():
        return longest
    return min(span << times, longest)


class PollSchedule:
    """The polls of one node, and the delay of the next one after a failure.

    While discovery is away all nodes poll in vain, each in its own turn, and once it is back the next turn of
    each brings the list. Turns are spaced by what discovery needs for one poll where that fits, and never
    take longer than MAX_STALENESS_NS less the time that a poll may wait. Only where polls are queued until
    they fail does the backoff grow beyond it: discovery cannot answer all nodes in that time then, and polls
    that their nodes have given up would keep it from answering any.

    Parameters
    ----------
    rank
        The node's rank among all, between 0 and 1.
    nodes
        The number of nodes.
    max_interval
        The longest allowed time (ns) without a poll, 0 for no limit.
    """

    __slots__ = ("failures", "max_interval", "nodes", "poll_started_at", "queued_failures", "rank")

    def __init__(self, rank: float, nodes: int, max_interval: int) -> None:
        self.rank = rank
        self.nodes = nodes
        self.max_interval = max_interval
        self.poll_started_at = -1  # -1: answered, and a watch is open
        self.failures = 0  # in a row
        self.queued_failures = 0  # the last of them that failed only after a wait

    def first_delay(self) -> int:
        """Return how long (ns) the first poll waits where a cached list is held."""
        return first_poll_delay(self.rank, self.nodes, self.max_interval)

    def poll_started(self, now: int) -> None:
        """Record that a poll began at a time (ns)."""
        self.poll_started_at = now

    def list_received(self) -> None:
        """Record that a list has come."""
        self.poll_started_at = -1
        self.failures = 0
        self.queued_failures = 0

    def poll_failed(self, now: int, chance: float) -> int:
        """Record that a poll failed or a watch broke, and return the delay (ns) of the next poll.

        Parameters
        ----------
        now
            The time (ns).
        chance
            A uniform random number from 0 to 1.
        """
        self.failures += 1
        watch_broke = self.poll_started_at < 0
        elapsed = 0 if watch_broke else now - self.poll_started_at
        self.queued_failures = self.queued_failures + 1 if elapsed >= QUEUED_FAILURE_NS else 0
        longest = max(FIRST_BACKOFF_NS, MAX_STALENESS_NS - MAX_POLL_WAIT_NS - elapsed)
        span = min(self.nodes * POLL_SERVICE_TIME_NS, longest)
        if watch_broke:
            return int(self.rank * span)  # what broke one watch may have broken all of them
        span = max(span, doubled(FIRST_BACKOFF_NS, self.failures - 1, longest))
        if self.queued_failures > 1:
            span = doubled(span, self.queued_failures - 1, MAX_BACKOFF_NS)
        return int(span * (MIN_JITTER_SHARE + (1.0 - MIN_JITTER_SHARE) * chance))
