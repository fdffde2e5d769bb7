"""Event logs are readable after a kill at any byte, and merge into one ledger for the rules."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.cluster.merged_run import Excuse, merge_events
from hollybay.cluster.records import (
    Answered,
    Arrived,
    Asked,
    Began,
    Event,
    EventLog,
    Left,
    NodeEnded,
    Posted,
    ServerDown,
    ServerUp,
    Told,
    read_events,
)
from hollybay.testbed.balancer_harness import CLASSES, MS, SECOND
from hollybay.testbed.ledger import RuleLimits

LIMITS = RuleLimits(CLASSES, SECOND, 0.3, 8 * SECOND)
SAFE, UNSAFE = 0, 1
EVENTS: list[Event] = [
    Asked(1, "r1", 0, 99, "t", 5),
    Posted(2, "r1", "n0", True),
    Answered(3, "r1", "served", 200, None, 0),
    ServerUp(4, "s0", 1.3, 1, False),
    Told(5, "n0", "s0", True),
]


@given(st.integers(0, 400))
def test_an_event_log_truncated_at_any_byte_gives_the_events_before(cut: int) -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.journal"
        journal = EventLog(path)
        for event in EVENTS:
            journal.write(event)
        journal.close()
        data = path.read_bytes()
        path.write_bytes(data[:cut])
        found = list(read_events(path))
        assert found == EVENTS[: len(found)]
        assert cut < len(data) or found == EVENTS


def test_unflushed_events_are_not_in_the_file_and_a_log_is_never_overwritten(tmp_path: Path) -> None:
    path = tmp_path / "a.journal"
    journal = EventLog(path)
    journal.write(EVENTS[0])
    assert list(read_events(path)) == []
    journal.flush()
    assert list(read_events(path)) == EVENTS[:1]
    with pytest.raises(FileExistsError):
        EventLog(path)


@pytest.mark.parametrize(
    "data", [b"\xff\xff\xff\xff\x01", b"\x00\x00\x00\x02\xc1\xc1", b"\x00\x00\x00\x01\x05"]
)
def test_a_file_that_is_not_an_event_log_is_an_error(data: bytes, tmp_path: Path) -> None:
    path = tmp_path / "x.journal"
    path.write_bytes(data)
    with pytest.raises(ValueError, match=r"x\.journal: invalid event at byte 0"):
        list(read_events(path))


def request(rid: str, at: int, cls: int = SAFE, node: str = "n0", fresh: bool = True) -> list[Event]:
    return [
        Asked(at, rid, cls, at + LIMITS.classes[cls].deadline, "", 20 * MS),
        Posted(at + 1, rid, node, fresh),
    ]


def visit(rid: str, at: int, server: str = "s0") -> list[Event]:
    return [
        Arrived(at, rid, server, at - 1, 20 * MS, 0, 0, True),
        Began(at, rid, server),
        Left(at + 20 * MS, rid, server, True),
    ]


UP: list[Event] = [ServerUp(0, "s0", 1.0, 1, False), ServerUp(0, "s1", 1.0, 1, False)]


def test_the_merged_events_of_a_clean_run_pass_all_rules() -> None:
    clients = [*request("a", 100), Answered(30 * MS, "a", "served", 200, None, 0)]
    merged = merge_events([*UP, *visit("a", 200), *clients], LIMITS, SECOND)
    assert merged.verdict and not merged.excused
    (came,) = merged.visits
    assert (came.server, came.node, came.at, came.began, came.left) == ("s0", "n0", 200, 200, 200 + 20 * MS)
    assert merged.lifetimes[0].healthy == ((0, SECOND),)
    assert [a.work for a in merged.arrivals] == [20 * MS]


def test_rules_are_checked_over_events_of_several_processes() -> None:
    twice = [*UP, *request("a", 100, UNSAFE), *visit("a", 200), *visit("a", 5 * MS, "s1")]
    twice.append(Answered(30 * MS, "a", "served", 200, None, 0))
    assert merge_events(twice, LIMITS, SECOND).verdict.counts["dup"] == 1
    lost = [*UP, *request("a", 100), Answered(30 * MS, "a", "broken", 0, None, 0)]
    assert merge_events(lost, LIMITS, SECOND).verdict.counts["lost"] == 1
    drained = [*UP, Told(50, "n1", "s0", False), *request("a", 2 * SECOND, SAFE, "n1")]
    drained += [*visit("a", 2 * SECOND + 5), Answered(2 * SECOND + 30 * MS, "a", "served", 200, None, 0)]
    assert merge_events(drained, LIMITS, 3 * SECOND).verdict.counts["drain"] == 1
    # A node that was not sent the state may still send there, and so may a new process of the node that was.
    other = [Told(50, "n0", "s0", False) if event == drained[2] else event for event in drained]
    assert merge_events(other, LIMITS, 3 * SECOND).verdict
    assert merge_events([*drained, NodeEnded(SECOND, "n1", False)], LIMITS, 3 * SECOND).verdict


def test_only_failures_caused_by_the_harness_are_excused() -> None:
    held = [*UP, *request("a", 100), Answered(30 * MS, "a", "broken", 0, None, 0)]
    killed = merge_events([*held, NodeEnded(20 * MS, "n0", True)], LIMITS, SECOND)
    assert killed.verdict and killed.excused == {"killed": 1}
    assert not merge_events([*held, NodeEnded(20 * MS, "n1", True)], LIMITS, SECOND).verdict
    assert not merge_events([*held, NodeEnded(40 * MS, "n0", True)], LIMITS, SECOND).verdict
    assert not merge_events([*held, NodeEnded(20 * MS, "n0", False)], LIMITS, SECOND).verdict
    # A connection opened before the kill and used after it: excused if the request reached no server.
    after = [*UP, request("a", 100)[0], Posted(25 * MS, "a", "n0", True), held[-1]]
    assert merge_events([*after, NodeEnded(20 * MS, "n0", True)], LIMITS, SECOND).excused == {"killed": 1}
    assert not merge_events(
        [*after, *visit("a", 26 * MS), NodeEnded(20 * MS, "n0", True)], LIMITS, SECOND
    ).verdict
    stopped = merge_events(held, LIMITS, SECOND, [Excuse("n0", 10 * MS, 25 * MS, "stopped")])
    assert stopped.verdict and stopped.excused == {"stopped": 1}
    assert not merge_events(held, LIMITS, SECOND, [Excuse("n0", 40 * MS, 50 * MS, "stopped")]).verdict
    never = [*UP, request("a", 100)[0], Answered(30 * MS, "a", "broken", 0, None, 0)]
    assert merge_events(never, LIMITS, SECOND).excused == {"unreached": 1}
    crossed = [*UP, *request("a", 100, fresh=False), Answered(30 * MS, "a", "broken", 0, None, 0)]
    assert merge_events(crossed, LIMITS, SECOND).excused == {"crossed": 1}
    # A request that a server ran is not excused for a crossed connection.
    ran = [*crossed, *visit("a", 5 * MS)]
    assert not merge_events(ran, LIMITS, SECOND).verdict


def test_a_server_is_healthy_while_it_is_up_warm_and_without_faults() -> None:
    events: list[Event] = [
        ServerUp(0, "s0", 1.0, 1, False),
        ServerDown(10 * SECOND, "s0"),
        ServerUp(20 * SECOND, "s0", 1.0, 1, True),
    ]
    (lifetime,) = merge_events(events, LIMITS, 40 * SECOND, (), [("s0", 2 * SECOND, 4 * SECOND)]).lifetimes
    assert lifetime.healthy == ((0, 2 * SECOND), (4 * SECOND, 10 * SECOND), (28 * SECOND, 40 * SECOND))
    assert (
        lifetime.is_healthy_at(SECOND)
        and not lifetime.is_healthy_at(3 * SECOND)
        and not lifetime.is_healthy_at(25 * SECOND)
    )
