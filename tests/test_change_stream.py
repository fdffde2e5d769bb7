"""A stream of changes through real processes under load and faults: each has one outcome, the same for all.

12 nodes, 3 of them voters, agree by group commit. Besides the atomicity check and the four rules on the
merged ledger, the logs on the disks of the nodes are checked after all processes have exited.
"""

from __future__ import annotations

import asyncio

from hollybay.cluster.change_stream import (
    Burst,
    ChangeKind,
    FullDisk,
    Stream,
    StreamResult,
    find_violations,
    proposals,
    run_stream,
)
from hollybay.cluster.harness import HarnessError
from hollybay.cluster.plan import compile_plan
from hollybay.cluster.report import report_of

from .test_cluster_consensus import run_of
from .test_cluster_faults import fault, group

NODES = 12
FAULTS = (
    group("keeper", "nodes", 0.0, 1 / 12)
    + group("killed", "nodes", 8 / 12, 9 / 12)
    + group("stopped", "nodes", 9 / 12, 10 / 12)
    + group("third", "nodes", 8 / 12, 12 / 12)
    + group("rest", "nodes", 0.0, 8 / 12)
    + fault("kill", "3s", "2s", on="keeper")
    + fault("kill", "6s", "2s", on="killed")
    + fault("stop", "9s", "2500ms", on="stopped")
    + fault("cut", "15s", "2500ms", between=["third", "rest"])
)
STREAM = Stream(
    begin=1.5,
    end=18.0,
    rate=1.0,
    # The first burst is in the queue of a voter when that voter is killed.
    bursts=(Burst(2.98, 8), Burst(7.0, 16, 1), Burst(10.0, 8, 2), Burst(16.0, 8)),
    full_disks=(FullDisk("n010", 12.2, 13.8),),
)
# A disk that stays full.
FULL_DISK_STREAM = Stream(
    begin=1.5, end=4.0, rate=2.0, full_disks=(FullDisk("n004", 0.5, 6.5),), unfit="n003"
)
SHORT = Stream(begin=1.5, end=4.0, rate=1.0, bursts=(Burst(2.2, 8), Burst(3.2, 8, 1)))


async def _run_valid(text: str, stream: Stream, defect: str = "") -> StreamResult:
    """Run the stream; an incomplete or invalid run is repeated once."""
    why: object = None
    for _ in range(2):
        try:
            result = await run_stream(compile_plan(text, "stream", 1), stream, defect)
        except HarnessError as error:
            why = error
            continue
        if result.outcome.validity:
            return result
        why = result.outcome.validity.reasons
    raise AssertionError(f"invalid run, twice: {why}")


def test_a_stream_of_changes_through_faults_and_a_defect_that_the_check_detects() -> None:
    async def all_three() -> tuple[StreamResult, StreamResult, StreamResult]:
        return await asyncio.gather(
            _run_valid(run_of(NODES, 22.0, servers=12, load=0.5) + FAULTS, STREAM),
            _run_valid(run_of(5, 7.0), SHORT, "bad-change-drops-batch"),
            _run_valid(run_of(5, 7.0), FULL_DISK_STREAM),
        )

    result, defective, full = asyncio.run(all_three())
    wrong = find_violations(result.tracked, result.states, STREAM)
    assert not wrong, wrong
    report = report_of(result.outcome)
    assert not report.torn, report.torn
    assert not any(report.rules.values()), (report.rules, report.faults)
    assert sum(report.under.values()) > 500, report.under
    in_force = [one for one in result.tracked if one.verdicts[0].code == 0]
    assert len(in_force) >= 25 and result.largest_batch > 1
    assert {one.kind for one in in_force} == {ChangeKind.SOUND, ChangeKind.CHAINED, ChangeKind.RIVAL}
    # The check detects the planted defect: a bad change that rejects its whole batch.
    assert any("sound change" in text and "is rejected" in text for text in find_violations(
        defective.tracked, defective.states, SHORT
    ))  # fmt: skip

    _check_rejected_for_full_disk(full)


def _check_rejected_for_full_disk(result: StreamResult) -> None:
    """While a disk stays full, each valid change is rejected with that reason."""
    wrong = find_violations(result.tracked, result.states, FULL_DISK_STREAM)
    assert not wrong, wrong
    sound = [one for one in result.tracked if one.kind is ChangeKind.SOUND]
    assert sound
    for one in sound:
        assert [verdict.code for verdict in one.verdicts] == [1] * len(one.verdicts), one
        assert all("No space left" in str(verdict.reasons) for verdict in one.verdicts), one


def test_a_stream_is_drawn_from_its_seed() -> None:
    drawn = proposals(STREAM, 3)
    assert drawn == proposals(STREAM, 3)
    assert {one.kind for one in drawn} == set(ChangeKind)
    assert any(len(one.voters) == 2 for one in drawn)
    assert len({one.change.id for one in drawn}) == len(drawn)
