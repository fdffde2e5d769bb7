"""Ledger of the soak test: adds rules on closed connections and disconnected clients to the four rules."""

from __future__ import annotations

from hollybay.testbed.ledger import FinalOutcome, Ledger, RuleLimits, ServerStart, Verdict, Violation
from hollybay.units import MS

__all__ = ["SoakLedger"]

# No attempt may start later than 0.1 s after its client disconnected, plus 50 ms tolerance for the clocks.
DISCONNECT_GRACE_NS = 150 * MS


class SoakLedger(Ledger):
    """The event log of a soak run."""

    def __init__(self, limits: RuleLimits) -> None:
        super().__init__(limits)
        self.disconnected_at: dict[str, int] = {}
        self.closed: set[str] = set()

    def left(self, request_id: str, at: int) -> None:
        """Record that the client of a request closed its connection."""
        self.requests[request_id].excused = True
        self.disconnected_at[request_id] = at

    def closed_unread(self, request_id: str) -> None:
        """Record that the node closed a connection before it could read this request."""
        self.requests[request_id].excused = True
        self.closed.add(request_id)

    def response_broken(self, request_id: str, at: int, how: str) -> None:
        """Record that the node closed a connection before the response to a request that it could read."""
        self.answered(request_id, FinalOutcome.BROKEN, at)
        self.requests[request_id].excused = True  # reported here, with details, and not again by check()
        self.violations.append(Violation("lost", request_id, how))

    def arrived(
        self, rid: str, start: ServerStart, at: int, zone: int, cell: int, work: int, runs: bool
    ) -> None:
        """Record an attempt; none may start for a client that has disconnected."""
        disconnected_at = self.disconnected_at.get(rid)
        if disconnected_at is not None and at > disconnected_at + DISCONNECT_GRACE_NS:
            late_ms = (at - disconnected_at) / MS
            self.violations.append(
                Violation("left", rid, f"attempt sent {late_ms:.0f} ms after its client disconnected")
            )
        super().arrived(rid, start, at, zone, cell, work, runs)

    def check(self) -> Verdict:
        """Check all rules; a request on a connection that was closed unread must not reach a server."""
        sent_on = [
            Violation("closed", rid, "its connection was closed without a response, but an attempt was sent")
            for rid in sorted(self.closed)
            if self.requests[rid].arrived
        ]
        return Verdict((*super().check().violations, *sent_on))
