"""The ledger's verdict: it finds each broken rule, on its own books and on sockets, and nothing else."""

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


def books(cls: int = SAFE) -> tuple[Ledger, ServerStart, RequestEntry]:
    ledger = Ledger(LIMITS)
    start = ledger.started("s-1", 0, capacity=1.0, cold=False)
    return ledger, start, ledger.asked("r", cls, 10 * SECOND, 10 * SECOND + LIMITS.classes[cls].deadline)


def run(ledger: Ledger, start: ServerStart, at: int, cell: int = 0, runs: bool = True) -> None:
    ledger.arrived("r", start, 10 * SECOND + at, 0, cell, 10 * MS, runs)


def found(ledger: Ledger) -> dict[str, int]:
    return {rule: count for rule, count in ledger.check().counts.items() if count}


@pytest.mark.parametrize("final", [FinalOutcome.SERVED, FinalOutcome.REFUSED, FinalOutcome.FAILED])
@pytest.mark.parametrize("cls", [SAFE, UNSAFE, CELL, ALL])
def test_one_answer_in_time_keeps_all_rules(final: FinalOutcome, cls: int) -> None:
    ledger, start, _ = books(cls)
    if final is not FinalOutcome.REFUSED:
        run(ledger, start, 0)
    ledger.answered("r", final, 10 * SECOND + 100 * MS)
    assert ledger.check() and found(ledger) == {}


@pytest.mark.parametrize("final", [FinalOutcome.BROKEN, FinalOutcome.SILENT, FinalOutcome.WRONG, None])
def test_a_request_without_its_answer_is_lost(final: FinalOutcome | None) -> None:
    ledger, _, _ = books()
    if final is not None:
        ledger.answered("r", final, 10 * SECOND + 100 * MS)
    assert not ledger.check()
    assert found(ledger) == {"lost": 1}


def test_a_late_or_second_answer_is_a_loss() -> None:
    ledger, _, _ = books()
    ledger.answered("r", FinalOutcome.FAILED, 10 * SECOND + 551 * MS)
    assert found(ledger) == {"lost": 1}
    ledger, _, _ = books()
    ledger.answered("r", FinalOutcome.SERVED, 10 * SECOND)
    ledger.answered("r", FinalOutcome.FAILED, 10 * SECOND)
    assert found(ledger) == {"lost": 1}


def test_what_a_killed_node_held_is_excused_and_a_wrong_answer_never() -> None:
    ledger, _, entry = books()
    ledger.killed(11 * SECOND)
    ledger.answered("r", FinalOutcome.BROKEN, 11 * SECOND)
    assert entry.excused and found(ledger) == {}
    ledger, _, _ = books()
    ledger.killed(11 * SECOND)
    ledger.answered("r", FinalOutcome.WRONG, 11 * SECOND)
    assert found(ledger) == {"lost": 1}


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
def test_a_second_run_is_judged_by_class_group_and_window(cls: int, at: int, cell: int, broken: bool) -> None:
    ledger, start, _ = books(cls)
    run(ledger, start, 0)
    run(ledger, start, at, cell)
    ledger.answered("r", FinalOutcome.SERVED, 10 * SECOND + 400 * MS)
    assert found(ledger) == ({"dup": 1} if broken else {})


@pytest.mark.parametrize(("cls", "broken"), [(SAFE, False), (UNSAFE, True), (CELL, True), (ALL, False)])
def test_a_refusal_after_a_run_is_judged_by_class(cls: int, broken: bool) -> None:
    ledger, start, _ = books(cls)
    run(ledger, start, 0, runs=False)
    run(ledger, start, MS)
    ledger.answered("r", FinalOutcome.REFUSED, 10 * SECOND + 400 * MS)
    assert found(ledger) == ({"dup": 1} if broken else {})


def test_more_attempts_than_the_settings_allow_are_found() -> None:
    ledger, start, _ = books()
    for n in range(LIMITS.max_attempts + 1):
        run(ledger, start, n, runs=False)
    ledger.answered("r", FinalOutcome.REFUSED, 10 * SECOND)
    assert found(ledger) == {"dup": 1}


def test_a_server_that_gets_what_no_client_sent() -> None:
    ledger = Ledger(LIMITS)
    ledger.arrived("nobody", ledger.started("s-1", 0, 1.0), 0, 0, 0, 0, True)
    assert found(ledger) == {"lost": 1}


def test_drains_are_counted_from_when_they_were_told_until_taken_back() -> None:
    ledger = Ledger(LIMITS)
    ledger.told("s-1", False, 5 * SECOND)
    ledger.told("s-1", False, 9 * SECOND)  # told again: the first telling counts
    ledger.first_byte("s-1", 6 * SECOND + 50 * MS)
    assert found(ledger) == {}
    ledger.first_byte("s-1", 6 * SECOND + 51 * MS)
    assert found(ledger) == {"drain": 1}
    ledger.told("s-1", True, 10 * SECOND)
    ledger.first_byte("s-1", 60 * SECOND)
    assert found(ledger) == {"drain": 1}


@pytest.mark.parametrize(("requests", "broken"), [(40, False), (90, True)])
def test_work_sent_to_a_cold_server_is_held_to_its_budget(requests: int, broken: bool) -> None:
    # 0.1 s of work each within the first 2 s; some 4 x 0.5 x 2 s = 4 s are allowed.
    ledger = Ledger(LIMITS)
    start = ledger.started("s-1", 0, capacity=1.0)
    for n in range(requests):
        ledger.asked(f"r-{n}", SAFE, 0, 60 * SECOND)
        ledger.arrived(f"r-{n}", start, n * 2 * SECOND // requests, 0, 0, 100 * MS, True)
        ledger.answered(f"r-{n}", FinalOutcome.SERVED, SECOND)
    assert found(ledger) == ({"cold": 1} if broken else {})


def test_the_cold_budget_grows_with_age_and_ends_with_the_warm_up() -> None:
    assert rules.slow_start_factor(0, 0.5, 8 * SECOND) == 0.5
    assert rules.slow_start_factor(4 * SECOND, 0.5, 8 * SECOND) == 0.75
    assert rules.slow_start_factor(9 * SECOND, 0.5, 8 * SECOND) == 1.0
    heavy = [(20 * SECOND + n, SECOND) for n in range(100)]
    assert rules.cold_violation(heavy, 1.0, 0.5, 8 * SECOND, 4.0, 2 * SECOND) is None


def test_a_bad_proxy_on_sockets_is_caught() -> None:
    """What a node must not do, done by hand to modelled servers: run twice, overload, send after a drain."""

    async def play() -> None:
        ledger = Ledger(LIMITS)
        server = FakeServer("s-1", ServerKind("m", 1.0), ledger, lambda target, chance: 0.001)
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
        assert found(ledger) == {"dup": 1, "drain": 1}
        server.crash()
        assert await reader.read() == b""
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", server.port)

    asyncio.run(play())
