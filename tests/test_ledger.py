"""The ledger's verdict: each violation is found, from recorded events and on sockets, and nothing else."""

from __future__ import annotations

import asyncio
import time

import pytest

from hollybay.balancing import interface as api
from hollybay.testbed import rules
from hollybay.testbed.fake_server import FakeServer, ServerKind
from hollybay.testbed.ledger import FinalOutcome, Ledger, RequestEntry, RuleLimits, ServerStart
from hollybay.testbed.listener import LIMIT, round_trip
from hollybay.units import MS, SECOND

SAFE, UNSAFE, CELL, ALL = range(4)
LIMITS = RuleLimits(
    (
        api.RequestClass("view", api.Effect.SAFE, 1.0, 200 * MS, 500 * MS),
        api.RequestClass("send", api.Effect.UNSAFE, 1.0, SECOND, 5 * SECOND),
        api.RequestClass(
            "book", api.Effect.KEYED, 1.0, SECOND, 6 * SECOND, 0.0, api.DeduplicationScope.CELL, 4 * SECOND
        ),
        api.RequestClass(
            "tag", api.Effect.KEYED, 1.0, SECOND, 6 * SECOND, 0.0, api.DeduplicationScope.ALL, 4 * SECOND
        ),
    ),
    drain_grace=SECOND,
    cold_share=0.5,
    warm_up=8 * SECOND,
)


def recorded_request(cls: int = SAFE) -> tuple[Ledger, ServerStart, RequestEntry]:
    ledger = Ledger(LIMITS)
    start = ledger.started("s-1", 0, capacity=1.0, cold=False)
    return ledger, start, ledger.asked("r", cls, 10 * SECOND, 10 * SECOND + LIMITS.classes[cls].deadline)


def record_arrival(ledger: Ledger, start: ServerStart, at: int, cell: int = 0, runs: bool = True) -> None:
    ledger.arrived("r", start, 10 * SECOND + at, 0, cell, 10 * MS, runs)


def violation_counts(ledger: Ledger) -> dict[str, int]:
    return {rule: count for rule, count in ledger.check().counts.items() if count}


@pytest.mark.parametrize("final", [FinalOutcome.SERVED, FinalOutcome.REFUSED, FinalOutcome.FAILED])
@pytest.mark.parametrize("cls", [SAFE, UNSAFE, CELL, ALL])
def test_one_response_in_time_violates_no_rule(final: FinalOutcome, cls: int) -> None:
    ledger, start, _ = recorded_request(cls)
    if final is not FinalOutcome.REFUSED:
        record_arrival(ledger, start, 0)
    ledger.answered("r", final, 10 * SECOND + 100 * MS)
    assert ledger.check() and violation_counts(ledger) == {}


@pytest.mark.parametrize("final", [FinalOutcome.BROKEN, FinalOutcome.SILENT, FinalOutcome.WRONG, None])
def test_request_without_a_valid_response_is_lost(final: FinalOutcome | None) -> None:
    ledger, _, _ = recorded_request()
    if final is not None:
        ledger.answered("r", final, 10 * SECOND + 100 * MS)
    assert not ledger.check()
    assert violation_counts(ledger) == {"lost": 1}


def test_late_or_second_response_counts_as_lost() -> None:
    ledger, _, _ = recorded_request()
    ledger.answered("r", FinalOutcome.FAILED, 10 * SECOND + 551 * MS)
    assert violation_counts(ledger) == {"lost": 1}
    ledger, _, _ = recorded_request()
    ledger.answered("r", FinalOutcome.SERVED, 10 * SECOND)
    ledger.answered("r", FinalOutcome.FAILED, 10 * SECOND)
    assert violation_counts(ledger) == {"lost": 1}


def test_requests_of_a_killed_node_are_excused_but_not_a_wrong_response() -> None:
    ledger, _, entry = recorded_request()
    ledger.killed(11 * SECOND)
    ledger.answered("r", FinalOutcome.BROKEN, 11 * SECOND)
    assert entry.excused and violation_counts(ledger) == {}
    ledger, _, _ = recorded_request()
    ledger.killed(11 * SECOND)
    ledger.answered("r", FinalOutcome.WRONG, 11 * SECOND)
    assert violation_counts(ledger) == {"lost": 1}


@pytest.mark.parametrize(
    ("cls", "at", "cell", "broken"),
    [
        (SAFE, SECOND, 1, False),
        (UNSAFE, MS, 0, True),
        (CELL, MS, 0, False),
        (CELL, MS, 1, True),
        (CELL, 4 * SECOND + 50 * MS, 0, True),
        (ALL, MS, 1, False),
        (ALL, 5 * SECOND, 0, True),
    ],
)
def test_second_execution_is_judged_by_class_group_and_window(
    cls: int, at: int, cell: int, broken: bool
) -> None:
    ledger, start, _ = recorded_request(cls)
    record_arrival(ledger, start, 0)
    record_arrival(ledger, start, at, cell)
    ledger.answered("r", FinalOutcome.SERVED, 10 * SECOND + 400 * MS)
    assert violation_counts(ledger) == ({"dup": 1} if broken else {})


@pytest.mark.parametrize(("cls", "broken"), [(SAFE, False), (UNSAFE, True), (CELL, True), (ALL, False)])
def test_rejection_after_an_execution_is_judged_by_class(cls: int, broken: bool) -> None:
    ledger, start, _ = recorded_request(cls)
    record_arrival(ledger, start, 0, runs=False)
    record_arrival(ledger, start, MS)
    ledger.answered("r", FinalOutcome.REFUSED, 10 * SECOND + 400 * MS)
    assert violation_counts(ledger) == ({"dup": 1} if broken else {})


def test_more_attempts_than_allowed_are_found() -> None:
    ledger, start, _ = recorded_request()
    for n in range(LIMITS.max_attempts + 1):
        record_arrival(ledger, start, n, runs=False)
    ledger.answered("r", FinalOutcome.REFUSED, 10 * SECOND)
    assert violation_counts(ledger) == {"dup": 1}


def test_request_that_no_client_sent_is_found() -> None:
    ledger = Ledger(LIMITS)
    ledger.arrived("nobody", ledger.started("s-1", 0, 1.0), 0, 0, 0, 0, True)
    assert violation_counts(ledger) == {"lost": 1}


def test_drain_grace_counts_from_the_first_notice_until_the_server_is_ready_again() -> None:
    ledger = Ledger(LIMITS)
    ledger.told("s-1", False, 5 * SECOND)
    ledger.told("s-1", False, 9 * SECOND)  # told again: the first time counts
    ledger.first_byte("s-1", 6 * SECOND + 50 * MS)
    assert violation_counts(ledger) == {}
    ledger.first_byte("s-1", 6 * SECOND + 51 * MS)
    assert violation_counts(ledger) == {"drain": 1}
    ledger.told("s-1", True, 10 * SECOND)
    ledger.first_byte("s-1", 60 * SECOND)
    assert violation_counts(ledger) == {"drain": 1}


@pytest.mark.parametrize(("requests", "broken"), [(40, False), (90, True)])
def test_work_sent_to_a_cold_server_is_limited(requests: int, broken: bool) -> None:
    # Each request is 0.1 s of work, all within the first 2 s; about 4 x 0.5 x 2 s = 4 s are allowed.
    ledger = Ledger(LIMITS)
    start = ledger.started("s-1", 0, capacity=1.0)
    for n in range(requests):
        ledger.asked(f"r-{n}", SAFE, 0, 60 * SECOND)
        ledger.arrived(f"r-{n}", start, n * 2 * SECOND // requests, 0, 0, 100 * MS, True)
        ledger.answered(f"r-{n}", FinalOutcome.SERVED, SECOND)
    assert violation_counts(ledger) == ({"cold": 1} if broken else {})


def test_cold_limit_grows_with_age_and_ends_with_the_warm_up() -> None:
    assert rules.slow_start_factor(0, 0.5, 8 * SECOND) == 0.5
    assert rules.slow_start_factor(4 * SECOND, 0.5, 8 * SECOND) == 0.75
    assert rules.slow_start_factor(9 * SECOND, 0.5, 8 * SECOND) == 1.0
    heavy = [(20 * SECOND + n, SECOND) for n in range(100)]
    assert rules.cold_violation(heavy, 1.0, 0.5, 8 * SECOND, 4.0, 2 * SECOND) is None


@pytest.mark.parametrize(("told", "broken"), [(0, False), (20, False), (21, True), (30, True)])
def test_a_cold_server_counts_as_overloaded_by_nodes_that_were_told_of_its_start(
    told: int, broken: bool
) -> None:
    """The rule is broken if over two thirds of the work came from nodes that had been told."""
    window = rules.ColdWindow(1.0, 0.5, 8 * SECOND, 4.0, 2 * SECOND)
    for n in range(29):
        window.add(n, SECOND, told=n < told)
    assert (window.add(29, SECOND, told=told > 29) is not None) == broken


def test_violations_on_sockets_are_found() -> None:
    """Run an unsafe request twice on a fake server, and send to it after a drain."""

    async def play() -> None:
        ledger = Ledger(LIMITS)
        server = FakeServer("s-1", ServerKind("m", 1.0), ledger, lambda target, rng: 0.001)
        await server.start()
        now = time.monotonic_ns()
        ledger.asked("r-1", UNSAFE, now, now + 5 * SECOND)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        data = b"POST /send HTTP/1.1\r\nX-Correlation-Id: r-1\r\nContent-Length: 2\r\n\r\n{}"
        async with asyncio.timeout(LIMIT):
            for _ in range(2):
                head, body = await round_trip(reader, writer, data)
                assert b" 200 " in head and body == b"r-1 from s-1\n"
            ledger.told("s-1", False, time.monotonic_ns() - 2 * SECOND)
            server.state = "DRAINING"
            head, _ = await round_trip(reader, writer, data)
            assert b" 503 " in head and b"X-Unprocessed: 1" in head
        ledger.answered("r-1", FinalOutcome.SERVED, time.monotonic_ns())
        assert violation_counts(ledger) == {"dup": 1, "drain": 1}
        server.crash()
        assert await reader.read() == b""
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", server.port)

    asyncio.run(play())
