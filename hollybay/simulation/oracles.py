"""Checks after every step: the ledger's rules as they are broken, and the oracles beside them.

Each oracle is a small function over plain values that says what is wrong or None; the models call them with
what they saw. `Watch` is the ledger of a run: it decides at once, where that of `testbed` decides at
the end.
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


# What each oracle sees, by the name under which it reports. The four rules come first.
ORACLES = {
    "lost": "no final answer, two of them, one too late, or one that no server made",
    "dup": "an effect twice, more attempts than allowed, a refusal of what may have run",
    "drain": "a request sent later than the grace after its server's end was told",
    "cold": "more work sent to a starting server, by all nodes, than it stands",
    "bytes": "a message of the node that is none, or bytes that belong to nobody",
    "body": "a request's body that is not what its client sent",
    "head": "a header that should have been left out, changed or passed on",
    "time": "a server told of more time than the client has left",
    "address": "an attempt at an address that no current list gives",
    "idle": "a connection used or kept longer than its server lets it rest",
    "connect": "a connect that took longer than its time-out",
    "left": "work begun for a client that has left",
    "status": "a request that is none answered otherwise than it must be",
    "retry": "a Retry-After that the settings do not allow",
    "route": "more attempts than the operator's file allows a route",
    "config": "an operator file in force that would break a rule",
    "budget": "a budget, a count or the descriptors beyond their limits",
    "records": "servers, idle index and attempts of the balancer that disagree after an event",
    "rest": "something held at rest, or after the end",
    "live": "nothing is served once the faults are over",
    "process": "an exception that nobody handled, or a node that ended by itself",
}


def answer_violation(body: bytes, made: dict[bytes, bytes]) -> str | None:
    """Why a 200 answer's body is none that a server made for this request; made: bodies by first line."""
    first = body.partition(b"\n")[0]
    whole = made.get(first)
    if whole is None:
        return f"a body that no server made for it: {first[:60]!r}"
    if whole != body:
        return f"{len(body)} bytes of an answer of {len(whole)}, or others"
    return None


def address_violation(listed: bool, since: int | None, now: int, grace: int) -> str | None:
    """Why an attempt must not come to this address; since (ns): when the node was told that it is none."""
    if listed:
        return None
    if since is None:
        return "an address that the node was never told"
    if now > since + grace:
        return f"an address that the node was told is none {(now - since) / SECOND:.3f} s ago"
    return None


def attempt_violation(attempts: int, most: int) -> str | None:
    """Why a request must not come to a server once more."""
    return f"{attempts} attempts, {most} allowed" if attempts > most else None


def time_left_violation(told_ms: int | None, left: int, slack: int) -> str | None:
    """Why the time that a server was told is wrong; left (ns): what its client had left when it came."""
    if told_ms is None:
        return "no time left was told"
    if told_ms < 1 or told_ms * MS > left + slack:
        return f"{told_ms} ms told, {left / MS:.1f} ms left"
    return None


def after_disconnect_violation(left_at: int | None, now: int, slack: int) -> str | None:
    """Why no new work may begin for a client that left then (ns)."""
    if left_at is None or now <= left_at + slack:
        return None
    return f"sent {(now - left_at) / MS:.1f} ms after its client had left"


def idle_violation(rested: float, limit: float) -> str | None:
    """Why a connection must not be there after so long a rest (s)."""
    return f"rested for {rested:.3f} s, {limit:.3f} s allowed" if rested > limit + 1e-6 else None


def connect_violation(took: float, limit: float, slack: float = 0.005) -> str | None:
    """Why a connect must not have taken so long (s)."""
    return f"a connect of {took:.3f} s, {limit:.3f} s allowed" if took > limit + slack else None


def status_violation(status: int, right: tuple[int, ...]) -> str | None:
    """Why a request that is none must not get this status."""
    return f"answered {status}, right is {' or '.join(map(str, right))}" if status not in right else None


def retry_after_violation(value: bytes | None, most: int) -> str | None:
    """Why a Retry-After is not within what the settings allow; most: ns, 0: none may be given."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return f"Retry-After {value[:20]!r}"
    if not 0.0 < seconds * SECOND <= most + MS:
        return f"Retry-After of {seconds:.3f} s, at most {most / SECOND:.3f} s allowed"
    return None


def header_violation(
    headers: list[tuple[bytes, bytes]], never: frozenset[bytes], once: tuple[bytes, ...]
) -> str | None:
    """Why these headers must not be passed on: names that never go further, and those that stand once."""
    names = [name for name, _ in headers]
    for name in names:
        if name in never:
            return f"{name.decode()} was passed on"
    for name in once:
        if names.count(name) != 1:
            return f"{name.decode()} stands {names.count(name)} times"
    return None


def budget_violation(counts: dict[str, tuple[int, int]]) -> str | None:
    """Why a node holds what it must not: what is held and the most, by name."""
    for name, (held, most) in counts.items():
        if not 0 <= held <= most:
            return f"{held} {name}, {most} allowed"
    return None


def leak_violation(counts: dict[str, int]) -> str | None:
    """What is left where nothing must be."""
    left = [f"{count} {name}" for name, count in counts.items() if count]
    return ", ".join(left) or None


class OracleLedger(Ledger):
    """The ledger of a simulated run; `found` fills as things go wrong, `clock` tells the time (ns).

    check_step() is called after every step: it sees answers that are overdue.
    """

    def __init__(self, limits: RuleLimits, clock: Callable[[], int]) -> None:
        super().__init__(limits)
        self.clock = clock
        self.found: list[Violation] = []
        self.write_trace: Callable[[str], None] = lambda text: None  # hears what happens, for the trace
        self.accepted: Callable[[str], bool] = lambda rid: True  # whether a node has read all of it
        self.disconnected_at: dict[str, int] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._windows: dict[int, rules.ColdWindow] = {}

    def report(self, rule: str, subject: str, reason: str | None) -> None:
        """Note what an oracle said, if it said anything."""
        if reason is not None:
            self.write_trace(f"! {rule}: {subject}: {reason}")
            self.found.append(Violation(rule, subject, reason))

    def asked(self, rid: str, cls: int, at: int, deadline: int, tenant: str = "") -> RequestEntry:
        self.write_trace(f"? {rid} class {self.limits.classes[cls].name}")
        entry = super().asked(rid, cls, at, deadline, tenant)
        self.deadline(rid, deadline)
        return entry

    def deadline(self, rid: str, deadline: int) -> None:
        """By when (ns) a request's client wants its answer."""
        self.requests[rid].deadline = deadline
        heapq.heappush(self._deadlines, (deadline + self.limits.late + 1, rid))

    def left(self, rid: str) -> None:
        """A client has left: it waits for nothing more, and no new work is to begin for it."""
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
        self, rid: str, start: ServerStart, at: int, zone: int, cell: int, work: int, runs: bool
    ) -> None:
        self.write_trace(f"> {rid} at {start.server}{'' if runs else ', turned away'}")
        known = len(self.violations)
        super().arrived(rid, start, at, zone, cell, work, runs)
        self.found += self.violations[known:]
        entry = self.requests.get(rid)
        if entry is not None:
            self.report("dup", rid, attempt_violation(entry.arrived, self.limits.max_attempts))
            self.report("left", rid, after_disconnect_violation(self.disconnected_at.get(rid), at, 20 * MS))
            if entry.final is FinalOutcome.REFUSED and runs:
                self.report("dup", rid, rules.refusal_violation(self.limits.classes[entry.cls], True))
        if start.cold:
            window = self._windows.get(id(start))
            if window is None:
                window = self._windows[id(start)] = self.cold_window(start)
            self.report("cold", start.server, window.add(at - start.at, work))

    def told(self, server: str, ready: bool, at: int, node: str = "") -> None:
        self.write_trace(f"@ {node} told that {server} {'serves' if ready else 'drains or is gone'}")
        super().told(server, ready, at, node)

    def started(self, server: str, at: int, capacity: float, cold: bool = True) -> ServerStart:
        self.write_trace(f"* {server} starts {'cold' if cold else 'warm'}")
        return super().started(server, at, capacity, cold)

    def check_step(self) -> None:
        """See what is overdue now."""
        if not self._deadlines:
            return
        now = self.clock()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, rid = heapq.heappop(self._deadlines)
            entry = self.requests[rid]
            overdue = entry.deadline + self.limits.late < now
            if overdue and entry.final is None and not entry.excused and self.accepted(rid):
                self.report("lost", rid, "no answer by its deadline")
