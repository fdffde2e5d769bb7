"""When a node polls discovery for the server list; one service handles the polls of all nodes in turn."""

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

# The time (ns) that discovery is assumed to need for one poll. If this is too short, nodes that start at once
# queue more polls than discovery answers in time; it handles polls that have timed out all the same, and each
# round of retries is queued behind the previous one. If it is too long, nodes get changes later than
# necessary.
POLL_SERVICE_TIME_NS = 150_000_000
# The first poll is delayed by at most this share of the longest allowed time without a poll.
MAX_FIRST_DELAY_SHARE = 0.7
# A change must reach a node within this time (ns) after discovery has it and is reachable, whichever polls
# have failed before.
MAX_STALENESS_NS = 6_000_000_000
# The timeout (ns) of a poll.
MAX_POLL_WAIT_NS = 2_200_000_000
# The first value (ns) of the exponential backoff after failures. If one poll of every node takes longer, that
# time is used instead.
FIRST_BACKOFF_NS = 250_000_000
# A poll that fails after more than this time (ns) was probably queued, and discovery still handles it.
QUEUED_FAILURE_NS = 1_500_000_000
# The longest backoff (ns) after such polls: several in a row show that the queue is too long for all nodes.
MAX_BACKOFF_NS = 8_000_000_000
# The lower bound of the random factor (up to 1) by which a backoff is multiplied.
MIN_JITTER_SHARE = 0.75


def first_poll_delay(rank: float, nodes: int, max_interval: int) -> int:
    """Return the delay (ns) of a node's first poll if it has a cached list: its turn among all nodes.

    If all nodes start at once, as after a mass restart, no poll is queued behind another.

    Parameters
    ----------
    rank
        The node's rank among all nodes, between 0 and 1 (`rendezvous_rank`).
    nodes
        The number of nodes.
    max_interval
        The longest allowed time (ns) without a poll, 0 for no limit.
    """
    span = nodes * POLL_SERVICE_TIME_NS
    if max_interval:
        span = min(span, int(MAX_FIRST_DELAY_SHARE * max_interval))
    return int(max(0.0, rank - 0.5 / nodes) * span)


def exponential_backoff(span: int, doublings: int, longest: int) -> int:
    """Return a span (ns, at least 1) after a number of doublings, but at most the longest span (ns)."""
    if doublings >= longest.bit_length():
        return longest
    return min(span << doublings, longest)


class PollSchedule:
    """The polls of one node, and the delay of the next poll after a failure.

    While discovery is unreachable, the nodes keep polling, each in its own turn, so that each gets the list
    at its first turn after discovery has recovered. Turns are spaced by the time that discovery needs for one
    poll if that fits, and a round never takes longer than MAX_STALENESS_NS less the timeout of a poll. The
    backoff exceeds this bound only where polls are queued until they time out: discovery cannot answer all
    nodes in that time, and polls that have timed out would keep it from answering any node.

    Parameters
    ----------
    rank
        The node's rank among all nodes, between 0 and 1.
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
        self.poll_started_at = -1  # -1: no poll is running, a watch is open
        self.failures = 0  # consecutive ones
        self.queued_failures = 0  # the most recent consecutive ones that took QUEUED_FAILURE_NS or longer

    def first_delay(self) -> int:
        """Return the delay (ns) of the first poll if the node has a cached list."""
        return first_poll_delay(self.rank, self.nodes, self.max_interval)

    def poll_started(self, now: int) -> None:
        """Record that a poll was started at a time (ns)."""
        self.poll_started_at = now

    def list_received(self) -> None:
        """Record that a list was received."""
        self.poll_started_at = -1
        self.failures = 0
        self.queued_failures = 0

    def poll_failed(self, now: int, jitter: float) -> int:
        """Record that a poll failed or a watch broke, and return the delay (ns) of the next poll.

        Parameters
        ----------
        now
            The time (ns).
        jitter
            A uniform random number from 0 to 1.
        """
        self.failures += 1
        watch_broke = self.poll_started_at < 0
        elapsed = 0 if watch_broke else now - self.poll_started_at
        self.queued_failures = self.queued_failures + 1 if elapsed >= QUEUED_FAILURE_NS else 0
        longest = max(FIRST_BACKOFF_NS, MAX_STALENESS_NS - MAX_POLL_WAIT_NS - elapsed)
        span = min(self.nodes * POLL_SERVICE_TIME_NS, longest)
        if watch_broke:
            return int(self.rank * span)  # the watches of all nodes may have broken at once
        span = max(span, exponential_backoff(FIRST_BACKOFF_NS, self.failures - 1, longest))
        if self.queued_failures > 1:
            span = exponential_backoff(span, self.queued_failures - 1, MAX_BACKOFF_NS)
        return int(span * (MIN_JITTER_SHARE + (1.0 - MIN_JITTER_SHARE) * jitter))
