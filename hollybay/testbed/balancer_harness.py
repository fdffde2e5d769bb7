"""Test harness for the balancer: records its actions and asserts the four rules.

Times are integer nanoseconds on a clock that only the harness advances.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.units import MS, SECOND

from . import rules

__all__ = [
    "ALL",
    "CELL",
    "CLASSES",
    "MS",
    "NEVER_RAN",
    "SAFE",
    "SECOND",
    "UNSAFE",
    "ZONE",
    "Attempt",
    "BalancerHarness",
    "RequestRecord",
    "fleet",
    "make_settings",
]

SAFE = api.RequestClass("read", api.Effect.SAFE, 3.0, 200 * MS, 500 * MS, 0.25)
UNSAFE = api.RequestClass("write", api.Effect.UNSAFE, 2.0, 1200 * MS, 5 * SECOND, 0.2)
CELL = api.RequestClass(
    "book", api.Effect.KEYED, 9.0, 1500 * MS, 6 * SECOND, 0.2, api.DeduplicationScope.CELL, 4 * SECOND
)
ZONE = api.RequestClass(
    "join", api.Effect.KEYED, 4.0, 800 * MS, 3 * SECOND, 0.0, api.DeduplicationScope.ZONE, 2 * SECOND
)
ALL = api.RequestClass(
    "tag", api.Effect.KEYED, 1.0, 800 * MS, 3 * SECOND, 0.0, api.DeduplicationScope.ALL, 2 * SECOND
)
# One class for each effect and deduplication scope.
CLASSES = (SAFE, UNSAFE, CELL, ZONE, ALL)
# Results which prove that the server did not run the request.
NEVER_RAN = (api.Result.REJECTED, api.Result.NOT_DELIVERED, api.Result.NOT_SENT)


def make_settings(**changes: object) -> api.Settings:
    """The settings of a node in a group of four, with some fields changed."""
    values: dict[str, object] = {
        "classes": CLASSES,
        "zones": 2,
        "kinds": 3,
        "nodes": 4,
        "tick": 4 * MS,
        "hedging_allowed": True,
        "answer_grace": 16 * MS,
        "drain_grace": SECOND,
        "cold_share": 0.3,
        "warm_up": 8 * SECOND,
        "overload_multiple": 4.0,
        "overload_window": 2 * SECOND,
    }
    values.update(changes)
    return api.Settings(**values)  # type: ignore[arg-type]


def fleet(count: int, **changes: object) -> tuple[api.Server, ...]:
    """Make `count` servers in two zones, of three kinds, in cells of four, with some fields changed."""
    return tuple(
        api.Server(
            id=b"s%03d" % n,
            zone=n % 2,
            kind=n % 3,
            cell=n // 4,
            weight=1.0 + 0.5 * (n % 3),
            **changes,  # type: ignore[arg-type]
        )
        for n in range(count)
    )


@dataclass
class Attempt:
    """An attempt: its server, when it was sent, and its result once it has ended."""

    server: api.ServerId
    sent: int
    result: api.Result | None = None


@dataclass
class RequestRecord:
    """The record of a request.

    Attributes
    ----------
    cls
        Index of its class.
    deadline
        When its response is due.
    attempts
        All attempts so far, in order.
    over
        Whether it has its final response, or its client has disconnected.
    gone
        Whether its client has disconnected.
    """

    cls: int
    deadline: int
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    gone: bool = False


class BalancerHarness:
    """A balancer, with a record of its events and actions.

    Parameters
    ----------
    settings
        Settings of the balancer; `make_settings()` by default.
    seed
        Seed of the balancer.
    now
        The time at the start.

    Attributes
    ----------
    requests
        The records of the requests, by id.
    lines
        The servers as last listed, by id.
    unavailable_since
        When the balancer was told that a server drains or is gone, by id.
    timers
        The pending timers: the time, and the token.
    sent
        All attempts: the time, the request and the server.
    finals
        All final responses, in order: the request, and the kind.
    actions
        All actions, in order.
    """

    def __init__(self, settings: api.Settings | None = None, seed: int = 1, now: int = 5 * SECOND) -> None:
        self.settings = settings or make_settings()
        self.balancer = Balancer(self.settings, seed, now)
        self.now = now
        self.requests: dict[int, RequestRecord] = {}
        self.lines: dict[api.ServerId, api.Server] = {}
        self.unavailable_since: dict[api.ServerId, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.sent: list[tuple[int, int, api.ServerId]] = []
        self.finals: list[tuple[int, str]] = []
        self.actions: list[api.Action] = []

    def give(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the balancer; record its actions, check them and return them."""
        actions = self.balancer.handle(self.now, event)
        self.actions += actions
        for action in actions:
            self._record(action)
        return actions

    def _record(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._check_send(action)
        elif isinstance(action, api.Reject | api.Fail):
            self._check_final_response(action)
        elif isinstance(action, api.Cancel):
            assert action.attempt < len(self.requests[action.id].attempts)
        elif isinstance(action, api.SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.token))

    def _check_send(self, action: api.Send) -> None:
        record = self.requests[action.id]
        assert not record.over, f"request {action.id}: attempt sent after its final response"
        assert len(record.attempts) < self.settings.max_attempts
        self._check_effect(record, action.server)
        unavailable_since = self.unavailable_since.get(action.server)
        reason = rules.drain_violation(unavailable_since, self.now, self.settings.drain_grace)
        assert reason is None, reason
        record.attempts.append(Attempt(action.server, self.now))
        self.sent.append((self.now, action.id, action.server))

    def _check_final_response(self, action: api.Reject | api.Fail) -> None:
        record = self.requests[action.id]
        assert not record.over, f"request {action.id}: two final responses"
        assert self.now <= record.deadline + self.settings.answer_grace, f"{action.id}: response too late"
        if isinstance(action, api.Reject):
            self._check_rejection(record)
        record.over = True
        self.finals.append((action.id, type(action).__name__))

    def _check_effect(self, record: RequestRecord, server: api.ServerId) -> None:
        cls = self.settings.classes[record.cls]
        if not self.settings.hedging_allowed:
            assert all(
                a.result is not None for a in record.attempts
            ), "two attempts in flight without hedging"
        ran = [self._execution(a.server, a.sent) for a in record.attempts if a.result not in NEVER_RAN]
        reason = rules.repeat_violation(cls, ran, self._execution(server, self.now))
        assert reason is None, reason

    def _execution(self, server: api.ServerId, at: int) -> rules.Execution:
        line = self.lines[server]
        return rules.Execution(at, line.zone, line.cell)

    def _check_rejection(self, record: RequestRecord) -> None:
        cls = self.settings.classes[record.cls]
        reason = rules.rejection_violation(cls, any(a.result not in NEVER_RAN for a in record.attempts))
        assert reason is None, reason

    def tell(
        self, servers: tuple[api.Server, ...], kind: api.ListKind = api.ListKind.FULL
    ) -> list[api.Action]:
        """Pass a server list to the balancer: the full list, or the changed servers."""
        named = {s.id for s in servers}
        for s in servers:
            self.lines[s.id] = s
            if s.state == api.ServerState.READY:
                self.unavailable_since.pop(s.id, None)
            else:
                self.unavailable_since.setdefault(s.id, self.now)
        if kind in (api.ListKind.FULL, api.ListKind.CACHED):
            for sid in self.lines:
                if sid not in named:
                    self.unavailable_since.setdefault(sid, self.now)
        return self.give(api.ServerList(kind, servers))

    def ask(
        self,
        rid: int,
        cls: int = 0,
        left: int = 0,
        key: int = 0,
        limits: api.Limits | None = None,
        body_pending: bool = False,
    ) -> list[api.Action]:
        """Pass a request to the balancer; `left`: time (ns) to its deadline, 0 for that of the class."""
        left = left or self.settings.classes[cls].deadline
        self.requests[rid] = RequestRecord(cls, self.now + left)
        return self.give(api.Request(rid, cls, left, key=key, limits=limits, body_pending=body_pending))

    def answer(
        self, rid: int, attempt: int, result: api.Result = api.Result.OK, report: api.Report = ()
    ) -> list[api.Action]:
        """End an attempt with a result; the first success is the final response."""
        record = self.requests[rid]
        tried = record.attempts[attempt]
        assert tried.result is None
        tried.result = result
        if result == api.Result.OK and not record.over:
            record.over = True
            self.finals.append((rid, "Served"))
        return self.give(
            api.AttemptFinished(
                rid, attempt, tried.server, result, self.now - tried.sent, record.over, report
            )
        )

    def leave(self, rid: int) -> list[api.Action]:
        """Disconnect the client of a request."""
        self.requests[rid].over = True
        self.requests[rid].gone = True
        return self.give(api.ClientDisconnected(rid))

    def run_to(self, when: int) -> None:
        """Advance the clock, and fire the timers and time-outs of attempts that fall due, in order."""
        while True:
            due = min(self.timers, default=(when + 1, 0))
            ends = [
                (record.deadline, rid, n)
                for rid, record in self.requests.items()
                for n, a in enumerate(record.attempts)
                if a.result is None
            ]
            end = min(ends, default=(when + 1, 0, 0))
            if min(due[0], end[0]) > when:
                break
            self.now = max(self.now, min(due[0], end[0]))
            if due[0] <= end[0]:
                self.timers.remove(due)
                self.give(api.TimerFired(due[1]))
            else:
                self.answer(end[1], end[2], api.Result.TIMEOUT)
        self.now = max(self.now, when)

    def check_answered(self) -> None:
        """Assert that no request is past its deadline without a final response."""
        for rid, record in self.requests.items():
            assert record.over or self.now <= record.deadline + self.settings.answer_grace, f"{rid} was lost"
