"""A node's share of all traffic, estimated without communication from the rates that servers report."""

from __future__ import annotations

from collections.abc import Sequence

from .units import SECOND

__all__ = ["TrafficShare"]

# The time (ns) over which own attempts and reports are counted: long against chance at a few requests a
# second, short against the loss of most nodes.
HORIZON_NS = 6 * SECOND
# The configured share (one of all nodes) counts as this many attempts, as a prior.
PRIOR_ATTEMPTS = 4.0
# Before this many reports the configured number of nodes is used, and a report is not limited.
MIN_REPORTS = 6
# The configured number of nodes is replaced once the estimate is off by more than DEVIATION_FACTOR for
# DEVIATION_HOLD_NS, and used again as soon as the estimate is off by less than RETURN_FACTOR. By chance, or
# while reports begin, the estimate is off for less time.
DEVIATION_FACTOR = 2.0
RETURN_FACTOR = 1.4
DEVIATION_HOLD_NS = 3 * SECOND
# The estimate is at most this many times the configured number of nodes, and at least that part of it.
MAX_FACTOR = 30.0
# One report counts as at most this many times the mean of those before, or of the least mean (requests a
# second per unit of size).
MAX_REPORT_RATIO = 4.0
MIN_MEAN_RATE = 0.1
# The number of reports over which the mean rate moves.
MEAN_REPORTS = 24
# For slow start the number of nodes is at least the configured one divided by this: all nodes may estimate
# too few at once.
SLOW_START_NODES_DIVISOR = 3.0


class TrafficShare:
    """Own attempts, relative to the requests that servers report from all nodes.

    The shares of all nodes add up to one, also when most nodes are dead, the configured number is wrong, or
    one node gets a multiple of the mean. Where reports have no rate, the configured number is used. Servers
    that report a wrong rate mislead it within MAX_FACTOR.

    Parameters
    ----------
    nodes
        The configured number of nodes.
    fields
        The names of a report's values, in order; "rate" (requests a second) is used.
    now
        The time (ns).
    """

    __slots__ = (
        "attempts",
        "configured_nodes",
        "deviating_for",
        "observed_seconds",
        "rate_field",
        "rate_per_size",
        "reports",
        "updated_at",
    )

    def __init__(self, nodes: int, fields: Sequence[str], now: int) -> None:
        self.configured_nodes = nodes
        self.rate_field = fields.index("rate") if "rate" in fields else -1
        self.deviating_for = 0  # ns for which the estimate has been off
        self.updated_at = now
        self.attempts = 0.0  # own, decaying
        self.observed_seconds = 0.0  # over which they were counted, decaying
        self.reports = 0
        self.rate_per_size = 0.0  # moving mean of reported requests a second per unit of size

    def record_attempt(self) -> None:
        """Count an attempt that this node has sent."""
        self.attempts += 1.0

    def observe_report(self, report: Sequence[float], size: float) -> None:
        """Take in a load report.

        Parameters
        ----------
        report
            The report's values; one without a valid rate is ignored.
        size
            The server's size relative to others, above 0.
        """
        if not 0 <= self.rate_field < len(report) or not report[self.rate_field] >= 0.0:
            return
        reported = report[self.rate_field] / size
        if self.reports >= MIN_REPORTS:
            reported = min(reported, MAX_REPORT_RATIO * max(self.rate_per_size, MIN_MEAN_RATE))
        self.reports += 1
        self.rate_per_size += (reported - self.rate_per_size) / min(self.reports, MEAN_REPORTS)

    def effective_nodes(self, now: int, size: float) -> float:
        """Return 1 / this node's share of all traffic: how many nodes there are, were all like this one.

        Parameters
        ----------
        now
            The time (ns).
        size
            The size of all servers together.

        Returns
        -------
        float
            At least 1.
        """
        span = max(0, now - self.updated_at)
        self.updated_at = now
        keep = max(0.0, 1.0 - span / HORIZON_NS)
        self.observed_seconds = self.observed_seconds * keep + span / SECOND
        self.attempts *= keep
        configured = self.configured_nodes
        if self.reports < MIN_REPORTS:
            return float(configured)
        total = self.rate_per_size * size * self.observed_seconds
        estimate = (total + PRIOR_ATTEMPTS * configured) / (self.attempts + PRIOR_ATTEMPTS)
        self._update_deviation(max(estimate / configured, configured / estimate), span)
        if self.deviating_for < DEVIATION_HOLD_NS:
            return float(configured)
        return max(1.0, configured / MAX_FACTOR, min(estimate, configured * MAX_FACTOR))

    def _update_deviation(self, factor: float, span: int) -> None:
        """Count the time (ns) for which the estimate has been off by a factor."""
        replaced = self.deviating_for >= DEVIATION_HOLD_NS
        limit = RETURN_FACTOR if replaced else DEVIATION_FACTOR
        self.deviating_for = self.deviating_for + span if factor > limit else 0

    def slow_start_nodes(self, nodes: float) -> float:
        """Return the number of nodes among which a starting server's budget is divided."""
        return max(nodes, self.configured_nodes / SLOW_START_NODES_DIVISOR)
