"""Proposals that wait for a batch: each ends once, by its own outcome, and the queue keeps its bounds."""

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
    Pending,
    Queued,
    Rejected,
    RejectedNow,
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
CANNOT = (ChangeProblem("route 'r'", "match", "overlaps"),)


def change_of(number: int, *operations: Operation, made_on: int = 0) -> Change:
    """A change whose id is a number; without operations it creates a route of that number."""
    default = (Upsert(Kind.ROUTE, f"r{number}", 0, b"body"),)
    return Change(number.to_bytes(16, "big"), made_on, "why", "who", operations or default)


def taken(queue: ProposalQueue, state: ResourceState, now: int = 0) -> Assembled:
    """The next batch, which must be there."""
    assembled = queue.next_batch(state, now)
    assert assembled is not None
    return assembled


def test_one_batch_takes_what_came_since_the_last_and_each_proposer_hears_of_its_own() -> None:
    queue = ProposalQueue(NO_LINGER)
    first, second, third = (change_of(n) for n in range(3))
    assert isinstance(queue.offer(first, EMPTY, 0), Queued)
    one = taken(queue, EMPTY)
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
    two = taken(queue, one.state)
    assert two.batch.changes == (second, third)
    queue.batch_decided(two.batch, 0)
    assert [queue.outcome(one.id, 0) for one in (first, second, third)] == [
        InForce(1),
        InForce(2),
        InForce(2),
    ]
    assert queue.outcome(change_of(9).id, 0) == Unknown()
    assert queue.next_batch(two.state, 0) is None and queue.next_batch_delay_ns(0) is None


def test_a_proposal_that_is_repeated_has_one_effect() -> None:
    queue = ProposalQueue(NO_LINGER)
    change = change_of(1)
    queue.offer(change, EMPTY, 0)
    assert queue.offer(change, EMPTY, 0) == AlreadyQueued()
    one = taken(queue, EMPTY)
    assert queue.offer(change, EMPTY, 0) == AlreadyQueued()
    queue.batch_decided(one.batch, 0)
    assert queue.offer(change, EMPTY, 0) == AlreadyDecided(1)  # this keeper remembers it
    assert ProposalQueue().offer(change, one.state, 0) == AlreadyDecided(1)  # another one has it in its state


def test_what_another_keeper_had_decided_is_in_force_and_not_proposed_again() -> None:
    queue = ProposalQueue(NO_LINGER)
    change, other = change_of(1), change_of(2)
    for one in (change, other):
        queue.offer(one, EMPTY, 0)
    elsewhere = assemble(EMPTY, (change,))
    # It was heard of by a snapshot: only the state tells.
    assert taken(queue, elsewhere.state).batch.changes == (other,)
    assert queue.outcome(change.id, 0) == InForce(1)
    again = ProposalQueue(NO_LINGER)
    again.offer(change, EMPTY, 0)
    assert again.offer(change, elsewhere.state, 0) == AlreadyDecided(1)
    assert len(again) == 0 and again.outcome(change.id, 0) == InForce(1)


def test_a_change_that_does_not_fit_is_refused_alone_at_once_or_when_its_turn_comes() -> None:
    queue = ProposalQueue(NO_LINGER)
    wrong = change_of(1, Delete(Kind.ROUTE, "r", 3))
    refused = queue.offer(wrong, EMPTY, 0)
    assert isinstance(refused, RejectedNow) and "no such resource" in refused.problems[0].reason
    assert queue.outcome(wrong.id, 0) == Unknown()  # it was never accepted
    same = [change_of(n, Upsert(Kind.ROUTE, "r", 0, b"%d" % n)) for n in (2, 3)]
    for one in same:
        assert isinstance(queue.offer(one, EMPTY, 0), Queued)
    good = change_of(4)
    queue.offer(good, EMPTY, 0)
    assembled = taken(queue, EMPTY)
    assert assembled.batch.changes == (same[0], good) and not assembled.rejected
    # The first of the two is not decided yet: until then the second is not refused.
    assert isinstance(queue.outcome(same[1].id, 0), Pending)
    queue.batch_decided(assembled.batch, 0)
    assert queue.next_batch(assembled.state, 0) is None
    outcome = queue.outcome(same[1].id, 0)
    assert isinstance(outcome, Rejected) and "version 1 is there" in outcome.problems[0].reason
    assert queue.offer(same[1], assembled.state, 0) == RejectedNow(outcome.problems)


def test_what_waits_again_and_what_did_not_fit_beside_it_keep_their_order() -> None:
    queue = ProposalQueue(NO_LINGER)
    same = [change_of(n, Upsert(Kind.ROUTE, "r", 0, b"%d" % n)) for n in (1, 2)]
    changes = [same[0], same[1], change_of(3), change_of(4)]
    for one in changes:
        queue.offer(one, EMPTY, 0)
    batch = taken(queue, EMPTY).batch
    assert batch.changes == (same[0], *changes[2:])
    winner = assemble(EMPTY, (change_of(9),))
    queue.batch_superseded(batch, winner.state, 0)
    assert taken(queue, winner.state).batch.changes == batch.changes
    pending = queue.outcome(same[1].id, 0)
    assert isinstance(pending, Pending) and pending.position == 0


def test_a_change_that_does_not_fit_beside_one_that_is_dropped_takes_its_place() -> None:
    queue = ProposalQueue(NO_LINGER)
    same = [change_of(n, Upsert(Kind.ROUTE, "r", 0, b"%d" % n)) for n in (2, 3)]
    for one in same:
        queue.offer(one, EMPTY, 0)
    batch = taken(queue, EMPTY).batch
    assert batch.changes == (same[0],)
    queue.batch_dropped(batch, {same[0].id: CANNOT}, 0)
    assert queue.outcome(same[0].id, 0) == Rejected(CANNOT)
    assert taken(queue, EMPTY).batch.changes == (same[1],)


def test_the_changes_that_a_node_named_are_refused_with_its_reasons_and_the_rest_goes_first() -> None:
    queue = ProposalQueue(NO_LINGER)
    changes = [change_of(n) for n in range(4)]
    for one in changes:
        queue.offer(one, EMPTY, 0)
    batch = taken(queue, EMPTY).batch
    later = change_of(8)
    queue.offer(later, EMPTY, 0)
    stranger = change_of(99).id
    queue.batch_dropped(batch, {changes[1].id: CANNOT, changes[3].id: (), stranger: CANNOT}, 0)
    assert queue.outcome(changes[1].id, 0) == Rejected(CANNOT)
    assert isinstance(queue.outcome(changes[3].id, 0), Rejected)
    assert queue.outcome(stranger, 0) == Unknown()
    assert taken(queue, EMPTY).batch.changes == (changes[0], changes[2], later)


def test_what_another_keeper_had_dropped_is_refused_here_as_well() -> None:
    queue = ProposalQueue(NO_LINGER)
    changes = [change_of(n) for n in range(3)]
    for one in changes:
        queue.offer(one, EMPTY, 0)
    queue.batch_dropped(assemble(EMPTY, changes).batch, {changes[0].id: CANNOT}, 0)
    queue.batch_dropped(assemble(EMPTY, changes[1:2]).batch, {}, 0, CANNOT)
    assert queue.outcome(changes[0].id, 0) == Rejected(CANNOT) == queue.outcome(changes[1].id, 0)
    assert taken(queue, EMPTY).batch.changes == (changes[2],)


def test_a_batch_that_lost_is_made_anew_on_the_new_state_before_all_later_ones() -> None:
    queue = ProposalQueue(NO_LINGER)
    mine = [change_of(n) for n in range(3)]
    for one in mine:
        queue.offer(one, EMPTY, 0)
    batch = taken(queue, EMPTY).batch
    queue.offer(change_of(5), EMPTY, 0)
    winner = assemble(EMPTY, (mine[1], change_of(7)))
    queue.batch_superseded(batch, winner.state, 0)
    assert queue.outcome(mine[1].id, 0) == InForce(1)
    again = taken(queue, winner.state)
    assert again.batch.changes == (mine[0], mine[2], change_of(5))
    assert apply_batch(winner.state, again.batch) == again.state
    # The same by the batch itself; of another batch than the one that is under way nothing is lost.
    queue.batch_superseded(batch, winner.state, 0)
    assert queue.batch_in_progress == again.batch
    queue.batch_decided(assemble(winner.state, (change_of(8),)).batch, 0)
    assert queue.batch_in_progress is None and len(queue) == 3


@pytest.mark.parametrize("count", [1, 2, 7, 64])
def test_a_bad_change_that_nobody_names_is_found_in_bounded_rounds(count: int) -> None:
    most = 2 * math.ceil(math.log2(count)) + 2 if count > 1 else 1
    for bad in {0, count // 2, count - 1}:
        queue = ProposalQueue(NO_LINGER)
        changes = [change_of(n) for n in range(count)]
        for one in changes:
            queue.offer(one, EMPTY, 0)
        state, rounds = EMPTY, 0
        while len(queue):
            assembled = taken(queue, state)
            rounds += 1
            assert rounds <= most, bad
            if changes[bad] in assembled.batch.changes:
                queue.batch_dropped(assembled.batch, {}, 0, CANNOT)
            else:
                queue.batch_decided(assembled.batch, 0)
                state = assembled.state
        assert queue.outcome(changes[bad].id, 0) == Rejected(CANNOT)
        good = [one for n, one in enumerate(changes) if n != bad]
        assert all(isinstance(queue.outcome(one.id, 0), InForce) for one in good)


def test_the_first_change_waits_for_others_for_a_moment() -> None:
    queue = ProposalQueue(QueueSettings(linger_ns=100, max_batch_changes=3))
    assert queue.next_batch_delay_ns(0) is None
    queue.offer(change_of(1), EMPTY, 1000)
    assert queue.next_batch_delay_ns(1040) == 60 and queue.next_batch(EMPTY, 1040) is None
    queue.offer(change_of(2), EMPTY, 1050)
    assert len(taken(queue, EMPTY, 1100).batch.changes) == 2
    full = ProposalQueue(QueueSettings(linger_ns=100, max_batch_changes=3))
    for n in range(4):
        full.offer(change_of(n), EMPTY, 0)
    assert full.next_batch_delay_ns(0) == 0
    assert len(taken(full, EMPTY).batch.changes) == 3


def test_batches_are_bounded_in_bytes_and_a_larger_change_goes_alone() -> None:
    size = len(encode_change(change_of(1)))
    queue = ProposalQueue(QueueSettings(linger_ns=0, max_batch_bytes=2 * size, max_change_bytes=8 * size))
    large = change_of(5, Upsert(Kind.ROUTE, "large", 0, b"x" * 4 * size))
    for one in (change_of(1), change_of(2), change_of(3), large, change_of(4)):
        assert isinstance(queue.offer(one, EMPTY, 0), Queued)
    state, batches = EMPTY, []
    while len(queue):
        assembled = taken(queue, state)
        batches.append(len(assembled.batch.changes))
        queue.batch_decided(assembled.batch, 0)
        state = assembled.state
    assert batches == [2, 1, 1, 1] and queue.bytes == 0
    too_large = change_of(6, Upsert(Kind.ROUTE, "larger", 0, b"x" * 8 * size))
    refused = queue.offer(too_large, EMPTY, 0)
    assert isinstance(refused, RejectedNow) and "at most" in refused.problems[0].reason


def test_a_full_queue_and_a_wait_that_is_too_long_are_told_at_once() -> None:
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


def test_the_bytes_that_wait_are_part_of_the_estimate() -> None:
    size = len(encode_change(change_of(10)))
    queue = ProposalQueue(
        QueueSettings(linger_ns=0, max_batch_bytes=size, max_wait_ns=2 * SECOND, initial_batch_ns=SECOND)
    )
    state = EMPTY
    for n in range(10):  # one batch after another leaves nothing behind
        assert queue.offer(change_of(n), state, 0) == Queued(0, SECOND)
        assembled = taken(queue, state)
        queue.batch_decided(assembled.batch, 0)
        queue.average_batch_ns = SECOND  # as if it had taken so long
        state = assembled.state
    assert isinstance(queue.offer(change_of(10), state, 0), Queued)
    assert queue.offer(change_of(11), state, 0) == Queued(1, 2 * SECOND)
    assert queue.offer(change_of(12), state, 0) == Busy(SECOND)


def test_the_time_that_batches_take_is_measured_and_one_that_hangs_counts_at_once() -> None:
    settings = QueueSettings(linger_ns=0, max_wait_ns=3 * SECOND, initial_batch_ns=100 * MS)
    queue = ProposalQueue(settings)
    state, now = EMPTY, 0
    for n in range(30):
        assert isinstance(queue.offer(change_of(n, made_on=state.revision), state, now), Queued)
        assembled = taken(queue, state, now)
        now += SECOND
        queue.batch_decided(assembled.batch, now)
        state = assembled.state
    assert 0.95 * SECOND < queue.average_batch_ns <= SECOND
    queue.offer(change_of(50), state, now)
    taken(queue, state, now)
    assert isinstance(queue.offer(change_of(51), state, now), Queued)
    now += 4 * SECOND  # nothing is decided meanwhile
    assert isinstance(queue.offer(change_of(52), state, now), Busy)
    # What was accepted is told that it is late, not dropped.
    pending = queue.outcome(change_of(51).id, now)
    assert isinstance(pending, Pending) and pending.wait_ns > settings.max_wait_ns


def test_outcomes_are_remembered_for_a_bounded_number_and_time() -> None:
    queue = ProposalQueue(QueueSettings(linger_ns=0, max_outcomes=2, outcome_ns=100))
    for n in range(3):
        queue.offer(change_of(n), EMPTY, 0)
    queue.batch_decided(taken(queue, EMPTY).batch, 0)
    assert [type(queue.outcome(change_of(n).id, 100)) for n in range(3)] == [Unknown, InForce, InForce]
    assert queue.outcome(change_of(2).id, 101) == Unknown()


def test_a_refusal_is_final_only_when_all_keepers_that_were_asked_refused_it() -> None:
    refused = Rejected(CANNOT)
    assert combined_outcome([]) == Unknown()
    assert combined_outcome([refused, refused]) == refused
    assert combined_outcome([refused, Unknown()]) == Unknown()
    assert combined_outcome([refused, Pending(3, 5)]) == Pending(3, 5)
    assert combined_outcome([Pending(3, 5), UnderWay(4), refused]) == UnderWay(4)
    assert combined_outcome([refused, Unknown(), InForce(2), UnderWay(4)]) == InForce(2)


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
def test_bounds_that_do_not_fit_each_other_are_refused(wrong: dict[str, int], field: str) -> None:
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
    """Any sequence of offers, takes, decisions, drops and losses, beside the state that all agree on."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = ProposalQueue(SMALL)
        self.state = EMPTY
        self.now = 0
        self.number = 0
        self.changes: dict[bytes, Change] = {}  # that were accepted
        self.bad: set[bytes] = set()  # that no node can serve
        self.ended: dict[bytes, InForce | Rejected] = {}
        self.seen: set[bytes] = set()  # that were decided
        self.assembled: Assembled | None = None

    def decide(self, assembled: Assembled) -> None:
        """A batch is decided: by the followers' rules, and no change a second time."""
        self.state = apply_batch(self.state, assembled.batch)
        assert self.state == assembled.state
        for one in assembled.batch.changes:
            assert one.id not in self.seen
            self.seen.add(one.id)

    @rule(
        name=st.sampled_from(NAMES),
        fresh=st.booleans(),
        delete=st.booleans(),
        size=st.integers(0, 60),
        bad=st.integers(0, 5),
    )
    def offer(self, name: str, fresh: bool, delete: bool, size: int, bad: int) -> None:
        there = self.state.get(Kind.ROUTE, name)
        base = there.version if there is not None else 0
        if not fresh and base:
            base -= 1
        self.number += 1
        if delete and base:
            operation: Operation = Delete(Kind.ROUTE, name, base)
        else:
            operation = Upsert(Kind.ROUTE, name, base, b"x" * size)
        change = change_of(self.number, operation, made_on=self.state.revision)
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
        if change.id in self.seen:
            assert answer == AlreadyDecided(self.state.revision_of(change.id) or 0)
        elif change.id in self.ended:
            assert isinstance(answer, RejectedNow)
        else:
            assert answer == AlreadyQueued()

    @rule(passed=st.integers(1, 20))
    def time_goes_on(self, passed: int) -> None:
        self.now += passed

    @rule()
    def take(self) -> None:
        assembled = self.queue.next_batch(self.state, self.now)
        if assembled is None:
            return
        assert self.assembled is None
        self.assembled = assembled
        changes = assembled.batch.changes
        assert 1 <= len(changes) <= SMALL.max_batch_changes
        sizes = [len(encode_change(one)) for one in changes]
        assert len(sizes) == 1 or sum(sizes) <= SMALL.max_batch_bytes
        assert [one.id for one in changes] == sorted(one.id for one in changes)  # first come first

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
        reasons = {bad[0]: CANNOT} if named else {}
        self.queue.batch_dropped(assembled.batch, reasons, self.now, CANNOT)

    @rule(data=st.data(), told=st.booleans())
    def another_keeper_is_first(self, data: st.DataObject, told: bool) -> None:
        """Its batch holds a change of its own, and some that were offered here, too."""
        waiting = [one for key, one in self.changes.items() if key not in self.ended and key not in self.bad]
        some = data.draw(st.lists(st.sampled_from(waiting), unique_by=lambda one: one.id)) if waiting else []
        self.number += 1
        theirs = assemble(self.state, (*some, change_of(self.number, made_on=self.state.revision)))
        self.decide(theirs)
        if told:
            self.queue.batch_decided(theirs.batch, self.now)
        elif self.assembled is not None:
            self.queue.batch_superseded(self.assembled.batch, self.state, self.now)
        # Else this keeper heard of it by a snapshot: only the state tells.
        self.assembled = None

    @invariant()
    def answers_are_true_and_bounds_are_kept(self) -> None:
        self.each_is_answered_by_its_own_outcome()
        self.bounds_are_kept()

    def each_is_answered_by_its_own_outcome(self) -> None:
        for change_id in self.changes:
            outcome = self.queue.outcome(change_id, self.now)
            before = self.ended.get(change_id)
            if before is not None:
                assert outcome == before  # it ended once
            elif isinstance(outcome, InForce):
                assert self.state.revision_of(change_id) == outcome.revision
                self.ended[change_id] = outcome
            elif isinstance(outcome, Rejected):
                assert change_id not in self.seen
                assert change_id in self.bad or outcome.problems != CANNOT
                self.ended[change_id] = outcome
            elif isinstance(outcome, UnderWay):
                assert self.assembled is not None
                assert change_id in [one.id for one in self.assembled.batch.changes]
            else:
                assert isinstance(outcome, Pending) and 0 <= outcome.position < self.number

    def bounds_are_kept(self) -> None:
        open_ones = [one for key, one in self.changes.items() if key not in self.ended]
        assert len(self.queue) == len(open_ones) <= SMALL.max_changes
        assert self.queue.bytes == sum(len(encode_change(one)) for one in open_ones) <= SMALL.max_bytes

    def teardown(self) -> None:
        """All that were accepted come to their end in bounded rounds."""
        rounds = 0
        most = 4 * SMALL.max_changes + 4
        while len(self.queue):
            rounds += 1
            assert rounds <= most
            if self.assembled is None:
                self.now += SMALL.linger_ns
                self.take()
            else:
                self.nodes_answer(named=False)
            self.answers_are_true_and_bounds_are_kept()
        self.answers_are_true_and_bounds_are_kept()
        assert set(self.ended) == set(self.changes)
        assert {key for key, one in self.ended.items() if isinstance(one, InForce)} == self.seen & set(
            self.changes
        )


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
