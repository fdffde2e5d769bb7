"""Each oracle reports a violation in a failing case, and none in a similar valid one."""

from __future__ import annotations

import pytest

from hollybay.balancing import interface as api
from hollybay.simulation import oracles
from hollybay.simulation.http import MalformedMessageError, MessageReader, filler
from hollybay.simulation.oracles import OracleLedger
from hollybay.testbed.ledger import FinalOutcome, RuleLimits
from hollybay.units import MS, SECOND


@pytest.mark.parametrize(
    ("wrong", "right"),
    [
        (
            lambda: oracles.answer_violation(b"r\nab", {}),
            lambda: oracles.answer_violation(b"r\nab", {b"r": b"r\nab"}),
        ),
        (lambda: oracles.answer_violation(b"r\na", {b"r": b"r\nab"}), lambda: None),
        (
            lambda: oracles.address_violation(False, None, 5, 1),
            lambda: oracles.address_violation(True, None, 5, 1),
        ),
        (
            lambda: oracles.address_violation(False, 5, 8, 2),
            lambda: oracles.address_violation(False, 5, 7, 2),
        ),
        (lambda: oracles.attempt_violation(3, 2), lambda: oracles.attempt_violation(2, 2)),
        (
            lambda: oracles.time_left_violation(600, 500 * MS, MS),
            lambda: oracles.time_left_violation(500, 500 * MS, 0),
        ),
        (
            lambda: oracles.time_left_violation(None, SECOND, 0),
            lambda: oracles.time_left_violation(1, SECOND, 0),
        ),
        (
            lambda: oracles.after_disconnect_violation(5, 9, 3),
            lambda: oracles.after_disconnect_violation(5, 8, 3),
        ),
        (
            lambda: oracles.after_disconnect_violation(0, 9, 3),
            lambda: oracles.after_disconnect_violation(None, 9, 0),
        ),
        (lambda: oracles.idle_violation(1.1, 1.0), lambda: oracles.idle_violation(1.0, 1.0)),
        (lambda: oracles.connect_violation(0.3, 0.25), lambda: oracles.connect_violation(0.25, 0.25)),
        (lambda: oracles.status_violation(200, (400,)), lambda: oracles.status_violation(400, (400, 409))),
        (
            lambda: oracles.retry_after_violation(b"3", SECOND),
            lambda: oracles.retry_after_violation(b"1", SECOND),
        ),
        (
            lambda: oracles.retry_after_violation(b"soon", SECOND),
            lambda: oracles.retry_after_violation(None, 0),
        ),
        (lambda: oracles.retry_after_violation(b"1", 0), lambda: None),
        (
            lambda: oracles.header_violation(
                [(b"te", b"x"), (b"host", b"h")], frozenset((b"te",)), (b"host",)
            ),
            lambda: oracles.header_violation([(b"host", b"h")], frozenset((b"te",)), (b"host",)),
        ),
        (lambda: oracles.header_violation([], frozenset(), (b"host",)), lambda: None),
        (
            lambda: oracles.budget_violation({"x": (-1, 3)}),
            lambda: oracles.budget_violation({"x": (0, 3), "y": (3, 3)}),
        ),
        (lambda: oracles.budget_violation({"x": (4, 3)}), lambda: None),
        (lambda: oracles.leak_violation({"a": 0, "b": 2}), lambda: oracles.leak_violation({"a": 0})),
    ],
)
def test_an_oracle_reports_only_violations(wrong: object, right: object) -> None:
    assert wrong() is not None  # type: ignore[operator]
    assert right() is None  # type: ignore[operator]


READ = api.RequestClass("read", api.Effect.SAFE, 1.0, 100 * MS, 500 * MS)
SEND = api.RequestClass("send", api.Effect.UNSAFE, 1.0, 100 * MS, 500 * MS)


def new_ledger() -> tuple[OracleLedger, list[int]]:
    now = [0]
    limits = RuleLimits((READ, SEND), SECOND, 0.3, 4 * SECOND, max_attempts=2)
    return OracleLedger(limits, lambda: now[0]), now


def rules(ledger: OracleLedger) -> list[str]:
    return [fault.rule for fault in ledger.found]


def test_an_overdue_response_is_reported_at_the_first_step_after_its_deadline() -> None:
    ledger, now = new_ledger()
    ledger.asked("a", 0, 0, 500 * MS)
    ledger.asked("b", 0, 0, 500 * MS)
    ledger.asked("c", 0, 0, 500 * MS)
    ledger.accepted = lambda rid: rid != "c"
    ledger.answered("a", FinalOutcome.SERVED, 400 * MS)
    now[0] = 550 * MS
    ledger.check_step()
    assert not ledger.found
    now[0] = 551 * MS
    ledger.check_step()
    assert [(fault.rule, fault.subject) for fault in ledger.found] == [("lost", "b")]


def test_repeated_effects_wrong_rejections_and_attempts_after_a_disconnect_are_reported_at_once() -> None:
    ledger, now = new_ledger()
    start = ledger.started("s", 0, 1.0, cold=False)
    ledger.asked("a", 1, 0, 500 * MS)
    ledger.arrived("a", start, MS, 0, 0, MS, True)
    assert not ledger.found
    ledger.arrived("a", start, 2 * MS, 0, 0, MS, True)
    assert rules(ledger) == ["dup"]
    ledger.answered("a", FinalOutcome.REFUSED, 3 * MS)
    assert "dup" in rules(ledger)[1:]
    ledger.asked("b", 0, 0, 500 * MS)
    now[0] = 5 * MS
    ledger.left("b")
    ledger.arrived("b", start, 20 * MS, 0, 0, MS, True)
    assert "left" not in rules(ledger)
    ledger.arrived("b", start, 26 * MS, 0, 0, MS, True)
    assert "left" in rules(ledger)
    for _ in range(2):
        ledger.arrived("b", start, 27 * MS, 0, 0, MS, False)
    assert any("attempts" in fault.reason for fault in ledger.found)


def test_too_much_work_for_a_server_is_reported_in_slow_start_only() -> None:
    ledger, _ = new_ledger()
    cold = ledger.started("cold", 0, 1.0, cold=True)
    warm = ledger.started("warm", 0, 1.0, cold=False)
    for n in range(40):
        ledger.asked(f"a{n}", 0, 0, 10 * SECOND)
        ledger.arrived(f"a{n}", warm, 10 * MS, 0, 0, 100 * MS, True)
    assert not ledger.found
    for n in range(26):
        ledger.arrived(f"a{n}", cold, 10 * MS, 0, 0, 100 * MS, False)
    # The limit is 4 x 0.3 x 2 s and one request of tolerance; 2.6 s of work were sent.
    assert rules(ledger) == ["cold"]


def test_an_attempt_after_the_drain_grace_is_reported_for_each_node_separately() -> None:
    ledger, _ = new_ledger()
    ledger.told("s", False, 0, "n0")
    ledger.first_byte("s", 2 * SECOND, "n1")
    assert not ledger.found
    ledger.first_byte("s", 2 * SECOND, "n0")
    assert rules(ledger) == ["drain"]
    ledger.forget("n0")
    ledger.first_byte("s", 3 * SECOND, "n0")
    assert rules(ledger) == ["drain"]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
        b"HTTP/1.1 200 x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 20 x\r\n\r\n",
        b"HTTP/1.1 200 x\r\nno header\r\n\r\n",
        b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        b"\x00" * 70_000,
    ],
)
def test_the_message_reader_rejects_malformed_messages(data: bytes) -> None:
    reader = MessageReader(answers=True)
    reader.feed(data)
    with pytest.raises(MalformedMessageError):
        reader.next()


def test_the_message_reader_parses_byte_by_byte() -> None:
    body = filler("r", 100)
    data = (
        b"HTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"32\r\n%s\r\n32;a=b\r\n%s\r\n0\r\n\r\n" % (body[:50], body[50:])
        + b"HTTP/1.1 200 x\r\n\r\nto the end"
    )
    reader = MessageReader(answers=True)
    whole = []
    for at in range(len(data)):
        reader.feed(data[at : at + 1])
        message = reader.next()
        if message is not None:
            whole.append(message.content)
    assert whole == [body] and reader.informational == [103]
    last = reader.ended()
    assert last is not None and last.content == b"to the end"
    reader.feed(b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf")
    assert reader.next() is None
    with pytest.raises(MalformedMessageError):
        reader.ended()
