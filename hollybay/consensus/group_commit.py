"""Group commit: proposed changes wait in a queue at a keeper, and one decision takes all that have come.

The queue is pure: what happened goes in, what to do comes out; all times are ns that the caller gives, from
one clock that does not go backwards. A change that was accepted (`Queued`) ends exactly once: `InForce` or
`Rejected`.

Whoever drives calls `take` when the tier is settled, has the batch decided, and reports what became of it:

    take --> batch under way --> decided   its changes are in force
                             --> dropped   the changes that a node named are refused, the rest waits again
                             --> lost      another keeper's batch was decided first; all of it waits again

What waits again keeps its place before all that came later, and is assembled anew on the state of that time.

A batch that is dropped without anybody naming a change is divided (binary splitting, as in group testing):
the next batch is its first half, and so on until a batch of a single change is dropped, which is refused.
One bad change among n costs at most about 2 * log2(n) further batches; the others are decided.

A refusal speaks for the queue of one keeper. A proposer that had no answer, and offered the same change at
another keeper as well, has been refused only when all of these say so: see `combined`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import takewhile

from hollybay.resources.batch import MAX_BATCH_CHANGES, Assembled, Batch, assemble
from hollybay.resources.model import Change, ChangeRefused, Problem
from hollybay.resources.state import ResourceState
from hollybay.resources.wire import MAX_BATCH_BYTES, encode_change

__all__ = [
    "AlreadyDecided",
    "AlreadyQueued",
    "Busy",
    "InForce",
    "Offered",
    "Outcome",
    "Pending",
    "ProposalQueue",
    "QueueSettings",
    "Queued",
    "Rejected",
    "RejectedNow",
    "UnderWay",
    "Unknown",
    "combined",
]

MILLISECOND = 1_000_000
SECOND = 1_000_000_000

# What a batch needs beside its changes, in bytes, at the most.
BATCH_OVERHEAD_BYTES = 1024
# The part of a new measurement in the average time of a batch.
AVERAGE_WEIGHT = 0.25
# Why a change is refused whose batch was dropped, when it stood alone in it and nobody gave a reason.
CANNOT_BE_SERVED = Problem("change", "", "a node cannot serve it")


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds of a queue.

    max_changes, max_bytes: what it holds, with the batch that is under way.
    max_wait_ns: a proposal that would be decided later than this, by the estimate, is told to come again.
    max_batch_changes, max_batch_bytes: what one batch holds; a single larger change goes alone.
    max_change_bytes: a larger change is refused.
    linger_ns: how long the first change waits for others before a batch is taken.
    initial_batch_ns: how long a batch is taken to last before any was measured.
    max_retry_after_ns: the longest time that a proposer is told to wait.
    max_outcomes, outcome_ns: how many outcomes are remembered, and for how long.
    """

    max_changes: int = 4096
    max_bytes: int = 64 << 20
    max_wait_ns: int = 10 * SECOND
    max_batch_changes: int = 512
    max_batch_bytes: int = 1 << 20
    max_change_bytes: int = 32 << 20
    linger_ns: int = 5 * MILLISECOND
    initial_batch_ns: int = 500 * MILLISECOND
    max_retry_after_ns: int = 60 * SECOND
    max_outcomes: int = 16_384
    outcome_ns: int = 600 * SECOND

    def __post_init__(self) -> None:
        """ValueError: the bounds do not fit each other."""
        if not 1 <= self.max_batch_changes <= MAX_BATCH_CHANGES:
            raise ValueError(f"max_batch_changes: {self.max_batch_changes} is not 1 to {MAX_BATCH_CHANGES}")
        largest = MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES
        if not 1 <= max(self.max_change_bytes, self.max_batch_bytes) <= largest:
            raise ValueError(f"max_change_bytes and max_batch_bytes: not 1 to {largest}")
        if self.max_change_bytes > self.max_bytes:
            raise ValueError(f"max_bytes: {self.max_bytes} is less than max_change_bytes")
        if self.max_changes < 1 or self.max_outcomes < 1:
            raise ValueError("max_changes and max_outcomes: not 1 or more")


# What a proposal is answered at once


@dataclass(frozen=True, slots=True)
class Queued:
    """It will be decided. position: as in Pending; wait_ns: how long that will take, estimated."""

    position: int
    wait_ns: int


@dataclass(frozen=True, slots=True)
class AlreadyQueued:
    """It was proposed before and has not ended; `outcome` tells more."""


@dataclass(frozen=True, slots=True)
class AlreadyDecided:
    """It was proposed before and is in force since this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class RejectedNow:
    """It may not be applied, or was refused before; nothing was queued."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class Busy:
    """It would wait too long, or the queue is full; nothing was queued.

    retry_after_ns: when the proposer may come again.
    """

    retry_after_ns: int


Offered = Queued | AlreadyQueued | AlreadyDecided | RejectedNow | Busy


# What becomes of a change that was queued


@dataclass(frozen=True, slots=True)
class Pending:
    """It waits. position: at most so many changes are before it; wait_ns: until it is decided, estimated."""

    position: int
    wait_ns: int


@dataclass(frozen=True, slots=True)
class UnderWay:
    """It is part of the batch that is being decided. revision: from which it would be in force."""

    revision: int


@dataclass(frozen=True, slots=True)
class InForce:
    """It was decided. Final."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """It was not applied, and this keeper will not propose it. Final for the queue of this keeper."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class Unknown:
    """It was not accepted here, or that is forgotten."""


Outcome = Pending | UnderWay | InForce | Rejected | Unknown


def combined(outcomes: Iterable[Outcome]) -> Outcome:
    """What became of a change, from the outcomes at every keeper at which it was ever offered.

    Of each keeper what it said since the change was last offered to it: a change that was refused may fit
    again (a resource that was in its way is deleted), and an offer whose answer was lost may have been
    accepted. InForce from one of them is final. Rejected is final only where each of them refused it: a
    keeper that accepted it may still propose it, and one that started anew has forgotten what it accepted
    (Unknown), while its last batch may still be decided. Whoever is told Unknown offers the change again,
    under the same id.
    """
    found = list(outcomes)
    for kind in (InForce, UnderWay, Pending, Unknown):
        for one in found:
            if isinstance(one, kind):
                return one
    problems: list[Problem] = []
    for one in found:
        if isinstance(one, Rejected):
            problems += [problem for problem in one.problems if problem not in problems]
    return Rejected(tuple(problems)) if found else Unknown()


# The queue


@dataclass(slots=True)
class _Waiting:
    """A change that has not ended. sequence: its place, given once; group: see _Splitting; size: bytes."""

    change: Change
    size: int
    sequence: int
    offered_at: int
    group: int = 0


@dataclass(frozen=True, slots=True)
class _Taken:
    """The batch that is under way, and when it was taken."""

    batch: Batch
    taken_at: int


class ProposalQueue:
    """The changes that were proposed to one keeper, first come first; see the module."""

    def __init__(self, settings: QueueSettings | None = None) -> None:
        self.settings = settings or QueueSettings()
        self.batch_ns = self.settings.initial_batch_ns  # the average time of a batch
        self.bytes = 0  # of all changes that have not ended
        self._waiting: OrderedDict[bytes, _Waiting] = OrderedDict()  # by id, in order of sequence
        self._under_way: dict[bytes, _Waiting] = {}
        self._under_way_bytes = 0
        self._taken: _Taken | None = None
        self._ended: OrderedDict[bytes, tuple[int, InForce | Rejected]] = OrderedDict()
        self._sequence = 0
        self._groups = 0  # the number of the last group

    def __len__(self) -> int:
        """How many changes have not ended, with those that are under way."""
        return len(self._waiting) + len(self._under_way)

    @property
    def under_way(self) -> Batch | None:
        """The batch that was taken and of which nothing was reported yet."""
        return self._taken.batch if self._taken is not None else None

    # Proposals

    def offer(self, change: Change, state: ResourceState, now: int) -> Offered:
        """Accept a proposal, or say why not. state: the newest that this keeper knows."""
        self._forget(now)
        known = self._known(change.id, state, now)
        if known is not None:
            return known
        try:
            state.check(change)
        except ChangeRefused as error:
            return RejectedNow(error.problems)
        size = len(encode_change(change))
        if size > self.settings.max_change_bytes:
            text = f"{size} bytes, {self.settings.max_change_bytes} at most"
            return RejectedNow((Problem("change", "", text),))
        wait = self._estimate(len(self._waiting) + 1, self.bytes - self._under_way_bytes + size, now)
        if self._is_full(size) or wait > self.settings.max_wait_ns:
            return Busy(self._retry_after(wait, now))
        self._sequence += 1
        waiting = _Waiting(change, size, self._sequence, now)
        self._waiting[change.id] = waiting
        self.bytes += size
        return Queued(self._position(waiting), wait)

    def _known(self, change_id: bytes, state: ResourceState, now: int) -> Offered | None:
        """What is said of a change that was proposed before; None: it was not."""
        revision = state.revision_of(change_id)
        if revision is not None:
            self._end(change_id, InForce(revision), now)
            return AlreadyDecided(revision)
        if change_id in self._under_way or change_id in self._waiting:
            return AlreadyQueued()
        ended = self._ended.get(change_id)
        if ended is None:
            return None
        outcome = ended[1]
        return (
            AlreadyDecided(outcome.revision)
            if isinstance(outcome, InForce)
            else RejectedNow(outcome.problems)
        )

    def outcome(self, change_id: bytes, now: int) -> Outcome:
        """What became of one change that was accepted here."""
        self._forget(now)
        if change_id in self._under_way and self._taken is not None:
            return UnderWay(self._taken.batch.revision)
        waiting = self._waiting.get(change_id)
        if waiting is not None:
            position = self._position(waiting)
            return Pending(position, self._estimate(position + 1, 0, now))
        ended = self._ended.get(change_id)
        return ended[1] if ended is not None else Unknown()

    # Batches

    def next_take_ns(self, now: int) -> int | None:
        """In how many ns `take` may give a batch, 0: now; None: not before something else happens."""
        if self._taken is not None or not self._waiting:
            return None
        first = next(iter(self._waiting.values()))
        if first.group or len(self._waiting) >= self.settings.max_batch_changes:
            return 0
        return max(0, first.offered_at + self.settings.linger_ns - now)

    def take(self, state: ResourceState, now: int) -> Assembled | None:
        """The next batch, on the newest state; None: there is none now, see `next_take_ns`.

        Changes that do not fit the state any more are refused, each with its problems, or found to be in
        force. One that fits the state, and only not what the changes before it in the batch would make of
        it, waits until that batch has come to its end, as it may be dropped or lost. At most
        max_batch_changes are looked at; `take` may be called again at once.
        """
        self._forget(now)
        if self.next_take_ns(now) != 0:
            return None
        candidates = self._candidates()
        for waiting in list(candidates):
            revision = state.revision_of(waiting.change.id)
            if revision is not None:
                self._end(waiting.change.id, InForce(revision), now)
                candidates.remove(waiting)
        assembled = assemble(state, (waiting.change for waiting in candidates))
        refused: list[tuple[Change, ChangeRefused]] = []
        for change, error in assembled.refused:
            lasting = self._lasting_refusal(change, error, state)
            if lasting is not None:
                refused.append((change, lasting))
                self._end(change.id, Rejected(lasting.problems), now)
        if not assembled.batch.changes:
            return None
        for change in assembled.batch.changes:
            waiting = self._waiting.pop(change.id)
            self._under_way[change.id] = waiting
            self._under_way_bytes += waiting.size
        self._taken = _Taken(assembled.batch, now)
        return replace(assembled, refused=tuple(refused))

    def _lasting_refusal(
        self, change: Change, error: ChangeRefused, state: ResourceState
    ) -> ChangeRefused | None:
        """Why a change that does not fit its batch does not fit the state either; None: it does.

        error: why it does not fit the batch.
        """
        try:
            state.check(change)
        except ChangeRefused as lasting:
            return lasting
        return None

    def _candidates(self) -> list[_Waiting]:
        """The first changes of the queue that make one batch by count, bytes and group."""
        found: list[_Waiting] = []
        size = 0
        for waiting in self._waiting.values():
            size += waiting.size
            if found and (size > self.settings.max_batch_bytes or waiting.group != found[0].group):
                break
            found.append(waiting)
            if len(found) == self.settings.max_batch_changes:
                break
        return found

    # What became of a batch

    def decided(self, batch: Batch, now: int) -> None:
        """A batch, of this keeper or of another one, is in force.

        Where another one's was decided, what is under way here waits again.
        """
        self._forget(now)
        if self._is_own(batch):
            self._measure(now)
        for change in batch.changes:
            self._end(change.id, InForce(batch.revision), now)
        self._put_back()

    def dropped(
        self,
        batch: Batch,
        reasons: Mapping[bytes, tuple[Problem, ...]],
        now: int,
        problems: tuple[Problem, ...] = (),
    ) -> None:
        """A batch, of this keeper or of another one, was given up, as a node cannot serve it.

        reasons: the problems of each change that was named, by its id; ids that are not in the batch are
        passed over. problems: what nodes said without naming a change. Where no change was named, a batch of
        this keeper is divided.
        """
        self._forget(now)
        own = self._is_own(batch)
        if own:
            self._measure(now)
        named = {change.id: reasons[change.id] for change in batch.changes if change.id in reasons}
        if not named and len(batch.changes) == 1:
            named = {batch.changes[0].id: problems}
        for change_id, its_problems in named.items():
            self._end(change_id, Rejected(its_problems or (CANNOT_BE_SERVED,)), now)
        if own:
            # What was suspected before is explained by this batch: of the rest nothing is known.
            for waiting in self._waiting.values():
                waiting.group = 0
            self._divide(split=not named)
        self._put_back()

    def lost(self, batch: Batch, state: ResourceState, now: int) -> None:
        """The batch of this keeper was not decided: another one was, and `state` is the one after it.

        Changes that are in force in that state have ended; the others wait again.
        """
        self._forget(now)
        if not self._is_own(batch):
            return
        for change_id in list(self._under_way):
            revision = state.revision_of(change_id)
            if revision is not None:
                self._end(change_id, InForce(revision), now)
        self._put_back()

    def _divide(self, split: bool) -> None:
        """Put what is under way into two groups, each a batch of its own; or, not split, into none."""
        suspects = list(self._under_way.values())
        half = (len(suspects) + 1) // 2
        self._groups += 2
        for place, waiting in enumerate(suspects):
            waiting.group = self._groups - (place < half) if split else 0

    def _put_back(self) -> None:
        """What is under way waits again, in its place: before all that came later."""
        if self._under_way:
            last = next(reversed(self._under_way.values())).sequence
            # Some that came between did not fit beside them, and wait.
            between = takewhile(lambda waiting: waiting.sequence < last, self._waiting.values())
            first = sorted((*self._under_way.values(), *between), key=lambda waiting: waiting.sequence)
            for waiting in reversed(first):
                self._waiting[waiting.change.id] = waiting
                self._waiting.move_to_end(waiting.change.id, last=False)
        self._under_way.clear()
        self._under_way_bytes = 0
        self._taken = None

    def _is_own(self, batch: Batch) -> bool:
        return self._taken is not None and self._taken.batch == batch

    # Outcomes

    def _end(self, change_id: bytes, outcome: InForce | Rejected, now: int) -> None:
        """A change has ended; nothing happens where it was not accepted here."""
        waiting = self._waiting.pop(change_id, None)
        if waiting is None:
            waiting = self._under_way.pop(change_id, None)
            if waiting is None:
                return
            self._under_way_bytes -= waiting.size
        self.bytes -= waiting.size
        self._ended[change_id] = (now, outcome)

    def _forget(self, now: int) -> None:
        """Let go of the outcomes that are too many or too old."""
        while self._ended:
            oldest = next(iter(self._ended.values()))[0]
            if len(self._ended) <= self.settings.max_outcomes and now - oldest <= self.settings.outcome_ns:
                return
            self._ended.popitem(last=False)

    # Estimates

    def _position(self, waiting: _Waiting) -> int:
        """At most so many changes wait before it: sequences are given in order, and some have ended."""
        return waiting.sequence - next(iter(self._waiting.values())).sequence

    def _is_full(self, size: int) -> bool:
        return len(self) >= self.settings.max_changes or self.bytes + size > self.settings.max_bytes

    def _elapsed(self, now: int) -> int:
        """How long the batch that is under way has lasted, ns."""
        return now - self._taken.taken_at if self._taken is not None else 0

    def _measure(self, now: int) -> None:
        """The batch that is under way has come to its end."""
        self.batch_ns += int(AVERAGE_WEIGHT * (self._elapsed(now) - self.batch_ns))

    def _estimate(self, changes: int, size: int, now: int) -> int:
        """How long the last of so many waiting changes of so many bytes waits until it is decided, ns.

        A batch that lasts longer than the average is the better measure; and nobody waits less than those who
        wait already.
        """
        batch_ns = max(self.batch_ns, self._elapsed(now))
        by_count = -(-changes // self.settings.max_batch_changes)
        by_bytes = -(-size // self.settings.max_batch_bytes)
        batches = max(by_count, by_bytes)
        if self._taken is not None:
            batches += 1
        if any(waiting.group for waiting in self._first_waiting()):
            batches += 1
        waited = max((now - waiting.offered_at for waiting in self._first_waiting()), default=0)
        return max(self.settings.linger_ns + batches * batch_ns, waited)

    def _first_waiting(self) -> Iterable[_Waiting]:
        """The oldest change that waits, and the oldest that is under way."""
        for there in (self._under_way, self._waiting):
            if there:
                yield next(iter(there.values()))

    def _retry_after(self, wait: int, now: int) -> int:
        """When a proposer that is sent away may come again, ns."""
        batch_ns = max(self.batch_ns, self._elapsed(now))
        return min(self.settings.max_retry_after_ns, max(batch_ns, wait - self.settings.max_wait_ns, 1))
