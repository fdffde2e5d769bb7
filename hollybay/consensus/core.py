"""How one policy gives way to another at every node or at none: keepers, nodes, who drives a change. Pure.

The whole tier goes through numbered *epochs*, one after another; each is decided by a majority of the keepers
and says what nodes serve under:

    SETTLED(p) -> PREPARE(p, q) -> NARROW(p, q) -> SETTLED(q)      serves: p | p | what both allow | q
                        |                |
                        +----------------+-------> SETTLED(p)      the change was dropped

A node serves under an epoch while it holds a lease on it: granted by a majority of keepers, counted from
before it asked, looked at when each request begins. Two rules make the guarantee:

1. A keeper votes for epoch e + 1 only when every lease that it granted on an epoch before e is over, and once
   it knows that e is decided it grants none on an epoch before e. Any lease and any decision share a keeper,
   so when e + 1 is decided no node serves under an epoch before e: only e and e + 1 are ever served at once,
   and what these serve under always has a policy in common. p alone and q alone are two epochs apart.
2. A node says whether it could serve the new policy with the call that asks for a lease on PREPARE. Whoever
   holds one has told a majority; a keeper that was told no by one whose lease is not over does not vote for
   NARROW, and one that has voted for it grants no more leases on PREPARE to who says no.

A policy names its keepers, its *board*. Leases on an epoch, and votes for the one after it, take a majority
of the board of each policy that the epoch names; so any two epochs that must not overlap have a keeper in
common also when keepers change.

A node whose lease is over may have been granted a *late* time, in which it serves under the narrower of the
policies that its epoch names; keepers vote for no epoch meanwhile that serves under none of these.

Everything is a value: functions take a state and what happened and give the new state and what to answer, so
that the same code runs a node and is searched through by the model check (model.py). A node stands here for
a process: one that starts again, or a second one that claims its number, is another. Times in ns on a clock
that goes on while a process is stopped.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "Accept",
    "Accepted",
    "Acceptor",
    "Ballot",
    "Decided",
    "EpochState",
    "Lease",
    "LeaseGrant",
    "LeaseRequest",
    "Leaseholder",
    "Prepare",
    "Promise",
    "Proposer",
    "Stage",
    "VoterSets",
    "effective_policies",
    "has_quorum",
    "highest_ballot_number",
    "is_valid_successor",
    "policies_named",
]

Ballot = tuple[int, int]  # a count, and who drives: no two have the same
VoterSets = tuple[frozenset[int], ...]  # the keepers of each policy that an epoch names
NO_BALLOT: Ballot = (0, 0)


class Stage(IntEnum):
    """Where the tier is with a change."""

    SETTLED = 0
    PREPARE = 1
    NARROW = 2


class EpochState(NamedTuple):
    """One epoch. policy, new: names of policies (policy.Policy.name); new is empty where it is settled."""

    epoch: int
    stage: Stage
    policy: str
    new: str = ""


def effective_policies(state: EpochState) -> tuple[str, ...]:
    """The policies whose narrower holds for requests that begin in this epoch."""
    return (state.policy, state.new) if state.stage is Stage.NARROW else (state.policy,)


def policies_named(state: EpochState) -> tuple[str, ...]:
    """The policies that it names, in force or not."""
    return (state.policy, state.new) if state.new else (state.policy,)


def has_quorum(boards: VoterSets, keepers: Iterable[int]) -> bool:
    """Whether these keepers are a majority of each board."""
    those = frozenset(keepers)
    return bool(boards) and all(2 * len(those & board) > len(board) for board in boards)


def is_valid_successor(old: EpochState, new: EpochState) -> bool:
    """Whether one epoch may follow another: the table above."""
    if new.epoch != old.epoch + 1 or bool(new.new) != (new.stage is not Stage.SETTLED):
        return False
    if old.stage is Stage.SETTLED:
        return new.stage is Stage.PREPARE and new.policy == old.policy != new.new
    if new.stage is Stage.SETTLED:
        return new.policy == old.policy or (old.stage is Stage.NARROW and new.policy == old.new)
    return (old.stage, new.stage) == (Stage.PREPARE, Stage.NARROW) and old[2:] == new[2:]


# What is said


class LeaseRequest(NamedTuple):
    """A node asks for a lease on the last epoch that it heard of; state None: it has heard of none.

    serving: the epoch that it serves under, and none before; -1: none. able: whether it could serve the new
    policy, if there is one.
    """

    node: int
    turn: int
    state: EpochState | None
    serving: int
    able: bool


class LeaseGrant(NamedTuple):
    """A keeper grants it."""

    keeper: int
    turn: int
    epoch: int


class Decided(NamedTuple):
    """What is decided, from whoever knows more than the other."""

    state: EpochState


class Prepare(NamedTuple):
    """Whoever drives asks keepers to heed no lower ballot for the epoch after this one."""

    ballot: Ballot
    epoch: int


class Promise(NamedTuple):
    """A keeper will; accepted: what it voted for already, and under which ballot."""

    keeper: int
    ballot: Ballot
    epoch: int
    accepted: tuple[Ballot, EpochState] | None


class Accept(NamedTuple):
    """Whoever drives asks for votes."""

    ballot: Ballot
    state: EpochState


class Accepted(NamedTuple):
    """A keeper has voted, and it is on its disk."""

    keeper: int
    ballot: Ballot
    state: EpochState


# Keepers


class Lease(NamedTuple):
    """A lease that a keeper granted, over at `until` at the latest. able: could serve the new policy.

    late: until when its node may go on under the narrower of these names.
    """

    node: int
    epoch: int
    until: int
    able: bool
    late: int = 0
    names: tuple[str, ...] = ()


class Acceptor(NamedTuple):
    """A keeper. What must be on disk before it is said: decided, promised, accepted.

    quiet: until when it must not vote, as it may have granted leases in a life before. mute: the last epoch
    that it must not vote for, as it may have voted or promised with a disk that it lost.
    """

    me: int
    decided: EpochState
    promised: Ballot = NO_BALLOT
    accepted: tuple[Ballot, EpochState] | None = None
    leases: tuple[Lease, ...] = ()
    quiet: int = 0
    mute: int = 0

    def hear_ask(
        self, now: int, ask: LeaseRequest, lease: int, late: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        """Grant a lease on the epoch that is decided, or tell which that is; None: to one that cannot serve
        what this keeper has voted for, or may have.

        lease: how long, with the margin for clocks that run apart; late: how long after it.
        """
        knows = self.hear_know(Decided(ask.state)) if ask.state is not None else self
        if ask.state is None or ask.state.epoch < knows.decided.epoch:
            return knows, Decided(knows.decided)
        epoch = ask.state.epoch
        if not ask.able and (knows.voted_narrow or epoch < knows.mute):
            return knows, None
        # Its leases on epochs before the one that it serves under are over: it looks at none of them again.
        kept = [
            one
            for one in knows.leases
            if max(one.until, one.late) > now
            and not (one.node == ask.node and (one.epoch < ask.serving or one.epoch == epoch))
        ]
        until = now + lease
        kept.append(Lease(ask.node, epoch, until, ask.able, until + late, policies_named(ask.state)))
        return knows._replace(leases=tuple(sorted(kept))), LeaseGrant(knows.me, ask.turn, epoch)

    @property
    def voted_narrow(self) -> bool:
        """Whether it has voted for NARROW after the epoch that it knows to be decided."""
        return self.accepted is not None and self.accepted[1].stage is Stage.NARROW

    def hear_prepare(self, call: Prepare) -> tuple[Acceptor, Promise | Decided | None]:
        """Promise to heed no lower ballot; None: a higher one was promised, or the caller knows more."""
        if call.epoch < self.decided.epoch:
            return self, Decided(self.decided)
        if call.epoch > self.decided.epoch or call.ballot <= self.promised or call.epoch < self.mute:
            return self, None
        kept = self._replace(promised=call.ballot)
        return kept, Promise(self.me, call.ballot, call.epoch, self.accepted)

    def may_vote(self, now: int, state: EpochState) -> bool:
        """Whether it may vote for an epoch now: it is a valid successor, nobody serves under one before the
        last, nobody is late under other policies, and no node that serves could not serve the new policy."""
        return (
            is_valid_successor(self.decided, state)
            and now >= self.quiet
            and state.epoch > self.mute
            and not self.waits_for(now, state)
            and not (state.stage is Stage.NARROW and self.refused(now))
        )

    def waits_for(self, now: int, state: EpochState) -> tuple[Lease, ...]:
        """The leases that must be over before it may vote for an epoch."""
        serves = set(effective_policies(state))
        return tuple(
            one
            for one in self.leases
            if (one.epoch < self.decided.epoch and one.until > now)
            or (one.late > now and serves.isdisjoint(one.names))
        )

    def refused(self, now: int) -> tuple[int, ...]:
        """The nodes with a lease that cannot serve the new policy of the epoch that is decided."""
        return tuple(
            one.node
            for one in self.leases
            if one.epoch == self.decided.epoch and one.until > now and not one.able
        )

    def hear_accept(self, now: int, call: Accept) -> tuple[Acceptor, Accepted | Decided | None]:
        """Vote; None: not now, or a higher ballot was promised."""
        if call.state.epoch <= self.decided.epoch:
            return self, Decided(self.decided)
        if call.ballot < self.promised or not self.may_vote(now, call.state):
            return self, None
        voted = self._replace(promised=call.ballot, accepted=(call.ballot, call.state))
        return voted, Accepted(self.me, call.ballot, call.state)

    def hear_know(self, know: Decided) -> Acceptor:
        """Learn what is decided."""
        if know.state.epoch <= self.decided.epoch:
            return self
        return self._replace(decided=know.state, promised=NO_BALLOT, accepted=None)

    def reborn(self, now: int, lease: int) -> Acceptor:
        """After a crash, with what is on disk. lease: the longest it may have granted, with late time."""
        return self._replace(leases=(), quiet=now + lease)

    @staticmethod
    def anew(me: int, now: int, lease: int, told: Iterable[tuple[EpochState, EpochState | None]]) -> Acceptor:
        """A keeper that does not know what it said, from what a majority of the others know.

        told: what each knows to be decided, and what it voted for. What this one may have said before is of
        the epoch after the last of these at the latest.
        """
        heard = list(told)
        decided = max(state for state, _ in heard)
        last = max(state.epoch for pair in heard for state in pair if state is not None)
        return Acceptor(me, decided, quiet=now + lease, mute=last + 1)


# Nodes


class Leaseholder(NamedTuple):
    """A node. at, until: the epoch it serves under, and the end of its lease; want: the last it heard of.

    boards: those whose leases it needs for want. late: until when it serves under the narrower of what its
    epoch names. turn, asked, grants: the call that is under way. unfit: policies that it cannot serve.
    """

    me: int
    boards: VoterSets = ()
    at: EpochState | None = None
    until: int = 0
    late: int = 0
    want: EpochState | None = None
    turn: int = 0
    asked: int = 0
    grants: frozenset[int] = frozenset()
    unfit: frozenset[str] = frozenset()

    def serves(self, now: int) -> tuple[str, ...]:
        """The policies whose narrower a request that begins now is served under; (): none may begin."""
        if self.at is None or now >= max(self.until, self.late):
            return ()
        if now < self.until:
            return effective_policies(self.at)
        names = policies_named(self.at)
        return () if any(one in self.unfit for one in names) else names

    def begin(self, now: int) -> tuple[Leaseholder, LeaseRequest]:
        """Ask all keepers for a lease; counted from now, before anybody hears of it."""
        began = self._replace(turn=self.turn + 1, asked=now, grants=frozenset())
        serving = self.at.epoch if self.at is not None and now < max(self.until, self.late) else -1
        able = self.want is None or not self.want.new or self.want.new not in self.unfit
        return began, LeaseRequest(self.me, began.turn, self.want, serving, able)

    def hear_grant(self, grant: LeaseGrant, lease: int, late: int = 0) -> Leaseholder:
        """Count a grant; with those of a majority it serves under that epoch."""
        if self.want is None or (grant.turn, grant.epoch) != (self.turn, self.want.epoch):
            return self
        heard = self._replace(grants=self.grants | {grant.keeper})
        if not has_quorum(self.boards, heard.grants) or any(
            one in self.unfit for one in effective_policies(self.want)
        ):
            return heard
        until = self.asked + lease
        return heard._replace(at=self.want, until=until, late=until + late)

    def hear_know(self, know: Decided, boards: VoterSets) -> Leaseholder:
        """Hear of a later epoch; it serves on as it does until that is granted, or its own lease ends."""
        if self.want is not None and know.state.epoch <= self.want.epoch:
            return self
        return self._replace(want=know.state, boards=boards, grants=frozenset())


# Whoever drives a change


class Proposer(NamedTuple):
    """Brings the tier one epoch further; it holds nothing that must outlive it, and any keeper may be one.

    boards: those of the epoch before; wish: the one that it wants; what a keeper has voted for comes first.
    """

    me: int
    boards: VoterSets
    wish: EpochState
    ballot: Ballot = NO_BALLOT
    promises: tuple[Promise, ...] = ()
    value: EpochState | None = None
    votes: frozenset[int] = frozenset()
    decided: EpochState | None = None

    def begin(self, above: int) -> tuple[Proposer, Prepare]:
        """Begin with a ballot above a count that was seen."""
        ballot = (above + 1, self.me)
        begun = self._replace(ballot=ballot, promises=(), value=None, votes=frozenset())
        return begun, Prepare(ballot, self.wish.epoch - 1)

    def hear_promise(self, promise: Promise) -> tuple[Proposer, Accept | None]:
        """Count a promise; with those of a majority it asks for votes."""
        if promise.ballot != self.ballot or self.value is not None:
            return self, None
        if any(one.keeper == promise.keeper for one in self.promises):
            return self, None
        heard = self._replace(promises=(*self.promises, promise))
        if not has_quorum(self.boards, (one.keeper for one in heard.promises)):
            return heard, None
        voted = [one.accepted for one in heard.promises if one.accepted is not None]
        value = max(voted)[1] if voted else self.wish
        return heard._replace(value=value), Accept(self.ballot, value)

    def hear_accepted(self, vote: Accepted) -> tuple[Proposer, Decided | None]:
        """Count a vote; with those of a majority the epoch is decided, and all may know."""
        if vote.ballot != self.ballot or self.decided is not None:
            return self, None
        heard = self._replace(votes=self.votes | {vote.keeper})
        if not has_quorum(self.boards, heard.votes):
            return heard, None
        return heard._replace(decided=vote.state), Decided(vote.state)


def highest_ballot_number(ballots: Iterable[Ballot]) -> int:
    """The largest count among ballots."""
    return max((count for count, _ in ballots), default=0)
