"""Checks after every step: the rules of the ledger, and further oracles.

Each oracle is a function of plain values that returns a description of the violation, or None; the models
call it with what they observe. `OracleLedger` is the ledger of a run. It reports violations at once, whereas
that of `testbed` reports them at the end.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from hollybay.testbed import rules
from hollybay.testbed.ledger import FinalOutcome, Ledger, RequestEntry, RuleLimits, ServerStart, Violation
from hollybay.units import MS, SECOND

__all__ = [
    "ORACLES",
    "OracleLedger",
    "address_violation",
    "after_disconnect_violation",
    "answer_violation",
    "attempt_violation",
    "budget_violation",
    "connect_violation",
    "header_violation",
    "idle_violation",
    "leak_violation",
    "retry_after_violation",
    "status_violation",
    "time_left_violation",
]


# The violations that each oracle reports, by its name. The four rules come first.
ORACLES = {
    "lost": "no final response, two of them, a late one, or one that no server made",
    "dup": "a repeated effect, more attempts than allowed, or a rejection of a request that may have run",
    "drain": "a request sent after the drain grace period of its server",
    "cold": "more work sent by all nodes to a server in slow start than it can handle",
    "bytes": "an invalid message from the node, or bytes that belong to no message",
    "body": "a request body that differs from the client's",
    "head": "a header that was not removed, changed or forwarded as it must be",
    "time": "a server was sent a longer time left than the client has",
    "address": "an attempt at an address that is not on the node's current list",
    "idle": "a connection used or kept longer than its server's idle timeout",
    "connect": "a connect that took longer than its timeout",
    "left": "an attempt sent for a client that has disconnected",
    "status": "a malformed request with a wrong status in response",
    "retry": "a Retry-After outside of what the settings allow",
    "route": "more attempts than the operator file allows a route",
    "config": "an operator file in force that violates a rule",
    "budget": "a budget, a count or the descriptors exceed their limits",
    "records": "servers, idle index and attempts of the balancer are inconsistent after an event",
    "accounts": "a count of the node differs from what it stands for",
    "rest": "resources still in use when idle, or after the end",
    "live": "no request of a class is served at a node after the faults have ended",
    "process": "an unhandled exception, or a node that ended without a signal",
}


def answer_violation(body: bytes, made: dict[bytes, bytes]) -> str | None:
    """Check that a server made a 200 response's body for this request; made: its bodies, by first line."""
    first = body.partition(b"\n")[0]
    whole = made.get(first)
    if whole is None:
        return f"body made by no server: {first[:60]!r}"
    if whole != body:
        return f"got {len(body)} bytes of body, expected the server's {len(whole)}"
    return None


def address_violation(listed: bool, since: int | None, now: int, grace: int) -> str | None:
    """Check the address of an attempt; since (ns): when it was removed from the node's list."""
    if listed:
        return None
    if since is None:
        return "an address that was never on the node's list"
    if now > since + grace:
        return f"an address that was removed from the node's list {(now - since) / SECOND:.3f} s ago"
    return None


def attempt_violation(attempts: int, limit: int) -> str | None:
    """Check the number of attempts of a request."""
    return f"{attempts} attempts, {limit} allowed" if attempts > limit else None


def time_left_violation(declared_ms: int | None, left: int, slack: int) -> str | None:
    """Check the time left that a server was sent; left (ns): the client's, when the first byte arrived."""
    if declared_ms is None:
        return "no valid X-Time-Left-Ms"
    if declared_ms < 1 or declared_ms * MS > left + slack:
        return f"X-Time-Left-Ms is {declared_ms}, the client has {left / MS:.1f} ms left"
    return None


def after_disconnect_violation(disconnected_at: int | None, now: int, slack: int) -> str | None:
    """Check that no attempt arrives for a client that disconnected at a time (ns)."""
    if disconnected_at is None or now <= disconnected_at + slack:
        return None
    return f"arrived {(now - disconnected_at) / MS:.1f} ms after its client disconnected"


def idle_violation(idle_time: float, limit: float) -> str | None:
    """Check the idle time (s) of a connection."""
    return f"idle for {idle_time:.3f} s, {limit:.3f} s allowed" if idle_time > limit + 1e-6 else None


def connect_violation(duration: float, limit: float, slack: float = 0.005) -> str | None:
    """Check the duration (s) of a connect."""
    return f"a connect of {duration:.3f} s, {limit:.3f} s allowed" if duration > limit + slack else None


def status_violation(status: int, right: tuple[int, ...]) -> str | None:
    """Check the status of the response to a malformed request."""
    return f"got status {status}, expected {' or '.join(map(str, right))}" if status not in right else None


def retry_after_violation(value: bytes | None, limit: int) -> str | None:
    """Check a Retry-After; most: the longest that the settings allow (ns), 0: none is allowed."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return f"Retry-After is no number: {value[:20]!r}"
    if not 0.0 < seconds * SECOND <= limit + MS:
        return f"Retry-After of {seconds:.3f} s, at most {limit / SECOND:.3f} s allowed"
    return None


def header_violation(
    headers: list[tuple[bytes, bytes]], never: frozenset[bytes], once: tuple[bytes, ...]
) -> str | None:
    """Check forwarded headers: `never` must not be among them, each of `once` must occur exactly once."""
    names = [name for name, _ in headers]
    for name in names:
        if name in never:
            return f"{name.decode()} was forwarded"
    for name in once:
        if names.count(name) != 1:
            return f"{name.decode()} occurs {names.count(name)} times, expected once"
    return None


def budget_violation(counts: dict[str, tuple[int, int]]) -> str | None:
    """Check the resources of a node: those in use and their limit, by name."""
    for name, (used, limit) in counts.items():
        if not 0 <= used <= limit:
            return f"{used} {name}, {limit} allowed"
    return None


def leak_violation(counts: dict[str, int]) -> str | None:
    """Check that no resource is in use."""
    left = [f"{count} {name}" for name, count in counts.items() if count]
    return ", ".join(left) or None


class OracleLedger(Ledger):
    """The ledger of a simulated run. `found` has the violations so far; `clock` returns the time (ns).

    check_step() is called after every step and reports overdue responses.
    """

    def __init__(self, limits: RuleLimits, clock: Callable[[], int]) -> None:
        super().__init__(limits)
        self.clock = clock
        self.found: list[Violation] = []
        self.write_trace: Callable[[str], None] = lambda text: None  # adds a line to the trace
        self.accepted: Callable[[str], bool] = lambda rid: True  # whether a node has read the whole request
        self.disconnected_at: dict[str, int] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._windows: dict[int, rules.ColdWindow] = {}
        self._told_ready_at: dict[tuple[str, str], int] = {}  # by node and server: when it was last told

    def report(self, rule: str, subject: str, reason: str | None) -> None:
        """Record the violation that an oracle returned, if any."""
        if reason is not None:
            self.write_trace(f"! {rule}: {subject}: {reason}")
            self.found.append(Violation(rule, subject, reason))

    def asked(self, rid: str, cls: int, at: int, deadline: int, tenant: str = "") -> RequestEntry:
        self.write_trace(f"? {rid} class {self.limits.classes[cls].name}")
        entry = super().asked(rid, cls, at, deadline, tenant)
        self.deadline(rid, deadline)
        return entry

    def deadline(self, rid: str, deadline: int) -> None:
        """Set the deadline (ns) of a request's client."""
        self.requests[rid].deadline = deadline
        heapq.heappush(self._deadlines, (deadline + self.limits.late + 1, rid))

    def left(self, rid: str) -> None:
        """Record that a client has disconnected: it gets no response, and no further attempt may be sent."""
        self.write_trace(f"= {rid} left")
        entry = self.requests[rid]
        entry.excused = True
        self.disconnected_at.setdefault(rid, self.clock())

    def answered(
        self, rid: str, final: FinalOutcome, at: int, status: int = 0, retry_after: float | None = None
    ) -> None:
        super().answered(rid, final, at, status, retry_after)
        self.write_trace(f"= {rid} {final.value} {status}")
        self.found += self.violations_of(self.requests[rid])

    def first_byte(self, server: str, at: int, node: str = "") -> None:
        known = len(self.violations)
        super().first_byte(server, at, node)
        self.found += self.violations[known:]

    def arrived(
        self,
        rid: str,
        start: ServerStart,
        at: int,
        zone: int,
        cell: int,
        work: int,
        runs: bool,
        node: str = "",
    ) -> None:
        """Record a request that a server has received completely; node: the one that sent it."""
        self.write_trace(f"> {rid} at {start.server}{'' if runs else ', turned away'}")
        known = len(self.violations)
        super().arrived(rid, start, at, zone, cell, work, runs)
        self.found += self.violations[known:]
        entry = self.requests.get(rid)
        if entry is not None:
            self.report("dup", rid, attempt_violation(entry.arrived, self.limits.max_attempts))
            self.report("left", rid, after_disconnect_violation(self.disconnected_at.get(rid), at, 20 * MS))
            if entry.final is FinalOutcome.REFUSED and runs:
                self.report("dup", rid, rules.rejection_violation(self.limits.classes[entry.cls], True))
        if start.cold:
            window = self._windows.get(id(start))
            if window is None:
                window = self._windows[id(start)] = self.cold_window(start)
            told = self._told_ready_at.get((node, start.server), 0) >= start.at
            self.report("cold", start.server, window.add(at - start.at, work, told))

    def told(self, server: str, ready: bool, at: int, node: str = "") -> None:
        self.write_trace(f"@ {node} told that {server} {'serves' if ready else 'drains or is gone'}")
        super().told(server, ready, at, node)
        if ready:
            self._told_ready_at[node, server] = at

    def started(self, server: str, at: int, capacity: float, cold: bool = True) -> ServerStart:
        self.write_trace(f"* {server} starts {'cold' if cold else 'warm'}")
        return super().started(server, at, capacity, cold)

    def check_step(self) -> None:
        """Report the requests that are overdue now."""
        if not self._deadlines:
            return
        now = self.clock()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, rid = heapq.heappop(self._deadlines)
            entry = self.requests[rid]
            overdue = entry.deadline + self.limits.late < now
            if overdue and entry.final is None and not entry.excused and self.accepted(rid):
                self.report("lost", rid, "no response by its deadline")
