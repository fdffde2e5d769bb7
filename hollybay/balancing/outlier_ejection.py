"""Outlier ejection: for a time, no requests go to servers that fail more than others or do not respond.

An ejected server is on probation until it responds. Ejection ends early if responses to attempts that were
already in flight show that the server is healthy.
"""

from __future__ import annotations

from .interface import Result
from .state import TrackedAttempt, TrackedServer
from .units import SECOND

__all__ = ["FIRST_EJECTION_NS", "OutlierEjector"]

# The duration (ns) of a server's first ejection; it doubles with each further one, up to the longest.
FIRST_EJECTION_NS = SECOND
MAX_EJECTION_NS = 8 * SECOND
# The weight of one result in a server's failure rate, and in that of all servers.
FAILURE_WEIGHT = 0.2
OVERALL_FAILURE_WEIGHT = 0.01
# A server is an outlier if its failure rate is at least EJECTION_FAILURE_RATE and more than
# EJECTION_FAILURE_RATIO times that of all servers: if all fail alike, ejecting one does not help.
EJECTION_FAILURE_RATE = 0.45
EJECTION_FAILURE_RATIO = 2.0
# Below this failure rate the ejection of a server that responds ends at once.
HEALTHY_FAILURE_RATE = 0.3
# The number of consecutive timeouts, without a response in between, after which a server counts as
# unresponsive.
MAX_CONSECUTIVE_TIMEOUTS = 3


class OutlierEjector:
    """Maintains the servers' failure rates, and decides which server to eject.

    Parameters
    ----------
    unresponsive_after
        The minimum time (ns) since a server's last response from which timeouts count as failures.

    Attributes
    ----------
    failure_rate
        The moving share (0 to 1) of attempts that fail, over all servers.
    """

    __slots__ = ("failure_rate", "unresponsive_after")

    def __init__(self, unresponsive_after: int) -> None:
        self.unresponsive_after = unresponsive_after
        self.failure_rate = 0.0

    def observe_success(self, server: TrackedServer, now: int) -> None:
        """Record a complete response that was received at a time (ns)."""
        self.failure_rate *= 1.0 - OVERALL_FAILURE_WEIGHT
        server.failure_rate *= 1.0 - FAILURE_WEIGHT
        if server.failure_rate < HEALTHY_FAILURE_RATE:
            # A server that is still ejected responded to attempts that were in flight at its ejection: its
            # failures were random.
            server.ejected_until = min(server.ejected_until, now)
        if server.ejected_until <= now:
            server.next_ejection = FIRST_EJECTION_NS
            server.on_probation = False
        server.consecutive_timeouts = 0
        server.last_answer_at = now

    def observe_failure(
        self, server: TrackedServer, attempt: TrackedAttempt, result: Result, now: int
    ) -> bool:
        """Record a failed attempt, other than a rejection.

        Parameters
        ----------
        server
            The server.
        attempt
            The attempt.
        result
            How it ended.
        now
            The time (ns).

        Returns
        -------
        bool
            Whether the server has to be ejected.
        """
        if result == Result.TIMEOUT:
            server.consecutive_timeouts += 1
            if not self._is_unresponsive(server, now) and not server.on_probation:
                return False
        self.failure_rate += OVERALL_FAILURE_WEIGHT * (1.0 - self.failure_rate)
        server.failure_rate += FAILURE_WEIGHT * (1.0 - server.failure_rate)
        if not self._is_outlier(server, attempt, now):
            return False
        server.ejected_until = now + server.next_ejection
        server.next_ejection = min(2 * server.next_ejection, MAX_EJECTION_NS)
        server.on_probation = True
        return True

    def _is_unresponsive(self, server: TrackedServer, now: int) -> bool:
        """Whether timeouts count as failures: an overloaded server responds to some, a dead one to none."""
        return (
            server.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and now - server.last_answer_at >= self.unresponsive_after
        )

    def _is_outlier(self, server: TrackedServer, attempt: TrackedAttempt, now: int) -> bool:
        if server.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            return True
        if server.on_probation:
            # Only attempts sent since the end of its ejection provide new evidence.
            return attempt.sent_at >= server.ejected_until
        rate = server.failure_rate
        if rate < EJECTION_FAILURE_RATE or rate <= EJECTION_FAILURE_RATIO * self.failure_rate:
            return False
        # The server's own report is better evidence than the few responses that this node gets.
        return server.reported_failure_rate >= EJECTION_FAILURE_RATE or server.reported_failure_until <= now
