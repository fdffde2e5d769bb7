"""What servers tell of their failures: they see those of all nodes, one node too few to judge."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["BAD", "FADE", "FAILING", "SPAN", "Failures"]

# Share of failures from which a server gets nothing that must not be repeated.
FAILING = 0.1
# The share from which it gets nothing at all while others are there, and is not taken for idle.
BAD = 0.4
# For how long (ns) a report counts: a server that is avoided sends few new ones, and must be able to return.
SPAN = 4_000_000_000
# What each review leaves of the share after that.
FADE = 0.8
# Answers a second, failures included, of which a report must be made to tell anything.
LEAST = 1.0


class Failures:
    """Reads the share of failures from reports whose fields stand in the order of the settings."""

    __slots__ = ("errors", "rate")

    def __init__(self, fields: Sequence[str]) -> None:
        self.errors = fields.index("errors") if "errors" in fields else -1
        self.rate = fields.index("rate") if "rate" in fields else -1

    def share(self, report: Sequence[float]) -> float | None:
        """Failures as a share of all answers; None where the report does not say, or says what cannot be."""
        if self.errors < 0 or self.rate < 0 or len(report) <= max(self.errors, self.rate):
            return None
        errors, served = report[self.errors], report[self.rate]
        if not (errors >= 0.0 and served >= 0.0):
            return None
        return errors / (errors + served) if errors + served > LEAST else 0.0
