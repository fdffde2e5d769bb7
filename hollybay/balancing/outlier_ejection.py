"""Outlier ejection: servers that fail far more than the others, or do not answer, are left out for a time.

An ejected server is on probation until it answers. Ejection ends early where answers to attempts that were in
flight show that it is healthy.
"""

from __future__ import annotations

from .interface import Result
from .state import TrackedAttempt, TrackedServer
from .units import SECOND

__all__ = ["FIRST_EJECTION_NS", "OutlierEjector"]

# The duration (ns) of a server's first ejection; it doubles up to the longest.
FIRST_EJECTION_NS = SECOND
MAX_EJECTION_NS = 8 * SECOND
# The weight of one result in a server's failure rate, and in that of all servers.
FAILURE_WEIGHT = 0.2
OVERALL_FAILURE_WEIGHT = 0.01
# A server is an outlier from this failure rate on, if it also fails this many times as often as all servers:
# a cause that they share is not the server's fault.
EJECTION_FAILURE_RATE = 0.45
EJECTION_FAILURE_RATIO = 2.0
# Below this failure rate an ejected server that answers is taken back at once.
HEALTHY_FAILURE_RATE = 0.3
# Timeouts in a row, with no answer between, after which a server does not answer at all.
MAX_CONSECUTIVE_TIMEOUTS = 3


class OutlierEjector:
    """Keeps the servers' failure rates, and says which server to eject.

    Parameters
    ----------
    unresponsive_after
        The least time (ns) since a server's last answer before timeouts count as failures.

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
        """Record a full answer that came at a time (ns)."""
        self.failure_rate *= 1.0 - OVERALL_FAILURE_WEIGHT
        server.failure_rate *= 1.0 - FAILURE_WEIGHT
        if server.failure_rate < HEALTHY_FAILURE_RATE:
            # Answers to what was in flight when it was ejected: it failed by chance.
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
            Whether the server is ejected now.
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
        """Whether timeouts are failures: an overloaded server still answers some, a dead one none."""
        return (
            server.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and now - server.last_answer_at >= self.unresponsive_after
        )

    def _is_outlier(self, server: TrackedServer, attempt: TrackedAttempt, now: int) -> bool:
        if server.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            return True
        if server.on_probation:
            # Only what was sent since it was ejected tells anything new.
            return attempt.sent_at >= server.ejected_until
        rate = server.failure_rate
        if rate < EJECTION_FAILURE_RATE or rate <= EJECTION_FAILURE_RATIO * self.failure_rate:
            return False
        # A report of the server is better evidence than this node's few answers.
        return server.reported_failure_rate >= EJECTION_FAILURE_RATE or server.reported_failure_until <= now
