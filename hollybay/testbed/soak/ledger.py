"""The ledger of a soak: rules on closed connections and on clients that have left, beside the four."""

from __future__ import annotations

from hollybay.testbed.ledger import FinalOutcome, Ledger, RuleLimits, ServerStart, Verdict, Violation
from hollybay.units import MS

__all__ = ["SoakLedger"]

# No attempt may begin later than 0.1 s after its client has gone; 50 ms are for the clocks.
LEFT_GRACE_NS = 150 * MS


class SoakLedger(Ledger):
    """What happened in one run."""

    def __init__(self, limits: RuleLimits) -> None:
        super().__init__(limits)
        self.left_at: dict[str, int] = {}
        self.closed: set[str] = set()

    def left(self, request_id: str, at: int) -> None:
        """The client of a request has closed its connection."""
        self.requests[request_id].excused = True
        self.left_at[request_id] = at

    def closed_unread(self, request_id: str) -> None:
        """The node closed a connection in the moment in which a request was sent on it."""
        self.requests[request_id].excused = True
        self.closed.add(request_id)

    def broke_off(self, request_id: str, at: int, how: str) -> None:
        """The node closed a connection before the answer of a request that it had time to read."""
        self.answered(request_id, FinalOutcome.BROKEN, at)
        self.requests[request_id].excused = True  # told here, with how
        self.violations.append(Violation("lost", request_id, how))

    def arrived(
        self, rid: str, start: ServerStart, at: int, zone: int, cell: int, work: int, runs: bool
    ) -> None:
        """Note an attempt; none may begin for a client that has gone."""
        left_at = self.left_at.get(rid)
        if left_at is not None and at > left_at + LEFT_GRACE_NS:
            late_ms = (at - left_at) / MS
            self.violations.append(Violation("left", rid, f"sent {late_ms:.0f} ms after its client had left"))
        super().arrived(rid, start, at, zone, cell, work, runs)

    def check(self) -> Verdict:
        """Decide all rules over the run: what crossed a close was read by nobody."""
        sent_on = [
            Violation("closed", rid, "its connection was closed with no answer, and it was sent on")
            for rid in sorted(self.closed)
            if self.requests[rid].arrived
        ]
        return Verdict((*super().check().violations, *sent_on))
