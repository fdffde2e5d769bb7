"""Short streams written by hand around one balancer, each for constants that no other recorded stream sees.

They bring a node close to a bound and past it: what `python -m tests.move_constants` moves by a tenth must be
answered otherwise. They are for recording only, no rule is checked here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hollybay.balancing.interface import (
    DeduplicationScope,
    Effect,
    ListKind,
    RequestClass,
    Result,
    ServerState,
    Tenant,
    WeightMode,
)
from hollybay.testbed.balancer_harness import MS, SECOND, make_settings

from . import recorded_decisions as recorded

__all__ = ["SCRIPTS", "Script"]

START = 5 * SECOND
REVIEW = SECOND // 2
TIMER_TOKEN = 1
NO_LIMITS = [0, 0, -1, 0, 0, None, -1.0, "", [0, 0]]
# Requests of a low and of a high priority; neither may be retried unless it cannot have run.
LOW, HIGH = 0, 1
CLASSES = (
    RequestClass("low", Effect.UNSAFE, 1.0, SECOND, 60 * SECOND),
    RequestClass("high", Effect.UNSAFE, 9.0, 2 * SECOND, 60 * SECOND),
)
QUICK_CLASSES = (CLASSES[LOW], RequestClass("quick", Effect.UNSAFE, 9.0, 300 * MS, 60 * SECOND))
SAFE_CLASSES = (RequestClass("read", Effect.SAFE, 1.0, 200 * MS, 10 * SECOND, 0.25),)
ZONE_CLASSES = (
    RequestClass("keyed", Effect.KEYED, 1.0, SECOND, 60 * SECOND, 0.0, DeduplicationScope.ZONE, 30 * SECOND),
)
TENANTS = (Tenant("first", 0.5), Tenant("second", 0.5))
# After one rejection and so many accepted answers a tenant's share of rejections is 1.05e-6. Counted, that
# makes these answers (1: rejected) end with a share just above the bound of 0.2; dropped, just below it.
ACCEPTED_AFTER_REJECTION = 210
REJECTIONS = "1001100001010000000000000000001101"


class Sent:
    """An attempt that a balancer has begun."""

    def __init__(self, request: int, number: int, server: str, at: int) -> None:
        self.request = request
        self.number = number
        self.server = server
        self.at = at


class Script:
    """A balancer, its clock, and what is given to it step by step.

    Attributes
    ----------
    now
        The time (ns).
    in_flight
        Attempts without a result, in the order sent.
    """

    def __init__(self, balancer: type, seed: int = 1, **settings: Any) -> None:
        self.now = START
        self.balancer = balancer(make_settings(**({"zones": 1, "kinds": 1} | settings)), seed, START)
        self.in_flight: list[Sent] = []
        self.begun: dict[int, int] = {}  # attempts by request
        self.due = 0  # of the timer, 0: not set
        self.version = 0
        self.last_actions: list[list[Any]] = []

    def give(self, *event: Any) -> list[list[Any]]:
        """Give the balancer an event as the files hold it, and return its actions so."""
        actions = recorded.encode_actions(self.balancer.handle(self.now, recorded.decode_event(list(event))))
        for name, *values in actions:
            if name == "send":
                request, server = values[:2]
                number = self.begun.get(request, 0)
                self.begun[request] = number + 1
                self.in_flight.append(Sent(request, number, server[0], self.now))
            elif name == "set":
                self.due = self.now + values[0]
        self.last_actions = actions
        return actions

    def wait(self, duration: int) -> None:
        """Let a time (ns) pass; the timer fires when it is due."""
        end = self.now + duration
        while self.due and self.due <= end:
            self.now, self.due = max(self.now, self.due), 0
            self.give("timer", TIMER_TOKEN)
        self.now = end

    def skip(self, duration: int) -> None:
        """Let a long time (ns) pass at once, as when the process was paused."""
        self.now += duration
        self.wait(0)

    def update_servers(self, servers: list[list[Any]], kind: ListKind = ListKind.FULL) -> None:
        self.version += 1
        self.give("list", int(kind), servers, self.version)

    def ask(self, cls: int = 0, left: int = 60 * SECOND, **more: Any) -> list[list[Any]]:
        """Send a request; `more`: waited (ns), limits (as in the files)."""
        request = len(self.begun) + 1
        self.begun[request] = 0
        waited, limits = more.pop("waited", 0), more.pop("limits", None)
        return self.give("request", request, cls, left, 0, 0, 0, False, waited, limits)

    def end(self, sent: Sent, result: Result = Result.OK, rtt: int = 0, report: Any = ()) -> None:
        """End an attempt; its time (ns) is by default that since it was sent."""
        self.in_flight.remove(sent)
        takes = rtt or self.now - sent.at
        final = result == Result.OK
        self.give(
            "outcome", sent.request, sent.number, [sent.server], int(result), takes, final, list(report)
        )

    def serve(self, cls: int, count: int, rtt: int, **more: Any) -> None:
        """Send requests, and end each after a time (ns) of its own before the next."""
        for _ in range(count):
            self.ask(cls)
            for sent in list(self.in_flight):
                self.end(sent, rtt=rtt, **more)

    def picks(self, count: int, cls: int = 0) -> None:
        """Send requests that are answered at once."""
        self.serve(cls, count, MS)


def server(n: int, zone: int = 0, weight: float = 1.0, kind: int = 0, up_since: int = 0) -> list[Any]:
    """A line of the list: id, zone, kind, cell, state, weight, start of its process."""
    return [[f"s{n:03}"], zone, kind, 0, int(ServerState.READY), weight, up_since]


def servers(count: int) -> list[list[Any]]:
    return [server(n) for n in range(count)]


def limits(**changes: Any) -> list[Any]:
    names = ("attempts", "timeout", "hedges", "delay", "window", "scope", "share", "budget", "after")
    return [changes.get(name, value) for name, value in zip(names, NO_LIMITS, strict=True)]


def waits(balancer: type) -> Script:
    """Waits for a server and retries, on a clock so coarse that they are counted in its ticks."""
    script = Script(balancer, tick=10 * MS, classes=SAFE_CLASSES)
    script.update_servers([])
    script.ask(left=SECOND)
    script.wait(SECOND)
    script.update_servers(servers(3))
    for left in (15, 25, 35):
        script.ask(left=left * MS)
        script.end(script.in_flight[-1], Result.NOT_SENT, MS)
    return script


def refused_connections(balancer: type) -> Script:
    """Nodes that report to each other, at servers that refuse connections."""
    script = Script(balancer, nodes=200, classes=CLASSES)
    script.update_servers(servers(160))
    script.give("elsewhere", [], 199)
    refused = 0
    for count in (2, 48):
        while refused < count:
            script.ask()
            sent = script.in_flight[-1]
            script.end(sent, Result.NOT_DELIVERED, MS)
            refused += 1
            for other in script.in_flight[:]:
                script.end(other, Result.OK, MS)
        script.wait(3 * SECOND)
        script.picks(40)
    for pause in (150, 60, 60, 30, 20):
        script.skip(pause * SECOND)
        script.update_servers(servers(160))
        script.give("elsewhere", [], 199)
        script.wait(SECOND)
        script.picks(25)
    return script


def many_nodes(balancer: type) -> Script:
    """Fewer nodes than before, from servers' reports: the estimate comes down again slowly."""
    script = Script(balancer, nodes=20, classes=SAFE_CLASSES, report_fields=("errors", "rate"))
    script.update_servers(servers(60))
    script.give("elsewhere", [], 19)
    rate = 20.0
    for _ in range(60):
        for _ in range(6):
            script.ask()
            for sent in script.in_flight[:]:
                script.end(sent, rtt=MS, report=(0.0, rate))
        script.wait(REVIEW)
        if script.now > START + 6 * SECOND:
            rate *= 0.96
    return script


def traffic_share(balancer: type) -> Script:
    """A node's share of all traffic from reports: next to none at first, then ever more, some far off."""
    fields = ("errors", "rate")
    script = Script(balancer, nodes=20, classes=SAFE_CLASSES, report_fields=fields)
    script.update_servers(servers(120))
    rate = 0.01
    for review in range(110):
        if review % 8 == 5:
            starting = [server(n, up_since=script.now if n % 6 == 0 else 0) for n in range(120)]
            script.update_servers(starting)
        for number in range(3):
            script.ask()
            for sent in script.in_flight[:]:
                far_off = 10.0 if number == 0 and review % 4 == 0 else 1.0
                script.end(sent, rtt=40 * MS, report=(0.0, far_off * rate))
        script.wait(REVIEW)
        if review == 16:
            rate = 5.0
        elif review > 50:
            rate *= 0.97
    return script


def crossing_bounds(balancer: type) -> Script:
    """All but all requests cross to the other zone, and come back."""
    script = Script(balancer, zones=2, classes=SAFE_CLASSES)
    script.update_servers([server(n, zone=n % 2) for n in range(8)])
    for review in range(70):
        slow = review < 40
        for _ in range(6 if slow else 14):
            script.ask()
            for sent in script.in_flight[:]:
                local = int(sent.server[1:]) % 2 == 0
                script.end(sent, rtt=400 * MS if local and slow else 20 * MS)
        script.wait(REVIEW)
    return script


def idle_zone_without_answers(balancer: type) -> Script:
    """Full servers here, idle ones in the other zone, and no answer yet that says how late they are."""
    script = Script(balancer, zones=2, classes=SAFE_CLASSES, weight_mode=WeightMode.LIVE)
    both = [server(n, zone=n % 2) for n in range(8)]
    script.update_servers(both)
    for _ in range(12):
        full = [server(n, zone=n % 2, weight=1.0 if n % 2 else 0.01) for n in range(8)]
        script.update_servers(full)
        for _ in range(12):
            script.ask()
            script.give("gone", len(script.begun))
        script.wait(REVIEW)
    return script


def polls(balancer: type) -> Script:
    """Discovery that answers so late that polls are queued."""
    script = Script(balancer, nodes=100, poll_required=True, poll_within=10 * SECOND, classes=SAFE_CLASSES)
    script.update_servers(servers(3), ListKind.CACHED)
    for _ in range(6):
        while not any(action[0] == "watch" for action in script.last_actions):
            script.wait(max(1, script.due - script.now))
        script.now += 1550 * MS
        script.give("list", int(ListKind.FAILED), [], 0)
    script.wait(30 * SECOND)
    return script


def rare_lists(balancer: type) -> Script:
    """Lists with loads that come ever more seldom, and then no more."""
    script = Script(balancer, classes=SAFE_CLASSES, weight_mode=WeightMode.LIVE)
    script.update_servers(servers(6))
    for gap in (2, 3, 4, 5, 5, 12):
        loaded = [server(n, weight=1.0 / (1.0 + 2 * n)) for n in range(6)]
        script.update_servers(loaded)
        for _ in range(gap * 2):
            for _ in range(12):
                script.ask()
            for sent in script.in_flight[:]:
                script.end(sent, rtt=(5 + 20 * int(sent.server[1:])) * MS)
            script.wait(REVIEW)
    return script


def bursts(balancer: type) -> Script:
    """Losses that come and go, so that the share shed for them falls from several heights."""
    script = Script(balancer, classes=CLASSES, max_retry_after=SECOND)
    script.update_servers(servers(10))
    for cls in (LOW, HIGH):
        script.serve(cls, 12, 100 * MS)
    for burst in range(14):
        for _ in range(2):
            for _ in range(5 + burst):
                script.ask(burst % 2)
            for sent in script.in_flight[:]:
                script.end(sent, Result.TIMEOUT, 3 * SECOND)
            script.wait(REVIEW)
        for _ in range(12):
            script.serve(LOW, 4, 100 * MS)
            script.serve(HIGH, 2, 100 * MS)
            script.wait(REVIEW)
    return script


def collapse(balancer: type) -> Script:
    """Nothing is answered any more while many attempts hang."""
    script = Script(balancer, classes=CLASSES, max_retry_after=SECOND)
    script.update_servers(servers(10))
    for cls in (LOW, HIGH):
        script.serve(cls, 12, 100 * MS)
    for _ in range(12):
        for _ in range(24):
            script.ask(HIGH)
        for sent in script.in_flight[:4]:
            script.end(sent, Result.TIMEOUT)
        script.wait(REVIEW)
    for _ in range(250):
        script.ask(HIGH)
    return script


def little_time_left(balancer: type) -> Script:
    """Requests that were read late, with about half the time left that an answer takes."""
    script = Script(balancer, classes=SAFE_CLASSES)
    script.update_servers(servers(3))
    script.serve(0, 12, 100 * MS)
    for left in range(46, 60, 2):
        script.ask(left=left * MS, waited=MS)
        for sent in script.in_flight[:]:
            script.end(sent, rtt=MS)
        script.serve(0, 3, 100 * MS)
    return script


def long_ejection(balancer: type) -> Script:
    """A server that fails whenever it is tried again, until its ejection is the longest."""
    script = Script(balancer, classes=SAFE_CLASSES)
    script.update_servers(servers(3))
    for _ in range(500):
        script.ask()
        for sent in script.in_flight[:]:
            script.end(sent, Result.RESET if sent.server == "s001" else Result.OK, 20 * MS)
        for sent in script.in_flight[:]:
            script.end(sent, rtt=20 * MS)
        script.wait(100 * MS)
    return script


def common_failures(balancer: type) -> Script:
    """One server fails a third time when all servers together fail just under half as often."""
    script = Script(balancer, classes=CLASSES, nodes=1)
    script.update_servers(servers(14))
    while min(sum(sent.server == f"s{n:03}" for sent in script.in_flight) for n in range(14)) < 3:
        script.ask(HIGH)
    first = "s000"
    left = {f"s{n:03}": 2 for n in range(14)}
    for sent in script.in_flight[:]:
        if left[sent.server] and sum(left.values()) > 2:
            left[sent.server] -= 1
            script.end(sent, Result.RESET, MS)
    third = next(sent for sent in script.in_flight if sent.server == first)
    script.end(third, Result.RESET, MS)
    for sent in script.in_flight[:]:
        script.give("gone", sent.request)
        script.end(sent, Result.CANCELLED, MS)
    for _ in range(4):
        script.wait(REVIEW)
        script.picks(20)
    return script


def half_ejected(balancer: type) -> Script:
    """The ejected server has slightly more than half of all capacity."""
    script = Script(balancer, classes=CLASSES, weight_mode=WeightMode.NOMINAL, nodes=1)
    script.update_servers([server(0, weight=1.08), server(1), server(2, weight=0.01)])
    failures = 0
    while failures < 3:
        script.ask()
        for sent in script.in_flight[:]:
            failed = sent.server == "s000"
            failures += failed
            script.end(sent, Result.RESET if failed else Result.OK, MS)
        script.wait(REVIEW)
    for _ in range(20):
        script.ask()
    script.wait(REVIEW)
    for _ in range(20):
        script.ask()
    return script


def mean_load(balancer: type) -> Script:
    """A kind of machine answers slowly, just when servers begin to hold a queue."""
    script = Script(balancer, classes=CLASSES, kinds=2, nodes=1)
    script.update_servers([server(n, kind=n % 2) for n in range(7)])
    script.serve(HIGH, 10, 100 * MS)
    while len(script.in_flight) < 17:
        script.ask(HIGH)
    script.wait(REVIEW)
    for kind in [0, 1] * 30:
        script.ask(HIGH)
        sent = next(sent for sent in script.in_flight if int(sent.server[1:]) % 2 == kind)
        script.end(sent, rtt=(400 if kind else 100) * MS)
    for sent in script.in_flight[:]:
        script.end(sent, Result.CANCELLED)
    for _ in range(4):
        script.wait(REVIEW)
        script.picks(8, HIGH)
    return script


def uneven_loads(balancer: type) -> Script:
    """Busy servers of which one has far less load than the mean."""
    script = Script(balancer, classes=CLASSES, weight_mode=WeightMode.LIVE, nodes=1)
    loaded = [server(n, weight=0.05) for n in range(5)] + [server(5)]
    script.update_servers([server(n) for n in range(6)])
    script.update_servers(loaded)
    for _ in range(60):
        script.ask(HIGH)
    return script


def few_attempts(balancer: type) -> Script:
    """A node with about one attempt a second, some of which hang."""
    script = Script(balancer, classes=CLASSES, nodes=1)
    script.update_servers(servers(4))
    script.serve(LOW, 3, 600 * MS)
    for step in range(60):
        script.ask(HIGH if step % 3 else LOW)
        script.ask(LOW)
        script.wait((700 + 90 * (step % 7)) * MS)
        if step % 4 != 3:
            for sent in script.in_flight[:2]:
                script.end(sent)
    return script


def few_baseline_attempts(balancer: type) -> Script:
    """Just over four attempts that still count, of which two are in flight, and more requests."""
    script = Script(balancer, classes=QUICK_CLASSES, nodes=1)
    script.update_servers(servers(4))
    for cls in (LOW, HIGH, HIGH):
        script.ask(cls)
    script.wait(50 * MS)
    for sent in script.in_flight[:]:
        script.end(sent)
    script.wait(3200 * MS)
    for _ in range(2):
        script.ask(HIGH)
    script.wait(260 * MS)
    for _ in range(6):
        script.ask(LOW)
    return script


def usual_in_flight(balancer: type) -> Script:
    """A node with few attempts in flight as a rule, and now and then two that take longer."""
    script = Script(balancer, classes=QUICK_CLASSES, nodes=1)
    script.update_servers(servers(4))
    script.serve(LOW, 2, 100 * MS)
    for step in range(24):
        for _ in range(2):
            script.ask(HIGH)
        script.wait((260 + 7 * step) * MS)
        for _ in range(8):
            script.ask(LOW)
        for sent in script.in_flight[:]:
            script.end(sent, rtt=100 * MS)
        script.wait(740 * MS)
    return script


def expired_reports(balancer: type) -> Script:
    """Reports of failures that expire, and one over about one answer a second."""
    script = Script(balancer, classes=CLASSES, nodes=1, report_fields=("errors", "rate"))
    script.update_servers(servers(4))
    for share in (0.45, 0.5, 0.6, 0.7):
        while True:
            script.ask(HIGH)
            sent = script.in_flight[-1]
            if sent.server == "s002":
                break
            script.end(sent, rtt=MS)
        script.end(sent, rtt=MS, report=(100.0 * share, 100.0 * (1.0 - share)))
        for _ in range(16):
            script.wait(REVIEW)
            script.picks(5, HIGH)
    for _ in range(20):
        script.ask(HIGH)
        sent = script.in_flight[-1]
        script.end(sent, rtt=MS, report=(0.5, 0.55) if sent.server == "s001" else ())
    script.wait(REVIEW)
    script.picks(30, HIGH)
    return script


def saved_budgets(balancer: type) -> Script:
    """More hedges and retries at once than a node saves up, for itself and for one route."""
    script = Script(balancer, classes=SAFE_CLASSES, nodes=1)
    script.update_servers(servers(80))
    script.picks(130)
    for _ in range(14):
        script.ask(limits=limits(hedges=1, delay=10 * MS))
    script.wait(11 * MS)
    for sent in script.in_flight[:]:
        if sent in script.in_flight:
            script.end(sent, rtt=20 * MS)
    script.wait(REVIEW)
    for _ in range(60):
        script.ask()
    for sent in script.in_flight[:]:
        script.end(sent, Result.NOT_SENT, MS)
    for sent in script.in_flight[:]:
        script.end(sent, rtt=MS)
    route = limits(share=0.5, budget="route")
    for _ in range(60):
        script.ask(limits=route)
        script.end(script.in_flight[-1], rtt=MS)
    for _ in range(14):
        script.ask(limits=limits(share=0.0, budget="route"))
    for sent in script.in_flight[:]:
        script.end(sent, Result.NOT_SENT, MS)
    return script


def many_budgets(balancer: type) -> Script:
    """Routes with budgets of their own, more than are kept; then a retry on the first one."""
    script = Script(balancer, classes=SAFE_CLASSES, nodes=1)
    script.update_servers([])
    for route in range(4200):
        script.ask(left=MS, limits=limits(share=1.0, budget=f"route-{route}"))
    script.update_servers(servers(3))
    for route in (0, 60, 150, 4000):
        script.ask(limits=limits(share=0.0, budget=f"route-{route}"))
        for _ in range(2):
            script.end(script.in_flight[-1], Result.NOT_SENT, MS)
    return script


def answer_before_a_review(balancer: type) -> Script:
    """A server on probation answers, and a request is tried at all servers in turn before the next review."""
    script = Script(balancer, classes=ZONE_CLASSES, weight_mode=WeightMode.NOMINAL, max_attempts=7, nodes=1)
    # With the share of a server on probation the first one has about the capacity of the others.
    script.update_servers([server(0)] + [server(n, weight=0.045 + 0.002 * n) for n in range(1, 7)])
    for _ in range(3):
        script.ask()
        for result in (Result.RESET, Result.OK):
            script.end(script.in_flight[-1], result, MS)
        script.wait(REVIEW)
    script.wait(2 * REVIEW)
    for _ in range(2):
        script.ask()
    on_probation, other = script.in_flight
    script.end(on_probation, rtt=MS)
    script.end(other, Result.RESET, MS)
    while script.in_flight:
        script.end(script.in_flight[-1], Result.RESET, MS)
    return script


def late_after_a_pause(balancer: type) -> Script:
    """A request read late: its share is just below the least, but for what the one before has left."""
    objective = 10_000 * SECOND
    long_classes = (RequestClass("long", Effect.SAFE, 1.0, objective, 10 * objective),)
    script = Script(balancer, classes=long_classes, nodes=1)
    script.update_servers(servers(3))
    # Ten nanoseconds less than the lateness from which on a node that was never late rejects.
    almost_late = objective // 10 * 11 // 10 - 10
    for waited in (objective, almost_late):
        script.skip(10 * SECOND)
        script.ask(left=10 * objective, waited=waited)
    return script


def small_rejection_share(balancer: type) -> Script:
    """A tenant's rejections, of which the first counts for about a millionth when the next ones come."""
    script = Script(balancer, classes=CLASSES, tenants=TENANTS, max_attempts=1, nodes=1)
    script.update_servers(servers(3))
    for rejected in [True] + [False] * ACCEPTED_AFTER_REJECTION + [bit == "1" for bit in REJECTIONS]:
        script.ask(HIGH)
        script.end(script.in_flight[-1], Result.REJECTED if rejected else Result.OK, MS)
    script.picks(20, HIGH)
    return script


SCRIPTS: dict[str, Callable[[type], Script]] = {
    f"script-{build.__name__.replace('_', '-')}": build
    for build in (
        waits, refused_connections, many_nodes, traffic_share, crossing_bounds, idle_zone_without_answers,
        polls, rare_lists, bursts, collapse, little_time_left, long_ejection, common_failures, half_ejected,
        mean_load, uneven_loads, few_attempts, few_baseline_attempts, usual_in_flight, expired_reports,
        saved_budgets, many_budgets, answer_before_a_review, late_after_a_pause, small_rejection_share,
    )
}  # fmt: skip
