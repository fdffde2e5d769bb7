"""Short scripted streams for one balancer, each for constants that no other recorded stream covers.

They bring a node close to a bound and beyond it, so that a constant which `python -m tests.move_constants`
changes by a tenth leads to other decisions. They are for recording only and check no rules.
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
# Classes of low and of high priority; requests of both may be retried only if they cannot have run.
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
# After one rejection and this many successful responses, a tenant's share of rejections is 1.05e-6. If that
# share is kept, the REJECTIONS (1: rejected) end with a share just above the bound of 0.2; if it is dropped,
# just below.
ACCEPTED_AFTER_REJECTION = 210
REJECTIONS = "1001100001010000000000000000001101"


class SentAttempt:
    """An attempt that a balancer has sent."""

    def __init__(self, request: int, number: int, server: str, at: int) -> None:
        self.request = request
        self.number = number
        self.server = server
        self.at = at


class Script:
    """A balancer with its clock, and the steps of a script.

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
        self.in_flight: list[SentAttempt] = []
        self.attempt_counts: dict[int, int] = {}  # number of attempts by request
        self.due = 0  # time (ns) of the timer, 0: not set
        self.version = 0
        self.last_actions: list[list[Any]] = []

    def give(self, *event: Any) -> list[list[Any]]:
        """Give the balancer an event in the format of the files, and return its actions in that format."""
        actions = recorded.encode_actions(self.balancer.handle(self.now, recorded.decode_event(list(event))))
        for name, *values in actions:
            if name == "send":
                request, server = values[:2]
                number = self.attempt_counts.get(request, 0)
                self.attempt_counts[request] = number + 1
                self.in_flight.append(SentAttempt(request, number, server[0], self.now))
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
        """Let a long time (ns) pass without timers, as if the process had been paused."""
        self.now += duration
        self.wait(0)

    def update_servers(self, servers: list[list[Any]], kind: ListKind = ListKind.FULL) -> None:
        self.version += 1
        self.give("list", int(kind), servers, self.version)

    def ask(self, cls: int = 0, left: int = 60 * SECOND, **more: Any) -> list[list[Any]]:
        """Send a request; `more` may contain waited (ns) and limits (in the format of the files)."""
        request = len(self.attempt_counts) + 1
        self.attempt_counts[request] = 0
        waited, limits = more.pop("waited", 0), more.pop("limits", None)
        return self.give("request", request, cls, left, 0, 0, 0, False, waited, limits)

    def end(self, sent: SentAttempt, result: Result = Result.OK, rtt: int = 0, report: Any = ()) -> None:
        """End an attempt; its response time (ns) is by default the time since it was sent."""
        self.in_flight.remove(sent)
        takes = rtt or self.now - sent.at
        final = result == Result.OK
        self.give(
            "outcome", sent.request, sent.number, [sent.server], int(result), takes, final, list(report)
        )

    def serve(self, cls: int, count: int, rtt: int, **more: Any) -> None:
        """Send requests, and end each with a response time (ns) before the next one."""
        for _ in range(count):
            self.ask(cls)
            for sent in list(self.in_flight):
                self.end(sent, rtt=rtt, **more)

    def picks(self, count: int, cls: int = 0) -> None:
        """Send requests that are answered at once."""
        self.serve(cls, count, MS)


def server(n: int, zone: int = 0, weight: float = 1.0, kind: int = 0, up_since: int = 0) -> list[Any]:
    """Return a list entry: id, zone, kind, cell, state, weight, start time of the process."""
    return [[f"s{n:03}"], zone, kind, 0, int(ServerState.READY), weight, up_since]


def servers(count: int) -> list[list[Any]]:
    return [server(n) for n in range(count)]


def limits(**changes: Any) -> list[Any]:
    names = ("attempts", "timeout", "hedges", "delay", "window", "scope", "share", "budget", "after")
    return [changes.get(name, value) for name, value in zip(names, NO_LIMITS, strict=True)]


def waits(balancer: type) -> Script:
    """Waits for a server and retries, with a clock so coarse that its ticks determine their times."""
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
    """Servers report a falling request rate: the estimated number of nodes decreases slowly."""
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
    """Rates in reports: almost 0 at first, then high and falling, some of them outliers."""
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
    """Nearly all requests cross to the other zone, and later stay local again."""
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
    """Busy local servers, idle remote ones, and no response yet that shows their lateness."""
    script = Script(balancer, zones=2, classes=SAFE_CLASSES, weight_mode=WeightMode.LIVE)
    both = [server(n, zone=n % 2) for n in range(8)]
    script.update_servers(both)
    for _ in range(12):
        full = [server(n, zone=n % 2, weight=1.0 if n % 2 else 0.01) for n in range(8)]
        script.update_servers(full)
        for _ in range(12):
            script.ask()
            script.give("gone", len(script.attempt_counts))
        script.wait(REVIEW)
    return script


def polls(balancer: type) -> Script:
    """Discovery that responds so late that polls are queued."""
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
    """Lists with loads at growing intervals, and then none."""
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
    """Losses that start and stop, so that the share that is shed falls from different values."""
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
    """No attempt succeeds any more while many are in flight."""
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
    """Requests that were read late, with about half of a response time left."""
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
    """A server that fails whenever it is used again, until its ejection has the longest duration."""
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
    """One server fails a third time while the failure rate of all servers is just under half of its own."""
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
    """The ejected server has slightly more than half of the total capacity."""
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
    """A kind of machine is slow, at a load at which servers just begin to have queues."""
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
    """Busy servers, one of which has far less load than the mean."""
    script = Script(balancer, classes=CLASSES, weight_mode=WeightMode.LIVE, nodes=1)
    loaded = [server(n, weight=0.05) for n in range(5)] + [server(5)]
    script.update_servers([server(n) for n in range(6)])
    script.update_servers(loaded)
    for _ in range(60):
        script.ask(HIGH)
    return script


def few_attempts(balancer: type) -> Script:
    """A node with about one attempt a second, some of which stay in flight."""
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
    """A baseline of just over four attempts, two of them in flight, and further requests."""
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
    """A node that usually has few attempts in flight, and sometimes two that take longer."""
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
    """Reports of failures that expire, and one with a rate of about one response a second."""
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
    """More hedges and retries at once than the budgets of a node and of one route save up."""
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
    """More routes with a budget than are kept; then retries on the first and later ones."""
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
    """A server on probation responds, and a request is sent to all servers in turn before the next review."""
    script = Script(balancer, classes=ZONE_CLASSES, weight_mode=WeightMode.NOMINAL, max_attempts=7, nodes=1)
    # With the capacity factor of a server on probation, the first server has about the capacity of the
    # others.
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
    """A request read late: the share that it adds is just below the minimum, unless the decayed share of the
    request before is still counted."""
    objective = 10_000 * SECOND
    long_classes = (RequestClass("long", Effect.SAFE, 1.0, objective, 10 * objective),)
    script = Script(balancer, classes=long_classes, nodes=1)
    script.update_servers(servers(3))
    # Ten nanoseconds less than the delay from which a node that has never been late rejects requests.
    almost_late = objective // 10 * 11 // 10 - 10
    for waited in (objective, almost_late):
        script.skip(10 * SECOND)
        script.ask(left=10 * objective, waited=waited)
    return script


def small_rejection_share(balancer: type) -> Script:
    """A tenant's rejections, the first of which has a weight of about 1e-6 when the next ones follow."""
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
