"""The balancer's records are consistent after every event of random streams in which bodies are late."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings
from hollybay.testbed.balancer_invariants import watch_records

SERVERS = 5
# The results of an attempt; with NOT_SENT its server has received nothing.
RESULTS = st.sampled_from(sorted(api.Result))
NUMBERS = st.integers(0, 30)
CLASSES = st.integers(0, 4)
SERVER = st.integers(0, SERVERS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), CLASSES, st.booleans(), st.booleans()),
        st.tuples(st.just("complete"), NUMBERS),
        st.tuples(st.just("start"), NUMBERS),
        st.tuples(st.just("end"), NUMBERS, RESULTS),
        st.tuples(st.just("leave"), NUMBERS),
        st.tuples(st.just("state"), SERVER, st.sampled_from(sorted(api.ServerState))),
        st.tuples(st.just("restart"), SERVER),
        st.tuples(st.just("full"), st.sets(SERVER)),
        st.tuples(st.just("peers"), SERVER, st.integers(0, 2)),
        st.tuples(st.just("wait"), st.integers(0, 2500)),
    ),
    max_size=60,
)


class Stream:
    """A balancer that gets the events of random steps; its records are checked after each event."""

    def __init__(self, **changes: Any) -> None:
        self.node = BalancerHarness(make_settings(**changes))
        self.asked = 0
        self.pending: set[int] = set()  # requests whose body is pending
        self.started: set[int] = set()  # requests whose response has started

        def report(event: api.Event, fault: str) -> None:
            raise AssertionError(f"after {event}: {fault}")

        watch_records(self.node.balancer, report)
        self.node.tell(fleet(SERVERS))

    def play(self, steps: list[Any]) -> None:
        for name, *values in steps:
            getattr(self, name)(*values)

    def request(self, cls: int, body_pending: bool, hedged: bool) -> None:
        self.asked += 1
        limits = api.Limits(hedges=1, hedge_delay=30 * MS) if hedged else None
        if body_pending:
            self.pending.add(self.asked)
        self.node.ask(self.asked, cls, limits=limits, body_pending=body_pending)

    def complete(self, number: int) -> None:
        if number in self.pending:
            self.pending.discard(number)
            self.node.give(api.RequestCompleted(number))

    def _in_flight(self, number: int) -> tuple[int, int] | None:
        """Return one attempt in flight: the request's id and the attempt's number."""
        in_flight = [
            (rid, n)
            for rid, book in self.node.requests.items()
            for n, attempt in enumerate(book.attempts)
            if attempt.result is None
        ]
        return in_flight[number % len(in_flight)] if in_flight else None

    def start(self, number: int) -> None:
        found = self._in_flight(number)
        if found is None or found[0] in self.started or self.node.requests[found[0]].over:
            return
        rid, n = found
        self.started.add(rid)
        self.node.give(api.ResponseStarted(rid, n, self.node.requests[rid].attempts[n].server, MS))

    def end(self, number: int, result: api.Result) -> None:
        found = self._in_flight(number)
        if found is not None:
            self.node.answer(*found, result)

    def leave(self, number: int) -> None:
        book = self.node.requests.get(number)
        if book is not None and not book.over:
            self.node.leave(number)

    def state(self, server: int, state: api.ServerState) -> None:
        line = fleet(SERVERS, state=state)[server]
        self.node.tell((line,), kind=api.ListKind.CHANGES)

    def restart(self, server: int) -> None:
        line = fleet(SERVERS, up_since=self.node.now)[server]
        self.node.tell((line,), kind=api.ListKind.CHANGES)

    def full(self, left_out: set[int]) -> None:
        self.node.tell(tuple(line for n, line in enumerate(fleet(SERVERS)) if n not in left_out))

    def peers(self, server: int, in_flight: int) -> None:
        self.node.give(api.PeerLoad({b"s%03d" % server: in_flight}, 3))

    def wait(self, milliseconds: int) -> None:
        self.node.run_to(self.node.now + milliseconds * MS)


@pytest.mark.parametrize("nodes", [1, 4])
@settings(max_examples=400)
@example(
    steps=[
        ("request", 0, True, False),
        ("full", {0, 1, 2, 3, 4}),
        ("complete", 1),
        ("end", 0, api.Result.OK),
    ]
)
@given(steps=STEPS)
def test_servers_idle_index_and_attempts_are_consistent_after_every_event(
    nodes: int, steps: list[Any]
) -> None:
    Stream(nodes=nodes, warm_up=4 * SECOND).play(steps)
