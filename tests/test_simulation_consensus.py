"""The simulated consensus group: seeds, the invariants, and the verdicts that operators get."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

import pytest

from hollybay.consensus.cluster_view import ClusterView, EpochRecord, parse_status
from hollybay.consensus.invariants import (
    OutcomeReported,
    ReportedOutcome,
    RequestBegun,
    find_violations,
)
from hollybay.consensus.verdict import judge
from hollybay.simulation.consensus_simulation import (
    Scenario,
    SimulationResult,
    play,
    scenario_of,
    stream_scenario_of,
)

SEEDS = range(50)
STREAM_SEEDS = range(25)


def test_fifty_seeds_violate_no_invariant_and_converge() -> None:
    scenarios = [replace(scenario_of(seed), seconds=7.0) for seed in SEEDS]
    with ProcessPoolExecutor(8) as pool:
        found = list(pool.map(play, SEEDS, scenarios, chunksize=2))
    for result in found:
        assert not result.violations, (result.seed, result.violations[:3])
        assert result.converged, (result.seed, result.detail)
    # The runs must have enough events to be meaningful.
    assert sum(result.requests_begun for result in found) > 60_000
    assert sum(result.in_force for result in found) > 30
    assert sum(result.dropped for result in found) > 5


def test_each_change_of_a_stream_is_decided_once_and_its_proposer_gets_the_verdict() -> None:
    """Voters are killed, partitioned or suspended, disks are full or lost, and proposers repeat changes."""
    scenarios = [replace(stream_scenario_of(seed), seconds=10.0) for seed in STREAM_SEEDS]
    with ProcessPoolExecutor(8) as pool:
        found = list(pool.map(play, STREAM_SEEDS, scenarios, chunksize=2))
    for result in found:
        assert not result.violations, (result.seed, result.violations[:3])
        assert result.converged, (result.seed, result.detail)
    # The runs must have enough events to be meaningful.
    assert sum(result.streamed for result in found) > 500
    assert sum(result.rejected for result in found) > 200


def test_two_runs_of_a_seed_are_the_same() -> None:
    scenario = Scenario(seconds=6.0)
    one, other = play(3, scenario), play(3, scenario)
    assert (
        isinstance(one, SimulationResult)
        and one.trace == other.trace
        and one.requests_begun == other.requests_begun > 0
    )


def test_one_voter_at_a_time_drives_a_dropped_change_to_a_decision() -> None:
    """When all voters did at once, their ballots invalidated each other's, and a decision took seconds."""
    quiet = Scenario(seconds=15.0, faults=0.0, loss=0.0, duplicated=0.0, drops=1.0)
    for seed in (1, 2):
        result = play(seed, quiet)
        assert result.converged and result.dropped > 2, (seed, result.detail)
        assert result.ballots < 2.5 * result.epochs_decided, (seed, result.ballots, result.epochs_decided)


OLD, NEW, LATER = "1-00000000000a", "2-00000000000b", "3-00000000000c"


def in_force(at: int, change: str) -> OutcomeReported:
    return OutcomeReported(at, change, ReportedOutcome.IN_FORCE)


def nowhere(at: int, change: str) -> OutcomeReported:
    return OutcomeReported(at, change, ReportedOutcome.NOT_IN_FORCE)


@pytest.mark.parametrize(
    ("events", "reason"),
    [
        (
            [
                RequestBegun(1, "a", (OLD,)),
                RequestBegun(2, "b", (OLD, NEW)),
                RequestBegun(3, "a", (NEW,)),
                RequestBegun(4, "b", (OLD, NEW)),
            ],
            "",
        ),
        ([RequestBegun(1, "a", (NEW,)), RequestBegun(2, "b", (OLD,))], "after one at a began under 2-"),
        ([RequestBegun(2, "a", (LATER,)), RequestBegun(3, "b", (OLD, NEW))], "after one at a began under 3-"),
        ([RequestBegun(1, "a", ("2-00000000000d",)), RequestBegun(2, "b", (OLD, NEW))], "after one at a"),
        ([RequestBegun(1, "a", ())], "no policy is in force"),
        ([in_force(1, NEW), RequestBegun(2, "a", (OLD, NEW))], "was reported as in force everywhere"),
        ([in_force(2, NEW), RequestBegun(2, "a", (OLD, NEW))], ""),
        ([nowhere(1, NEW), RequestBegun(2, "a", (NEW,))], "was reported as dropped"),
        ([RequestBegun(1, "a", (NEW,)), nowhere(2, NEW)], "but was in force"),
        ([nowhere(1, NEW), in_force(2, NEW)], "is reported as both in force and dropped"),
    ],
)
def test_find_violations(events: list[RequestBegun | OutcomeReported], reason: str) -> None:
    found = find_violations(events)
    assert bool(found) == bool(reason) and all(reason in violation.reason for violation in found), found


def voter(epoch: int, stage: str, policy: str, new: str = "", **more: object) -> dict[str, object]:
    fields: dict[str, object] = {
        "epoch": epoch, "stage": stage, "policy": policy, "new": new, "quiet_s": 0.0, "late_s": 0.0,
        "older": [], "reasons": {}, "pending": "",
    }  # fmt: skip
    return fields | more


def cluster_view(*voters: dict[str, object], **epochs: tuple[str, str, str]) -> ClusterView:
    found = ClusterView({f"k{n}": parse_status({"keeper": one}) for n, one in enumerate(voters)})
    found.epochs = {int(epoch[1:]): EpochRecord(int(epoch[1:]), *one) for epoch, one in epochs.items()}
    found.voters_by_policy = {NEW: ["k0", "k1", "k2"]}
    return found


def test_the_verdict_on_a_change_follows_from_the_decided_epochs() -> None:
    prepare, narrow = ("PREPARE", OLD, NEW), ("NARROW", OLD, NEW)
    new, old = ("SETTLED", NEW, ""), ("SETTLED", OLD, "")
    held = voter(3, "SETTLED", NEW)
    assert judge(cluster_view(), NEW, 1).code == 3
    assert judge(cluster_view(voter(0, "SETTLED", OLD)), NEW, 1).text == "not begun"
    assert judge(cluster_view(voter(1, *prepare), e1=("PREPARE", OLD, "2-00000000000d")), NEW, 1).code == 1
    assert judge(cluster_view(voter(2, *narrow), e1=prepare, e2=narrow), NEW, 1).text == "under way"
    assert judge(cluster_view(voter(2, *old), e1=prepare, e2=old), NEW, 1).text == "dropped"
    assert judge(cluster_view(voter(3, *old), e2=narrow, e3=old), NEW, 1).code == 1
    # In force everywhere: a majority of the voters knows that no lease of an older epoch is running.
    one = judge(cluster_view(held, e1=prepare, e2=narrow, e3=new), NEW, 1)
    assert one.code == 3 and "some nodes" in one.text
    assert judge(cluster_view(held, held, e2=narrow, e3=new), NEW, 1).code == 0
    running = voter(3, "SETTLED", NEW, older=[{"epoch": 2}])
    assert judge(cluster_view(held, running, e2=narrow, e3=new), NEW, 1).code == 3
    assert (
        judge(cluster_view(held, voter(3, "SETTLED", NEW, quiet_s=1.0), e2=narrow, e3=new), NEW, 1).code == 3
    )
    # With a later change under way: no voter accepted it while a lease of an older epoch was running, but
    # such a lease may be late.
    later = voter(4, "PREPARE", NEW, LATER)
    assert judge(cluster_view(later, e2=narrow, e3=new), NEW, 1).code == 0
    late = voter(4, "PREPARE", NEW, LATER, late_s=9.0, older=[{"epoch": 2}])
    assert judge(cluster_view(late, late, e2=narrow, e3=new), NEW, 1).code == 3
    # The status of a voter that is older than another's history is not final.
    assert judge(cluster_view(voter(2, *narrow), e2=narrow, e3=new), NEW, 1).code == 3
