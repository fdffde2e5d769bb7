"""The core of a change of policy: its table, its rules one by one, and the model check over it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hollybay.consensus.acceptor import Acceptor, Lease
from hollybay.consensus.core import (
    Accept,
    Accepted,
    Decided,
    EpochState,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Stage,
    effective_policies,
    has_quorum,
    is_valid_successor,
)
from hollybay.consensus.leaseholder import Leaseholder
from hollybay.consensus.model_check import SearchResult, explore, settles, walk, walk_steps
from hollybay.consensus.model_world import (
    DISK_LOSSES,
    GRACE_TIMES,
    LATE_REPLIES,
    LONG_LEASES,
    LONG_WALKS,
    VOTER_CHANGES,
    Bounds,
    Roles,
    violation,
)
from hollybay.consensus.planted_defects import DEFECTS
from hollybay.consensus.proposer import Proposer

NOBODY: frozenset[str] = frozenset()
THREE = (frozenset({0, 1, 2}),)
ALONE = (frozenset({0}),)
UNFIT = (NOBODY, frozenset({"p1"}))
P = EpochState(0, Stage.SETTLED, "p0")
PREPARE = EpochState(1, Stage.PREPARE, "p0", "p1")
NARROW = EpochState(2, Stage.JOINT, "p0", "p1")
NEW = EpochState(3, Stage.SETTLED, "p1")
BOUNDS = {
    "long": LONG_WALKS,
    "long, unfit": replace(LONG_WALKS, unserviceable=UNFIT),
    "silent": LONG_LEASES,
    "silent, unfit": replace(LONG_LEASES, unserviceable=UNFIT),
    "late": GRACE_TIMES,
    "moved": VOTER_CHANGES,
    "lost, unfit": replace(DISK_LOSSES, unserviceable=UNFIT),
}
# The bounds and the seed by which each planted defect is found; `python -m hollybay.consensus.model_check`
# searches on.
SEEDS = {
    "voted before stored": ("silent", 58),
    "promised before stored": ("silent", 58),
    "reborn and not quiet": ("silent, unfit", 52),
    "a silent node not waited for": ("silent, unfit", 27),
    "a no heard too late": ("long, unfit", 57),
    "a no not heard": ("long, unfit", 0),
    "parent not compared": ("silent, unfit", 2),
    "votes below its promise": ("silent", 0),
    "votes not told": ("silent", 19),
    "leases on old epochs": ("silent", 26),
    "leases over too soon": ("long, unfit", 0),
    "lease counted from the answer": ("silent, unfit", 5),
    "one grant enough": ("long, unfit", 12),
    "old grants counted": ("long, unfit", 12),
    "end of the lease not looked at": ("long, unfit", 0),
    "serves what it cannot": ("long, unfit", 1),
    "yes without looking": ("long, unfit", 0),
    "majority of those that answered": ("long", 0),
    "in doubt and dropped": ("silent", 19),
    "votes with a lost disk": ("lost, unfit", 29),
    "nodes that are late not waited for": ("late", 67),
}


def test_the_table_of_epochs() -> None:
    way_on = [P, PREPARE, NARROW, NEW]
    for n, old in enumerate(way_on):
        for m, new in enumerate(way_on):
            assert is_valid_successor(old, new) == (m == n + 1)
    for old in (PREPARE, NARROW):
        assert is_valid_successor(old, EpochState(old.epoch + 1, Stage.SETTLED, "p0"))  # dropped
    assert not is_valid_successor(PREPARE, EpochState(2, Stage.SETTLED, "p1"))  # without NARROW
    assert not is_valid_successor(P, EpochState(1, Stage.PREPARE, "p0", "p0"))
    assert not is_valid_successor(PREPARE, EpochState(2, Stage.JOINT, "p0", "p2"))
    # Of two epochs in a row the policies that are effective always have one in common.
    for old, new in (
        (P, PREPARE),
        (PREPARE, NARROW),
        (NARROW, NEW),
        (NARROW, EpochState(3, Stage.SETTLED, "p0")),
    ):
        assert set(effective_policies(old)) & set(effective_policies(new))
    assert not set(effective_policies(PREPARE)) & set(effective_policies(NEW))


def test_a_lease_is_counted_from_before_it_was_asked_for_and_looked_at_when_used() -> None:
    node, ask = Leaseholder(7, THREE, latest_epoch=P).begin_round(100)
    assert ask == LeaseRequest(7, 1, P, -1, True)
    node = node.on_grant(LeaseGrant(0, 1, 0), 50)
    assert node.policies_in_force(110) == ()  # one of three is no majority
    node = node.on_grant(LeaseGrant(0, 1, 0), 50)
    assert node.policies_in_force(110) == ()
    node = node.on_grant(LeaseGrant(2, 1, 0), 50)
    assert node.policies_in_force(149) == ("p0",) and node.policies_in_force(150) == ()
    # Of an earlier call, or on another epoch: nothing.
    later, _ = node.begin_round(200)
    for grant in (LeaseGrant(0, 1, 0), LeaseGrant(1, 1, 0), LeaseGrant(0, 2, 1), LeaseGrant(1, 2, 1)):
        later = later.on_grant(grant, 50)
    assert later.policies_in_force(200) == ()


def test_a_node_serves_on_until_the_next_epoch_is_granted_or_its_lease_is_over() -> None:
    node = Leaseholder(1, ALONE, effective_epoch=PREPARE, lease_end=50, latest_epoch=PREPARE)
    node = node.on_decided(Decided(NARROW), ALONE)
    assert node.policies_in_force(10) == ("p0",) and node.on_decided(Decided(PREPARE), ALONE) is node
    node, ask = node.begin_round(10)
    assert (ask.state, ask.serving_epoch) == (NARROW, 1)
    assert node.on_grant(LeaseGrant(0, 1, 2), 50).policies_in_force(20) == ("p0", "p1")
    unfit = node._replace(unserviceable_policies=frozenset({"p1"})).on_grant(LeaseGrant(0, 1, 2), 50)
    assert unfit.policies_in_force(20) == ("p0",) and unfit.policies_in_force(50) == ()


def test_a_keeper_votes_once_nobody_serves_under_an_epoch_before_the_last() -> None:
    keeper = Acceptor(0, NARROW, leases=(Lease(1, 1, 60, True), Lease(2, 2, 90, True)))
    call = Accept((1, 1), NEW)
    assert keeper.on_accept(59, call) == (keeper, None)
    voted, vote = keeper.on_accept(60, call)
    assert vote is not None and voted.accepted == ((1, 1), NEW)
    # Not while a life before may have granted some.
    assert keeper._replace(leases=()).restarted(100, 30).on_accept(129, call)[1] is None
    assert keeper._replace(leases=()).restarted(100, 30).on_accept(130, call)[1] is not None


def test_a_keeper_keeps_a_lease_while_its_node_may_still_serve_under_it() -> None:
    keeper = Acceptor(0, NARROW, leases=(Lease(1, 1, 60, True),))
    asked, _ = keeper.grant_lease(10, LeaseRequest(1, 2, NARROW, 1, True), 50)
    assert not asked.may_vote(20, NEW)  # its grant may be lost, and the node goes on under PREPARE
    moved, _ = asked.grant_lease(20, LeaseRequest(1, 3, NARROW, 2, True), 50)
    assert moved.may_vote(20, NEW)  # it says that it serves under NARROW now


def test_a_late_node_goes_on_under_the_narrower_and_keepers_wait_for_it() -> None:
    node = Leaseholder(1, ALONE, latest_epoch=PREPARE)
    node, ask = node.begin_round(100)
    node = node.on_grant(LeaseGrant(0, 1, 1), 50, 30)
    assert node.policies_in_force(149) == ("p0",) and node.policies_in_force(150) == (
        "p0",
        "p1",
    ) == node.policies_in_force(179)
    assert (
        node.policies_in_force(180) == ()
        and node._replace(unserviceable_policies=frozenset({"p1"})).policies_in_force(150) == ()
    )
    assert node.begin_round(179)[1].serving_epoch == 1 and node.begin_round(180)[1].serving_epoch == -1
    # The keeper goes on as far as what the node serves then has something in common with the new epoch.
    keeper, _ = Acceptor(0, PREPARE).grant_lease(100, ask, 50, 30)
    narrow = keeper.on_decided(Decided(NARROW))
    assert not narrow.may_vote(149, NEW) and narrow.may_vote(150, NEW)
    other = EpochState(6, Stage.SETTLED, "p2")
    later = keeper.on_decided(Decided(EpochState(5, Stage.JOINT, "p1", "p2")))
    assert not later.may_vote(179, other) and later.may_vote(180, other)
    assert [one.node for one in later.blocking_leases(179, other)] == [1]
    settled, _ = Acceptor(0, P).grant_lease(100, ask._replace(state=P), 50, 30)
    between = settled.on_decided(Decided(NARROW))
    assert not between.may_vote(179, NEW) and between.may_vote(179, NEW._replace(policy="p0"))


def test_leases_and_votes_take_a_majority_of_each_board_that_an_epoch_names() -> None:
    boards = (frozenset({0, 1, 2}), frozenset({0, 3, 4}))
    assert (
        has_quorum(boards, {0, 1, 3}) and not has_quorum(boards, {0, 1, 2}) and not has_quorum((), {0, 1, 2})
    )
    node, _ = Leaseholder(7, boards, latest_epoch=PREPARE).begin_round(0)
    for keeper in (0, 1):
        node = node.on_grant(LeaseGrant(keeper, 1, 1), 50)
    assert node.policies_in_force(10) == ()  # a majority of the old board alone
    assert node.on_grant(LeaseGrant(4, 1, 1), 50).policies_in_force(10) == ("p0",)
    driver, _ = Proposer(1, boards, NARROW).begin_ballot(0)
    for keeper in (0, 1):
        driver, asked = driver.on_promise(Promise(keeper, driver.ballot, 1, None))
        assert asked is None
    driver, asked = driver.on_promise(Promise(3, driver.ballot, 1, None))
    assert asked == Accept(driver.ballot, NARROW)
    for keeper in (0, 1):
        driver, know = driver.on_accepted(Accepted(keeper, driver.ballot, NARROW))
        assert know is None
    assert driver.on_accepted(Accepted(4, driver.ballot, NARROW))[1] == Decided(NARROW)


def test_a_keeper_that_lost_its_disk_does_not_vote_for_what_it_may_have_voted_for() -> None:
    told = [(PREPARE, None), (P, PREPARE)]
    keeper = Acceptor.recovered(0, 100, 50, told)
    assert (keeper.decided, keeper.last_barred_epoch, keeper.no_vote_before) == (PREPARE, 2, 150)
    call = Prepare((9, 9), 1)
    assert keeper.on_prepare(call) == (keeper, None)
    assert keeper.on_accept(200, Accept((9, 9), NARROW)) == (keeper, None)
    # It may have voted for NARROW: whoever says no gets no lease of it.
    assert keeper.grant_lease(200, LeaseRequest(1, 1, PREPARE, 0, False), 50)[1] is None
    assert keeper.grant_lease(200, LeaseRequest(1, 1, PREPARE, 0, True), 50)[1] == LeaseGrant(0, 1, 1)
    later = keeper.on_decided(Decided(NARROW))
    assert isinstance(later.on_prepare(Prepare((1, 1), 2))[1], Promise)
    assert later.on_accept(200, Accept((1, 1), NEW))[1] is not None
    # A vote that is known of counts further than what is known to be decided.
    assert Acceptor.recovered(0, 0, 0, [(PREPARE, NARROW), (P, None)]).last_barred_epoch == 3


def test_a_no_holds_while_its_node_may_serve_and_comes_too_late_after_the_vote() -> None:
    no = LeaseRequest(1, 1, PREPARE, 0, False)
    told, grant = Acceptor(0, PREPARE).grant_lease(0, no, 50)
    assert grant is not None and told.nodes_unable_to_serve(49) == (1,)
    assert told.on_accept(49, Accept((1, 1), NARROW))[1] is None
    assert told.on_accept(49, Accept((1, 1), EpochState(2, Stage.SETTLED, "p0")))[1] is not None
    assert told.on_accept(50, Accept((1, 1), NARROW))[1] is not None
    voted, _ = Acceptor(0, PREPARE).on_accept(0, Accept((1, 1), NARROW))
    assert voted.grant_lease(1, no, 50) == (voted, None)
    assert voted.grant_lease(1, no._replace(can_serve_new=True), 50)[1] == LeaseGrant(0, 1, 1)


def test_whoever_knows_more_tells_the_other() -> None:
    keeper = Acceptor(0, NARROW)
    assert keeper.grant_lease(0, LeaseRequest(1, 1, None, -1, True), 50) == (keeper, Decided(NARROW))
    assert keeper.grant_lease(0, LeaseRequest(1, 1, PREPARE, 1, True), 50) == (keeper, Decided(NARROW))
    learned, grant = keeper.grant_lease(0, LeaseRequest(1, 1, NEW, 2, True), 50)
    assert learned.decided == NEW and grant == LeaseGrant(0, 1, 3)
    assert keeper.on_prepare(Prepare((1, 1), 1)) == (keeper, Decided(NARROW))
    assert keeper.on_prepare(Prepare((1, 1), 3)) == (keeper, None)
    assert keeper.on_accept(0, Accept((1, 1), NARROW))[1] == Decided(NARROW)


def test_who_drives_ends_what_may_have_been_decided() -> None:
    back = EpochState(3, Stage.SETTLED, "p0")
    driver, call = Proposer(2, THREE, back).begin_ballot(4)
    assert call == Prepare((5, 2), 2)
    driver, nothing = driver.on_promise(Promise(0, (5, 2), 2, None))
    assert nothing is None
    driver, again = driver.on_promise(Promise(0, (5, 2), 2, None))
    assert again is None  # the same keeper
    driver, ask = driver.on_promise(Promise(1, (5, 2), 2, ((3, 1), NEW)))
    assert ask == Accept((5, 2), NEW)


@pytest.mark.parametrize("label", BOUNDS)
def test_walks_keep_the_guarantee_and_a_change_ends_once_faults_end(label: str) -> None:
    bounds = BOUNDS[label]
    done = ended = 0
    for seed in range(2 if bounds is VOTER_CHANGES else 5):
        found = walk(seed, bounds)
        assert not found.fault, (seed, found)
        if seed < 6:
            *_, (_, world) = walk_steps(seed, bounds, Roles())
            epoch = max(world.decided).epoch
            # Two of three keepers that lost their disks in one epoch cannot tell what was decided in it.
            able = [keeper for keeper in world.voters_with_state() if keeper.last_barred_epoch <= epoch]
            if 2 * len(able) > bounds.voters:
                assert settles(world, bounds), seed
                ended += 1
            done += world.newest_alone
    assert ended >= 1
    deaf = walk(0, replace(LATE_REPLIES, unserviceable=bounds.unserviceable))
    assert not deaf.fault and deaf.depth > 50


def test_new_policies_come_into_force_in_walks() -> None:
    """Else they would show nothing."""
    alone = []
    for seed in range(16):
        *_, (_, world) = walk_steps(seed, LONG_WALKS, Roles())
        alone.append(world.newest_alone)
    assert sum(newest > 0 for newest in alone) >= 2


def test_breadth_first_up_to_a_bound() -> None:
    found = explore(Bounds(), max_states=12_000)
    assert isinstance(found, SearchResult) and found.states >= 12_000 and not found.fault


def test_each_planted_defect_is_found() -> None:
    assert set(SEEDS) == set(DEFECTS) and len(DEFECTS) >= 15
    for name, (label, seed) in SEEDS.items():
        found = walk(seed, BOUNDS[label], DEFECTS[name])
        assert found.fault and found.steps, name
        assert not walk(seed, BOUNDS[label]).fault, name


def test_a_broken_state_is_told_with_its_steps() -> None:
    found = walk(0, LONG_WALKS, DEFECTS["majority of those that answered"])
    assert found.fault.startswith("two epochs decided") and found.steps[-1].startswith("voters ")
    *_, (name, world) = walk_steps(0, LONG_WALKS, DEFECTS["majority of those that answered"], found.depth)
    assert name == found.steps[-1] and violation(world) == found.fault
