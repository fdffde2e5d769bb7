"""A node's share of all traffic, estimated without communication from the rates that servers report."""

from __future__ import annotations

from collections.abc import Sequence

from .units import SECOND

__all__ = ["TrafficShare"]

# The time (ns) over which this node's attempts and the reports are counted: long enough to average out chance
# at a few requests a second, short enough to follow the loss of most nodes.
HORIZON_NS = 6 * SECOND
# The prior: the share by the configured number of nodes has the weight of this many attempts.
PRIOR_ATTEMPTS = 4.0
# With fewer reports than this, the configured number of nodes is used, and no report is limited.
MIN_REPORTS = 6
# The estimate replaces the configured number of nodes once it differs by more than DEVIATION_FACTOR for
# DEVIATION_HOLD_NS, until it differs by no more than RETURN_FACTOR. Deviations by chance, or because reports
# have only just begun, are shorter.
DEVIATION_FACTOR = 2.0
RETURN_FACTOR = 1.4
DEVIATION_HOLD_NS = 3 * SECOND
# The estimate is between the configured number of nodes divided by this factor and that number times it.
MAX_FACTOR = 30.0
# A report counts as at most MAX_REPORT_RATIO times the mean of earlier ones, which counts as at least
# MIN_MEAN_RATE (requests a second per unit of size).
MAX_REPORT_RATIO = 4.0
MIN_MEAN_RATE = 0.1
# The number of reports that the moving mean of the rate covers.
MEAN_REPORTS = 24
# For slow start, the number of nodes is at least the configured one divided by this, because all nodes may
# underestimate it at the same time.
SLOW_START_NODES_DIVISOR = 3.0


class TrafficShare:
    """The attempts of this node, relative to the requests from all nodes that servers report.

    The shares of all nodes add up to 1, even if most nodes are down, the configured number is wrong, or one
    node gets several times the mean traffic. Without a rate in the reports, the configured number is used.
    Servers that report a wrong rate cause an error by at most the factor MAX_FACTOR.

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
        self.deviating_for = 0  # ns for which the estimate has deviated
        self.updated_at = now
        self.attempts = 0.0  # decaying count of this node's attempts
        self.observed_seconds = 0.0  # decaying time over which they were counted
        self.reports = 0
        self.rate_per_size = 0.0  # moving mean of reported requests a second per unit of size

    def record_attempt(self) -> None:
        """Count an attempt of this node."""
        self.attempts += 1.0

    def observe_report(self, report: Sequence[float], size: float) -> None:
        """Update the mean rate from a load report.

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
        """Return 1 / this node's share of all traffic: the number of nodes if all were like this one.

        Parameters
        ----------
        now
            The time (ns).
        size
            The total size of all servers.

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
        """Update the time (ns) for which the estimate has deviated, given the present factor of deviation."""
        replaced = self.deviating_for >= DEVIATION_HOLD_NS
        limit = RETURN_FACTOR if replaced else DEVIATION_FACTOR
        self.deviating_for = self.deviating_for + span if factor > limit else 0

    def slow_start_nodes(self, nodes: float) -> float:
        """Return the number of nodes that share a starting server's budget."""
        return max(nodes, self.configured_nodes / SLOW_START_NODES_DIVISOR)
