"""Failure rates that servers report: they cover the attempts of all nodes; one node sees too few to judge."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = [
    "EXCLUSION_FAILURE_RATE",
    "EXPIRED_REPORT_DECAY",
    "REPORT_LIFETIME_NS",
    "UNSAFE_FAILURE_RATE",
    "ReportedFailures",
]

# The failure rate above which a server gets no requests that must not be retried.
UNSAFE_FAILURE_RATE = 0.1
# The failure rate from which a server is not listed as idle, and gets no requests while others are available.
EXCLUSION_FAILURE_RATE = 0.4
# How long (ns) a report is valid. A server that gets no requests sends few reports, and must be able to
# return.
REPORT_LIFETIME_NS = 4_000_000_000
# The factor by which each review reduces the failure rate of an expired report.
EXPIRED_REPORT_DECAY = 0.8
# A report with no more responses per second than this, including failures, counts as a failure rate of 0.
MIN_ANSWERS_PER_SECOND = 1.0


class ReportedFailures:
    """Reads failure rates from load reports.

    Parameters
    ----------
    fields
        The names of a report's values, in order. "errors" and "rate" (both per second) are used.
    """

    __slots__ = ("errors_field", "rate_field")

    def __init__(self, fields: Sequence[str]) -> None:
        self.errors_field = fields.index("errors") if "errors" in fields else -1
        self.rate_field = fields.index("rate") if "rate" in fields else -1

    def failure_rate(self, report: Sequence[float]) -> float | None:
        """Return failures as a share (0 to 1) of all responses; None if the report has no valid values."""
        if self.errors_field < 0 or self.rate_field < 0:
            return None
        if len(report) <= max(self.errors_field, self.rate_field):
            return None
        errors, answers = report[self.errors_field], report[self.rate_field]
        if not (errors >= 0.0 and answers >= 0.0):  # true for NaN, too
            return None
        return errors / (errors + answers) if errors + answers > MIN_ANSWERS_PER_SECOND else 0.0
