"""The proposal queue of group commit: each change gets exactly one outcome, and all bounds are kept."""

from __future__ import annotations

import math

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hollybay.consensus.group_commit import ProposalQueue
from hollybay.consensus.proposal_outcomes import (
    AlreadyDecided,
    AlreadyQueued,
    Busy,
    InForce,
    OfferRejected,
    Pending,
    Queued,
    Rejected,
    UnderWay,
    Unknown,
    combined_outcome,
)
from hollybay.consensus.queue_settings import QueueSettings
from hollybay.resources.batch import Assembled, apply_batch, assemble
from hollybay.resources.model import Change, ChangeProblem, Delete, Kind, Operation, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.resources.wire import encode_change
from hollybay.units import MS, SECOND

NO_LINGER = QueueSettings(linger_ns=0)
CANNOT_SERVE = (ChangeProblem("route 'r'", "match", "overlaps"),)


def change_of(number: int, *operations: Operation, base_revision: int = 0) -> Change:
    """A change whose id is a number; without operations it creates a route of that number."""
    default = (Upsert(Kind.ROUTE, f"r{number}", 0, b"body"),)
    return Change(number.to_bytes(16, "big"), base_revision, "why", "who", operations or default)


def form_batch(queue: ProposalQueue, state: ResourceState, now: int = 0) -> Assembled:
    """The next batch; fails if none is due."""
    assembled = queue.next_batch(state, now)
    assert assembled is not None
    return assembled


def test_a_batch_holds_all_changes_since_the_last_one_and_each_has_its_own_outcome() -> None:
    queue = ProposalQueue(NO_LINGER)
    first, second, third = (change_of(n) for n in range(3))
    assert isinstance(queue.offer(first, EMPTY, 0), Queued)
    one = form_batch(queue, EMPTY)
    assert queue.batch_in_progress == one.batch and one.batch.changes == (first,)
    queued = queue.offer(second, EMPTY, 0)
    assert isinstance(queued, Queued) and queued.position == 0
    queued = queue.offer(third, EMPTY, 0)
    assert isinstance(queued, Queued) and queued.position == 1
    assert queue.next_batch(EMPTY, 0) is None  # one batch at a time
    assert queue.outcome(first.id, 0) == UnderWay(1)
    pending = queue.outcome(third.id, 0)
    assert isinstance(pending, Pending) and pending.position == 1
    queue.batch_decided(one.batch, 0)
    assert queue.outcome(first.id, 0) == InForce(1)
    two = form_batch(queue, one.state)
    assert two.batch.changes == (second, third)
    queue.batch_decided(two.batch, 0)
    assert [queue.outcome(one.id, 0) for one in (first, second, third)] == [
        InForce(1),
        InForce(2),
        InForce(2),
    ]
    assert queue.outcome(change_of(9).id, 0) == Unknown()
    assert queue.next_batch(two.state, 0) is None and queue.next_batch_delay_ns(0) is None


def test_a_repeated_proposal_is_decided_once() -> None:
    queue = ProposalQueue(NO_LINGER)
    change = change_of(1)
    queue.offer(change, EMPTY, 0)
    assert queue.offer(change, EMPTY, 0) == AlreadyQueued()
    one = form_batch(queue, EMPTY)
    assert queue.offer(change, EMPTY, 0) == AlreadyQueued()
    queue.batch_decided(one.batch, 0)
    assert queue.offer(change, EMPTY, 0) == AlreadyDecided(1)  # known from the queue's own history
    assert ProposalQueue().offer(change, one.state, 0) == AlreadyDecided(1)  # known from the state alone


def test_a_change_decided_by_another_voter_is_in_force_and_not_proposed_again() -> None:
    queue = ProposalQueue(NO_LINGER)
    change, other = change_of(1), change_of(2)
    for one in (change, other):
        queue.offer(one, EMPTY, 0)
    elsewhere = assemble(EMPTY, (change,))
    # The decision was learned from a snapshot, so only the state contains it.
    assert form_batch(queue, elsewhere.state).batch.changes == (other,)
    assert queue.outcome(change.id, 0) == InForce(1)
    fresh = ProposalQueue(NO_LINGER)
    fresh.offer(change, EMPTY, 0)
    assert fresh.offer(change, elsewhere.state, 0) == AlreadyDecided(1)
    assert len(fresh) == 0 and fresh.outcome(change.id, 0) == InForce(1)


def test_a_change_that_does_not_apply_is_rejected_alone_when_offered_or_batched() -> None:
    queue = ProposalQueue(NO_LINGER)
    wrong = change_of(1, Delete(Kind.ROUTE, "r", 3))
    rejected = queue.offer(wrong, EMPTY, 0)
    assert isinstance(rejected, OfferRejected) and "no such resource" in rejected.problems[0].reason
    assert queue.outcome(wrong.id, 0) == Unknown()  # it was never accepted
    conflicting = [change_of(n, Upsert(Kind.ROUTE, "r", 0, b"%d" % n)) for n in (2, 3)]
    for one in conflicting:
        assert isinstance(queue.offer(one, EMPTY, 0), Queued)
    good = change_of(4)
    queue.offer(good, EMPTY, 0)
    assembled = form_batch(queue, EMPTY)
    assert assembled.batch.changes == (conflicting[0], good) and not assembled.rejected
    # The second conflicting change is not rejected before the first one is decided.
    assert isinstance(queue.outcome(conflicting[1].id, 0), Pending)
    queue.batch_decided(assembled.batch, 0)
    assert queue.next_batch(assembled.state, 0) is None
    outcome = queue.outcome(conflicting[1].id, 0)
    assert isinstance(outcome, Rejected) and "version 1 is there" in outcome.problems[0].reason
    assert queue.offer(conflicting[1], assembled.state, 0) == OfferRejected(outcome.problems)


def test_requeued_changes_and_conflicting_ones_keep_their_order() -> None:
    queue = ProposalQueue(NO_LINGER)
    conflicting = [change_of(n, Upsert(Kind.ROUTE, "r", 0, b"%d" % n)) for n in (1, 2)]
    changes = [conflicting[0], conflicting[1], change_of(3), change_of(4)]
    for one in changes:
        queue.offer(one, EMPTY, 0)
    batch = form_batch(queue, EMPTY).batch
    assert batch.changes == (conflicting[0], *changes[2:])
    winner = assemble(EMPTY, (change_of(9),))
    queue.batch_superseded(batch, winner.state, 0)
    assert form_batch(queue, winner.state).batch.changes == batch.changes
    pending = queue.outcome(conflicting[1].id, 0)
    assert isinstance(pending, Pending) and pending.position == 0


def test_a_conflicting_change_is_batched_after_the_other_one_was_dropped() -> None:
    queue = ProposalQueue(NO_LINGER)
    conflicting = [change_of(n, Upsert(Kind.ROUTE, "r", 0, b"%d" % n)) for n in (2, 3)]
    for one in conflicting:
        queue.offer(one, EMPTY, 0)
    batch = form_batch(queue, EMPTY).batch
    assert batch.changes == (conflicting[0],)
    queue.batch_dropped(batch, {conflicting[0].id: CANNOT_SERVE}, 0)
    assert queue.outcome(conflicting[0].id, 0) == Rejected(CANNOT_SERVE)
    assert form_batch(queue, EMPTY).batch.changes == (conflicting[1],)


def test_changes_named_by_a_node_are_rejected_with_its_reasons_and_the_rest_requeued() -> None:
    queue = ProposalQueue(NO_LINGER)
    changes = [change_of(n) for n in range(4)]
    for one in changes:
        queue.offer(one, EMPTY, 0)
    batch = form_batch(queue, EMPTY).batch
    later = change_of(8)
    queue.offer(later, EMPTY, 0)
    stranger = change_of(99).id
    queue.batch_dropped(batch, {changes[1].id: CANNOT_SERVE, changes[3].id: (), stranger: CANNOT_SERVE}, 0)
    assert queue.outcome(changes[1].id, 0) == Rejected(CANNOT_SERVE)
    assert isinstance(queue.outcome(changes[3].id, 0), Rejected)
    assert queue.outcome(stranger, 0) == Unknown()
    assert form_batch(queue, EMPTY).batch.changes == (changes[0], changes[2], later)


def test_a_change_dropped_at_another_voter_is_rejected_here_as_well() -> None:
    queue = ProposalQueue(NO_LINGER)
    changes = [change_of(n) for n in range(3)]
    for one in changes:
        queue.offer(one, EMPTY, 0)
    queue.batch_dropped(assemble(EMPTY, changes).batch, {changes[0].id: CANNOT_SERVE}, 0)
    queue.batch_dropped(assemble(EMPTY, changes[1:2]).batch, {}, 0, CANNOT_SERVE)
    assert queue.outcome(changes[0].id, 0) == Rejected(CANNOT_SERVE) == queue.outcome(changes[1].id, 0)
    assert form_batch(queue, EMPTY).batch.changes == (changes[2],)


def test_a_superseded_batch_is_formed_again_on_the_new_state_before_later_changes() -> None:
    queue = ProposalQueue(NO_LINGER)
    own = [change_of(n) for n in range(3)]
    for one in own:
        queue.offer(one, EMPTY, 0)
    batch = form_batch(queue, EMPTY).batch
    queue.offer(change_of(5), EMPTY, 0)
    winner = assemble(EMPTY, (own[1], change_of(7)))
    queue.batch_superseded(batch, winner.state, 0)
    assert queue.outcome(own[1].id, 0) == InForce(1)
    again = form_batch(queue, winner.state)
    assert again.batch.changes == (own[0], own[2], change_of(5))
    assert apply_batch(winner.state, again.batch) == again.state
    # Another voter's decided batch has the same effect; reporting a batch not in progress changes nothing.
    queue.batch_superseded(batch, winner.state, 0)
    assert queue.batch_in_progress == again.batch
    queue.batch_decided(assemble(winner.state, (change_of(8),)).batch, 0)
    assert queue.batch_in_progress is None and len(queue) == 3


@pytest.mark.parametrize("count", [1, 2, 7, 64])
def test_an_unnamed_bad_change_is_found_in_a_bounded_number_of_batches(count: int) -> None:
    max_rounds = 2 * math.ceil(math.log2(count)) + 2 if count > 1 else 1
    for bad in {0, count // 2, count - 1}:
        queue = ProposalQueue(NO_LINGER)
        changes = [change_of(n) for n in range(count)]
        for one in changes:
            queue.offer(one, EMPTY, 0)
        state, rounds = EMPTY, 0
        while len(queue):
            assembled = form_batch(queue, state)
            rounds += 1
            assert rounds <= max_rounds, bad
            if changes[bad] in assembled.batch.changes:
                queue.batch_dropped(assembled.batch, {}, 0, CANNOT_SERVE)
            else:
                queue.batch_decided(assembled.batch, 0)
                state = assembled.state
        assert queue.outcome(changes[bad].id, 0) == Rejected(CANNOT_SERVE)
        good = [one for n, one in enumerate(changes) if n != bad]
        assert all(isinstance(queue.outcome(one.id, 0), InForce) for one in good)


def test_the_first_change_waits_for_others_for_the_linger_time() -> None:
    queue = ProposalQueue(QueueSettings(linger_ns=100, max_batch_changes=3))
    assert queue.next_batch_delay_ns(0) is None
    queue.offer(change_of(1), EMPTY, 1000)
    assert queue.next_batch_delay_ns(1040) == 60 and queue.next_batch(EMPTY, 1040) is None
    queue.offer(change_of(2), EMPTY, 1050)
    assert len(form_batch(queue, EMPTY, 1100).batch.changes) == 2
    full = ProposalQueue(QueueSettings(linger_ns=100, max_batch_changes=3))
    for n in range(4):
        full.offer(change_of(n), EMPTY, 0)
    assert full.next_batch_delay_ns(0) == 0
    assert len(form_batch(full, EMPTY).batch.changes) == 3


def test_batches_are_bounded_in_bytes_and_a_larger_change_is_a_batch_of_its_own() -> None:
    size = len(encode_change(change_of(1)))
    queue = ProposalQueue(QueueSettings(linger_ns=0, max_batch_bytes=2 * size, max_change_bytes=8 * size))
    large = change_of(5, Upsert(Kind.ROUTE, "large", 0, b"x" * 4 * size))
    for one in (change_of(1), change_of(2), change_of(3), large, change_of(4)):
        assert isinstance(queue.offer(one, EMPTY, 0), Queued)
    state, batches = EMPTY, []
    while len(queue):
        assembled = form_batch(queue, state)
        batches.append(len(assembled.batch.changes))
        queue.batch_decided(assembled.batch, 0)
        state = assembled.state
    assert batches == [2, 1, 1, 1] and queue.bytes == 0
    too_large = change_of(6, Upsert(Kind.ROUTE, "larger", 0, b"x" * 8 * size))
    rejected = queue.offer(too_large, EMPTY, 0)
    assert isinstance(rejected, OfferRejected) and "at most" in rejected.problems[0].reason


def test_a_full_queue_or_too_long_a_wait_is_reported_as_busy() -> None:
    queue = ProposalQueue(QueueSettings(linger_ns=0, max_changes=2))
    for n in range(2):
        queue.offer(change_of(n), EMPTY, 0)
    busy = queue.offer(change_of(3), EMPTY, 0)
    assert isinstance(busy, Busy) and busy.retry_after_ns > 0
    assert queue.outcome(change_of(3).id, 0) == Unknown()
    by_bytes = ProposalQueue(QueueSettings(linger_ns=0, max_bytes=150, max_change_bytes=150))
    assert isinstance(by_bytes.offer(change_of(1), EMPTY, 0), Queued)
    assert isinstance(by_bytes.offer(change_of(2), EMPTY, 0), Queued)
    while isinstance(by_bytes.offer(change_of(len(by_bytes) + 1), EMPTY, 0), Queued):
        assert by_bytes.bytes <= 150
    slow = ProposalQueue(
        QueueSettings(linger_ns=0, max_batch_changes=1, max_wait_ns=3 * SECOND, initial_batch_ns=SECOND)
    )
    answers = [slow.offer(change_of(n), EMPTY, 0) for n in range(5)]
    assert [type(one) for one in answers] == [Queued, Queued, Queued, Busy, Busy]
    assert answers[3] == Busy(SECOND)


def test_queued_bytes_count_in_the_estimated_wait() -> None:
    size = len(encode_change(change_of(10)))
    queue = ProposalQueue(
        QueueSettings(linger_ns=0, max_batch_bytes=size, max_wait_ns=2 * SECOND, initial_batch_ns=SECOND)
    )
    state = EMPTY
    for n in range(10):  # decided batches leave no bytes behind in the estimate
        assert queue.offer(change_of(n), state, 0) == Queued(0, SECOND)
        assembled = form_batch(queue, state)
        queue.batch_decided(assembled.batch, 0)
        queue.average_batch_ns = SECOND  # pretends that the batch took this long
        state = assembled.state
    assert isinstance(queue.offer(change_of(10), state, 0), Queued)
    assert queue.offer(change_of(11), state, 0) == Queued(1, 2 * SECOND)
    assert queue.offer(change_of(12), state, 0) == Busy(SECOND)


def test_the_duration_of_batches_is_averaged_and_a_slow_one_counts_at_once() -> None:
    settings = QueueSettings(linger_ns=0, max_wait_ns=3 * SECOND, initial_batch_ns=100 * MS)
    queue = ProposalQueue(settings)
    state, now = EMPTY, 0
    for n in range(30):
        assert isinstance(queue.offer(change_of(n, base_revision=state.revision), state, now), Queued)
        assembled = form_batch(queue, state, now)
        now += SECOND
        queue.batch_decided(assembled.batch, now)
        state = assembled.state
    assert 0.95 * SECOND < queue.average_batch_ns <= SECOND
    queue.offer(change_of(50), state, now)
    form_batch(queue, state, now)
    assert isinstance(queue.offer(change_of(51), state, now), Queued)
    now += 4 * SECOND  # the batch in progress is not decided meanwhile
    assert isinstance(queue.offer(change_of(52), state, now), Busy)
    # An accepted change is kept although its estimated wait now exceeds the maximum.
    pending = queue.outcome(change_of(51).id, now)
    assert isinstance(pending, Pending) and pending.wait_ns > settings.max_wait_ns


def test_outcomes_are_kept_for_a_bounded_number_and_time() -> None:
    queue = ProposalQueue(QueueSettings(linger_ns=0, max_outcomes=2, outcome_ns=100))
    for n in range(3):
        queue.offer(change_of(n), EMPTY, 0)
    queue.batch_decided(form_batch(queue, EMPTY).batch, 0)
    assert [type(queue.outcome(change_of(n).id, 100)) for n in range(3)] == [Unknown, InForce, InForce]
    assert queue.outcome(change_of(2).id, 101) == Unknown()


def test_a_rejection_is_final_only_if_all_voters_that_were_asked_rejected() -> None:
    rejected = Rejected(CANNOT_SERVE)
    assert combined_outcome([]) == Unknown()
    assert combined_outcome([rejected, rejected]) == rejected
    assert combined_outcome([rejected, Unknown()]) == Unknown()
    assert combined_outcome([rejected, Pending(3, 5)]) == Pending(3, 5)
    assert combined_outcome([Pending(3, 5), UnderWay(4), rejected]) == UnderWay(4)
    assert combined_outcome([rejected, Unknown(), InForce(2), UnderWay(4)]) == InForce(2)


@pytest.mark.parametrize(
    ("wrong", "field"),
    [
        ({"max_batch_changes": 0}, "max_batch_changes"),
        ({"max_batch_changes": 4097}, "max_batch_changes"),
        ({"max_change_bytes": 64 << 20}, "max_change_bytes"),
        ({"max_bytes": 1 << 20}, "max_bytes"),
        ({"max_changes": 0}, "max_changes"),
    ],
)
def test_inconsistent_bounds_are_rejected(wrong: dict[str, int], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        QueueSettings(**wrong)


SMALL = QueueSettings(
    max_changes=12,
    max_bytes=900,
    max_batch_changes=4,
    max_batch_bytes=250,
    max_change_bytes=300,
    max_wait_ns=1000,
    initial_batch_ns=10,
    linger_ns=3,
)
NAMES = ("a", "b", "c", "d")


class QueueMachine(RuleBasedStateMachine):
    """Any sequence of offers, batches, decisions, drops and supersessions, next to the decided state."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = ProposalQueue(SMALL)
        self.state = EMPTY
        self.now = 0
        self.number = 0
        self.changes: dict[bytes, Change] = {}  # accepted changes
        self.bad: set[bytes] = set()  # ids of changes that no node can serve
        self.ended: dict[bytes, InForce | Rejected] = {}
        self.decided: set[bytes] = set()  # ids of decided changes
        self.assembled: Assembled | None = None

    def decide(self, assembled: Assembled) -> None:
        """Decide a batch; checks that it applies as at followers and that no change is decided twice."""
        self.state = apply_batch(self.state, assembled.batch)
        assert self.state == assembled.state
        for one in assembled.batch.changes:
            assert one.id not in self.decided
            self.decided.add(one.id)

    @rule(
        name=st.sampled_from(NAMES),
        fresh=st.booleans(),
        delete=st.booleans(),
        size=st.integers(0, 60),
        bad=st.integers(0, 5),
    )
    def offer(self, name: str, fresh: bool, delete: bool, size: int, bad: int) -> None:
        existing = self.state.get(Kind.ROUTE, name)
        base = existing.version if existing is not None else 0
        if not fresh and base:
            base -= 1
        self.number += 1
        if delete and base:
            operation: Operation = Delete(Kind.ROUTE, name, base)
        else:
            operation = Upsert(Kind.ROUTE, name, base, b"x" * size)
        change = change_of(self.number, operation, base_revision=self.state.revision)
        answer = self.queue.offer(change, self.state, self.now)
        assert not isinstance(answer, AlreadyQueued | AlreadyDecided)
        if isinstance(answer, Queued):
            self.changes[change.id] = change
            if bad == 0:
                self.bad.add(change.id)

    @precondition(lambda self: self.changes)
    @rule(data=st.data())
    def offer_again(self, data: st.DataObject) -> None:
        change = data.draw(st.sampled_from(list(self.changes.values())))
        answer = self.queue.offer(change, self.state, self.now)
        if change.id in self.decided:
            assert answer == AlreadyDecided(self.state.revision_of(change.id) or 0)
        elif change.id in self.ended:
            assert isinstance(answer, OfferRejected)
        else:
            assert answer == AlreadyQueued()

    @rule(passed=st.integers(1, 20))
    def time_goes_on(self, passed: int) -> None:
        self.now += passed

    @rule()
    def form_batch(self) -> None:
        assembled = self.queue.next_batch(self.state, self.now)
        if assembled is None:
            return
        assert self.assembled is None
        self.assembled = assembled
        changes = assembled.batch.changes
        assert 1 <= len(changes) <= SMALL.max_batch_changes
        sizes = [len(encode_change(one)) for one in changes]
        assert len(sizes) == 1 or sum(sizes) <= SMALL.max_batch_bytes
        assert [one.id for one in changes] == sorted(one.id for one in changes)  # in order of arrival

    @precondition(lambda self: self.assembled is not None)
    @rule(named=st.booleans())
    def nodes_answer(self, named: bool) -> None:
        assembled, self.assembled = self.assembled, None
        assert assembled is not None
        bad = [one.id for one in assembled.batch.changes if one.id in self.bad]
        if not bad:
            self.decide(assembled)
            self.queue.batch_decided(assembled.batch, self.now)
            return
        reasons = {bad[0]: CANNOT_SERVE} if named else {}
        self.queue.batch_dropped(assembled.batch, reasons, self.now, CANNOT_SERVE)

    @rule(data=st.data(), is_reported=st.booleans())
    def another_voter_is_first(self, data: st.DataObject, is_reported: bool) -> None:
        """Another voter's batch is decided: it holds a change of its own and some that were offered here."""
        waiting = [one for key, one in self.changes.items() if key not in self.ended and key not in self.bad]
        some = data.draw(st.lists(st.sampled_from(waiting), unique_by=lambda one: one.id)) if waiting else []
        self.number += 1
        theirs = assemble(self.state, (*some, change_of(self.number, base_revision=self.state.revision)))
        self.decide(theirs)
        if is_reported:
            self.queue.batch_decided(theirs.batch, self.now)
        elif self.assembled is not None:
            self.queue.batch_superseded(self.assembled.batch, self.state, self.now)
        # Otherwise this voter learned of it from a snapshot, so only the state contains it.
        self.assembled = None

    @invariant()
    def outcomes_are_true_and_bounds_are_kept(self) -> None:
        self.each_change_has_its_own_outcome()
        self.bounds_are_kept()

    def each_change_has_its_own_outcome(self) -> None:
        for change_id in self.changes:
            outcome = self.queue.outcome(change_id, self.now)
            before = self.ended.get(change_id)
            if before is not None:
                assert outcome == before  # a final outcome does not change
            elif isinstance(outcome, InForce):
                assert self.state.revision_of(change_id) == outcome.revision
                self.ended[change_id] = outcome
            elif isinstance(outcome, Rejected):
                assert change_id not in self.decided
                assert change_id in self.bad or outcome.problems != CANNOT_SERVE
                self.ended[change_id] = outcome
            elif isinstance(outcome, UnderWay):
                assert self.assembled is not None
                assert change_id in [one.id for one in self.assembled.batch.changes]
            else:
                assert isinstance(outcome, Pending) and 0 <= outcome.position < self.number

    def bounds_are_kept(self) -> None:
        open_changes = [one for key, one in self.changes.items() if key not in self.ended]
        assert len(self.queue) == len(open_changes) <= SMALL.max_changes
        assert self.queue.bytes == sum(len(encode_change(one)) for one in open_changes) <= SMALL.max_bytes

    def teardown(self) -> None:
        """All accepted changes get an outcome within a bounded number of rounds."""
        rounds = 0
        max_rounds = 4 * SMALL.max_changes + 4
        while len(self.queue):
            rounds += 1
            assert rounds <= max_rounds
            if self.assembled is None:
                self.now += SMALL.linger_ns
                self.form_batch()
            else:
                self.nodes_answer(named=False)
            self.outcomes_are_true_and_bounds_are_kept()
        self.outcomes_are_true_and_bounds_are_kept()
        assert set(self.ended) == set(self.changes)
        assert {key for key, one in self.ended.items() if isinstance(one, InForce)} == self.decided & set(
            self.changes
        )


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
