"""The protocol core: the successors of epochs, the rules of each role, and the model check."""

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

NO_POLICIES: frozenset[str] = frozenset()
THREE_VOTERS = (frozenset({0, 1, 2}),)
ONE_VOTER = (frozenset({0}),)
UNSERVICEABLE = (NO_POLICIES, frozenset({"p1"}))
SETTLED = EpochState(0, Stage.SETTLED, "p0")
PREPARE = EpochState(1, Stage.PREPARE, "p0", "p1")
JOINT = EpochState(2, Stage.JOINT, "p0", "p1")
NEW = EpochState(3, Stage.SETTLED, "p1")
BOUNDS = {
    "long": LONG_WALKS,
    "long, unfit": replace(LONG_WALKS, unserviceable=UNSERVICEABLE),
    "silent": LONG_LEASES,
    "silent, unfit": replace(LONG_LEASES, unserviceable=UNSERVICEABLE),
    "late": GRACE_TIMES,
    "moved": VOTER_CHANGES,
    "lost, unfit": replace(DISK_LOSSES, unserviceable=UNSERVICEABLE),
}
# The bounds and the seed with which each planted defect is found. `python -m hollybay.consensus.model_check`
# searches more seeds.
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


def test_valid_successors_of_epochs() -> None:
    completed_change = [SETTLED, PREPARE, JOINT, NEW]
    for n, old in enumerate(completed_change):
        for m, new in enumerate(completed_change):
            assert is_valid_successor(old, new) == (m == n + 1)
    for old in (PREPARE, JOINT):
        assert is_valid_successor(old, EpochState(old.epoch + 1, Stage.SETTLED, "p0"))  # aborted
    assert not is_valid_successor(PREPARE, EpochState(2, Stage.SETTLED, "p1"))  # JOINT skipped
    assert not is_valid_successor(SETTLED, EpochState(1, Stage.PREPARE, "p0", "p0"))
    assert not is_valid_successor(PREPARE, EpochState(2, Stage.JOINT, "p0", "p2"))
    # The effective policies of two consecutive epochs always have one in common.
    for old, new in (
        (SETTLED, PREPARE),
        (PREPARE, JOINT),
        (JOINT, NEW),
        (JOINT, EpochState(3, Stage.SETTLED, "p0")),
    ):
        assert set(effective_policies(old)) & set(effective_policies(new))
    assert not set(effective_policies(PREPARE)) & set(effective_policies(NEW))


def test_a_lease_runs_from_before_its_request_and_is_checked_on_use() -> None:
    node, lease_request = Leaseholder(7, THREE_VOTERS, latest_epoch=SETTLED).begin_round(100)
    assert lease_request == LeaseRequest(7, 1, SETTLED, -1, True)
    node = node.on_grant(LeaseGrant(0, 1, 0), 50)
    assert node.policies_in_force(110) == ()  # one of three is not a majority
    node = node.on_grant(LeaseGrant(0, 1, 0), 50)
    assert node.policies_in_force(110) == ()
    node = node.on_grant(LeaseGrant(2, 1, 0), 50)
    assert node.policies_in_force(149) == ("p0",) and node.policies_in_force(150) == ()
    # Grants of an earlier round or on another epoch do not count.
    later, _ = node.begin_round(200)
    for grant in (LeaseGrant(0, 1, 0), LeaseGrant(1, 1, 0), LeaseGrant(0, 2, 1), LeaseGrant(1, 2, 1)):
        later = later.on_grant(grant, 50)
    assert later.policies_in_force(200) == ()


def test_a_node_serves_under_an_epoch_until_the_next_is_granted_or_its_lease_ends() -> None:
    node = Leaseholder(1, ONE_VOTER, effective_epoch=PREPARE, lease_end=50, latest_epoch=PREPARE)
    node = node.on_decided(Decided(JOINT), ONE_VOTER)
    assert node.policies_in_force(10) == ("p0",) and node.on_decided(Decided(PREPARE), ONE_VOTER) is node
    node, lease_request = node.begin_round(10)
    assert (lease_request.state, lease_request.serving_epoch) == (JOINT, 1)
    assert node.on_grant(LeaseGrant(0, 1, 2), 50).policies_in_force(20) == ("p0", "p1")
    unserviceable = node._replace(unserviceable_policies=frozenset({"p1"})).on_grant(LeaseGrant(0, 1, 2), 50)
    assert unserviceable.policies_in_force(20) == ("p0",) and unserviceable.policies_in_force(50) == ()


def test_an_acceptor_votes_once_no_lease_on_an_earlier_epoch_remains() -> None:
    acceptor = Acceptor(0, JOINT, leases=(Lease(1, 1, 60, True), Lease(2, 2, 90, True)))
    call = Accept((1, 1), NEW)
    assert acceptor.on_accept(59, call) == (acceptor, None)
    voted, vote = acceptor.on_accept(60, call)
    assert vote is not None and voted.accepted == ((1, 1), NEW)
    # After a restart it waits for leases that it may have granted before.
    assert acceptor._replace(leases=()).restarted(100, 30).on_accept(129, call)[1] is None
    assert acceptor._replace(leases=()).restarted(100, 30).on_accept(130, call)[1] is not None


def test_an_acceptor_keeps_a_lease_while_its_node_may_still_serve_under_it() -> None:
    acceptor = Acceptor(0, JOINT, leases=(Lease(1, 1, 60, True),))
    granted, _ = acceptor.grant_lease(10, LeaseRequest(1, 2, JOINT, 1, True), 50)
    assert not granted.may_vote(20, NEW)  # if the grant is lost, the node still serves under PREPARE
    moved, _ = granted.grant_lease(20, LeaseRequest(1, 3, JOINT, 2, True), 50)
    assert moved.may_vote(20, NEW)  # the node reports that it serves under JOINT


def test_in_its_grace_time_a_node_serves_the_intersection_and_acceptors_wait_for_it() -> None:
    node = Leaseholder(1, ONE_VOTER, latest_epoch=PREPARE)
    node, lease_request = node.begin_round(100)
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
    # In the grace time the acceptor votes for an epoch only if the node serves one of its effective policies.
    acceptor, _ = Acceptor(0, PREPARE).grant_lease(100, lease_request, 50, 30)
    joint = acceptor.on_decided(Decided(JOINT))
    assert not joint.may_vote(149, NEW) and joint.may_vote(150, NEW)
    other = EpochState(6, Stage.SETTLED, "p2")
    later = acceptor.on_decided(Decided(EpochState(5, Stage.JOINT, "p1", "p2")))
    assert not later.may_vote(179, other) and later.may_vote(180, other)
    assert [lease.node for lease in later.blocking_leases(179, other)] == [1]
    settled, _ = Acceptor(0, SETTLED).grant_lease(100, lease_request._replace(state=SETTLED), 50, 30)
    between = settled.on_decided(Decided(JOINT))
    assert not between.may_vote(179, NEW) and between.may_vote(179, NEW._replace(policy="p0"))


def test_leases_and_votes_take_a_majority_of_each_voter_set_that_an_epoch_names() -> None:
    voter_sets = (frozenset({0, 1, 2}), frozenset({0, 3, 4}))
    assert (
        has_quorum(voter_sets, {0, 1, 3})
        and not has_quorum(voter_sets, {0, 1, 2})
        and not has_quorum((), {0, 1, 2})
    )
    node, _ = Leaseholder(7, voter_sets, latest_epoch=PREPARE).begin_round(0)
    for voter in (0, 1):
        node = node.on_grant(LeaseGrant(voter, 1, 1), 50)
    assert node.policies_in_force(10) == ()  # a majority of the old voter set only
    assert node.on_grant(LeaseGrant(4, 1, 1), 50).policies_in_force(10) == ("p0",)
    proposer, _ = Proposer(1, voter_sets, JOINT).begin_ballot(0)
    for voter in (0, 1):
        proposer, accept = proposer.on_promise(Promise(voter, proposer.ballot, 1, None))
        assert accept is None
    proposer, accept = proposer.on_promise(Promise(3, proposer.ballot, 1, None))
    assert accept == Accept(proposer.ballot, JOINT)
    for voter in (0, 1):
        proposer, decided = proposer.on_accepted(Accepted(voter, proposer.ballot, JOINT))
        assert decided is None
    assert proposer.on_accepted(Accepted(4, proposer.ballot, JOINT))[1] == Decided(JOINT)


def test_an_acceptor_that_lost_its_disk_is_barred_from_epochs_it_may_have_voted_for() -> None:
    known = [(PREPARE, None), (SETTLED, PREPARE)]
    acceptor = Acceptor.recovered(0, 100, 50, known)
    assert (acceptor.decided, acceptor.last_barred_epoch, acceptor.no_vote_before) == (PREPARE, 2, 150)
    call = Prepare((9, 9), 1)
    assert acceptor.on_prepare(call) == (acceptor, None)
    assert acceptor.on_accept(200, Accept((9, 9), JOINT)) == (acceptor, None)
    # It may have voted for JOINT, so it grants no lease to a node that cannot serve the new policy.
    assert acceptor.grant_lease(200, LeaseRequest(1, 1, PREPARE, 0, False), 50)[1] is None
    assert acceptor.grant_lease(200, LeaseRequest(1, 1, PREPARE, 0, True), 50)[1] == LeaseGrant(0, 1, 1)
    later = acceptor.on_decided(Decided(JOINT))
    assert isinstance(later.on_prepare(Prepare((1, 1), 2))[1], Promise)
    assert later.on_accept(200, Accept((1, 1), NEW))[1] is not None
    # A vote of another acceptor for a later epoch extends the bar beyond that epoch.
    assert Acceptor.recovered(0, 0, 0, [(PREPARE, JOINT), (SETTLED, None)]).last_barred_epoch == 3


def test_a_node_that_cannot_serve_blocks_joint_while_its_lease_lasts_and_gets_none_after_the_vote() -> None:
    cannot_serve = LeaseRequest(1, 1, PREPARE, 0, False)
    granted, grant = Acceptor(0, PREPARE).grant_lease(0, cannot_serve, 50)
    assert grant is not None and granted.nodes_unable_to_serve(49) == (1,)
    assert granted.on_accept(49, Accept((1, 1), JOINT))[1] is None
    assert granted.on_accept(49, Accept((1, 1), EpochState(2, Stage.SETTLED, "p0")))[1] is not None
    assert granted.on_accept(50, Accept((1, 1), JOINT))[1] is not None
    voted, _ = Acceptor(0, PREPARE).on_accept(0, Accept((1, 1), JOINT))
    assert voted.grant_lease(1, cannot_serve, 50) == (voted, None)
    assert voted.grant_lease(1, cannot_serve._replace(can_serve_new=True), 50)[1] == LeaseGrant(0, 1, 1)


def test_acceptor_and_peer_learn_the_later_epoch_from_each_other() -> None:
    acceptor = Acceptor(0, JOINT)
    assert acceptor.grant_lease(0, LeaseRequest(1, 1, None, -1, True), 50) == (acceptor, Decided(JOINT))
    assert acceptor.grant_lease(0, LeaseRequest(1, 1, PREPARE, 1, True), 50) == (acceptor, Decided(JOINT))
    learned, grant = acceptor.grant_lease(0, LeaseRequest(1, 1, NEW, 2, True), 50)
    assert learned.decided == NEW and grant == LeaseGrant(0, 1, 3)
    assert acceptor.on_prepare(Prepare((1, 1), 1)) == (acceptor, Decided(JOINT))
    assert acceptor.on_prepare(Prepare((1, 1), 3)) == (acceptor, None)
    assert acceptor.on_accept(0, Accept((1, 1), JOINT))[1] == Decided(JOINT)


def test_a_proposer_completes_an_epoch_that_may_have_been_decided() -> None:
    aborted = EpochState(3, Stage.SETTLED, "p0")
    proposer, call = Proposer(2, THREE_VOTERS, aborted).begin_ballot(4)
    assert call == Prepare((5, 2), 2)
    proposer, first = proposer.on_promise(Promise(0, (5, 2), 2, None))
    assert first is None
    proposer, repeated = proposer.on_promise(Promise(0, (5, 2), 2, None))
    assert repeated is None  # the same voter
    proposer, accept = proposer.on_promise(Promise(1, (5, 2), 2, ((3, 1), NEW)))
    assert accept == Accept((5, 2), NEW)


@pytest.mark.parametrize("label", BOUNDS)
def test_random_walks_are_safe_and_a_change_ends_once_faults_end(label: str) -> None:
    bounds = BOUNDS[label]
    completed = settled = 0
    for seed in range(2 if bounds is VOTER_CHANGES else 5):
        found = walk(seed, bounds)
        assert not found.fault, (seed, found)
        if seed < 6:
            *_, (_, world) = walk_steps(seed, bounds, Roles())
            epoch = max(world.decided).epoch
            # If two of three voters lost their disks in one epoch, its decision cannot be recovered.
            able = [acceptor for acceptor in world.voters_with_state() if acceptor.last_barred_epoch <= epoch]
            if 2 * len(able) > bounds.voters:
                assert settles(world, bounds), seed
                settled += 1
            completed += world.newest_alone
    assert settled >= 1
    deaf = walk(0, replace(LATE_REPLIES, unserviceable=bounds.unserviceable))
    assert not deaf.fault and deaf.depth > 50


def test_new_policies_come_into_force_in_walks() -> None:
    """Walks in which no change completes would not exercise the rules that they are to check."""
    newest_settled = []
    for seed in range(16):
        *_, (_, world) = walk_steps(seed, LONG_WALKS, Roles())
        newest_settled.append(world.newest_alone)
    assert sum(newest > 0 for newest in newest_settled) >= 2


def test_breadth_first_search_up_to_a_bound() -> None:
    found = explore(Bounds(), max_states=12_000)
    assert isinstance(found, SearchResult) and found.states >= 12_000 and not found.fault


def test_each_planted_defect_is_found() -> None:
    assert set(SEEDS) == set(DEFECTS) and len(DEFECTS) >= 15
    for name, (label, seed) in SEEDS.items():
        found = walk(seed, BOUNDS[label], DEFECTS[name])
        assert found.fault and found.steps, name
        assert not walk(seed, BOUNDS[label]).fault, name


def test_a_violation_is_reported_with_its_steps() -> None:
    found = walk(0, LONG_WALKS, DEFECTS["majority of those that answered"])
    assert found.fault.startswith("two epochs decided") and found.steps[-1].startswith("voters ")
    *_, (name, world) = walk_steps(0, LONG_WALKS, DEFECTS["majority of those that answered"], found.depth)
    assert name == found.steps[-1] and violation(world) == found.fault
