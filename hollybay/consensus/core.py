"""The protocol by which a group of processes changes the policy it serves under: epochs and messages.

The group goes through numbered *epochs*. Each epoch is decided by a quorum of *voters* and names the policies
that requests are served under. `SUCCESSORS` is the state machine:

    SETTLED(p) -> PREPARE(p, q) -> JOINT(p, q) -> SETTLED(q)      in force: p | p | p and q | q
                        |               |
                        +---------------+-------> SETTLED(p)      the change was aborted

In the joint stage both policies apply, as in joint consensus: a request is served only if
both allow it. SETTLED(p) and SETTLED(q) are therefore two epochs apart.

Roles
-----
Acceptor (`acceptor`)
    A voter. It takes part in one single-decree Paxos instance for each epoch and grants leases.
Leaseholder (`leaseholder`)
    A process that serves requests. It serves under an epoch while it holds a lease on it from a quorum. The
    duration of a lease is measured from before the lease was requested; the lease is checked when each
    request begins.
Proposer (`proposer`)
    A voter that moves the group to the next epoch. It has no durable state.

Safety
------
1. An acceptor votes for epoch e + 1 only when every lease that it granted on an epoch before e has ended, and
   grants none on an epoch before e once it knows that e is decided. The quorum of a lease and the quorum of a
   decision share an acceptor, so when e + 1 is decided no process serves under an epoch before e. Only e
   and e + 1 are ever served at the same time, and their effective policies always have one in common.
2. A leaseholder states with its request for a lease on PREPARE whether it could serve the new policy. The
   holder of such a lease has therefore told a quorum. An acceptor that was told "no" does not vote for JOINT
   until that lease has ended, and an acceptor that has voted for JOINT grants no lease on PREPARE to a
   leaseholder that says "no".
3. A policy names its voters. Leases on an epoch, and votes for the epoch after it, take a majority of the
   voter set of each policy that the epoch names. Two epochs that must not overlap therefore share an acceptor
   also when the voters change.
4. A leaseholder may be granted a grace time after its lease, in which it serves under the intersection of the
   policies that its epoch names. During that time acceptors vote only for epochs of which at least one
   effective policy is among these.

Nothing here performs I/O. All states are immutable values: a method takes an event and returns the next
state with the reply, so that the same code runs in production and in the model check (`model_check`). A
leaseholder stands for one process: a restarted process, or a second one that uses the same number, is
another leaseholder.

All times are in ns, on a clock that also advances while a process is stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "SUCCESSORS",
    "Accept",
    "Accepted",
    "Ballot",
    "Decided",
    "EpochState",
    "LeaseGrant",
    "LeaseRequest",
    "Prepare",
    "Promise",
    "Stage",
    "VoterSets",
    "effective_policies",
    "has_quorum",
    "is_valid_successor",
    "policies_named",
]

# A round number and the number of the proposer, so that no two proposers use the same ballot.
Ballot = tuple[int, int]
# The voters of each policy that an epoch names.
VoterSets = tuple[frozenset[int], ...]
NO_BALLOT: Ballot = (0, 0)


# Epochs and their order


class Stage(IntEnum):
    """The stage of a policy change. The values are used on the wire and on disk."""

    SETTLED = 0
    PREPARE = 1
    JOINT = 2


class EpochState(NamedTuple):
    """One epoch.

    Attributes
    ----------
    epoch : int
        The number of the epoch.
    stage : Stage
    policy : str
        The name of the policy that the change starts from.
    new : str
        The name of the proposed policy; empty if the stage is SETTLED.
    """

    epoch: int
    stage: Stage
    policy: str
    new: str = ""


def _proposes(old: EpochState, new: EpochState) -> bool:
    return new.policy == old.policy != new.new


def _continues(old: EpochState, new: EpochState) -> bool:
    return (new.policy, new.new) == (old.policy, old.new)


def _aborts(old: EpochState, new: EpochState) -> bool:
    return new.policy == old.policy


def _commits(old: EpochState, new: EpochState) -> bool:
    return new.policy == old.new


_Rule = Callable[[EpochState, EpochState], bool]

# The stages that may follow each stage; the policies of both epochs must satisfy at least one of the rules.
SUCCESSORS: Mapping[Stage, Mapping[Stage, tuple[_Rule, ...]]] = {
    Stage.SETTLED: {Stage.PREPARE: (_proposes,)},
    Stage.PREPARE: {Stage.JOINT: (_continues,), Stage.SETTLED: (_aborts,)},
    Stage.JOINT: {Stage.SETTLED: (_aborts, _commits)},
}


def is_valid_successor(old: EpochState, new: EpochState) -> bool:
    """Whether `SUCCESSORS` allows an epoch to follow another one directly."""
    if new.epoch != old.epoch + 1 or bool(new.new) != (new.stage is not Stage.SETTLED):
        return False
    return any(rule(old, new) for rule in SUCCESSORS[old.stage].get(new.stage, ()))


def effective_policies(state: EpochState) -> tuple[str, ...]:
    """The policies in force in an epoch; a request is served only if all of them allow it."""
    return (state.policy, state.new) if state.stage is Stage.JOINT else (state.policy,)


def policies_named(state: EpochState) -> tuple[str, ...]:
    """All policies that an epoch names, in force or not."""
    return (state.policy, state.new) if state.new else (state.policy,)


def has_quorum(voter_sets: VoterSets, voters: Iterable[int]) -> bool:
    """Whether these voters are a majority of each voter set; False if there is no voter set."""
    present = frozenset(voters)
    return bool(voter_sets) and all(2 * len(present & members) > len(members) for members in voter_sets)


# Protocol messages


class LeaseRequest(NamedTuple):
    """Request of a leaseholder for a lease on the latest epoch that it knows.

    Attributes
    ----------
    node : int
        The leaseholder's number.
    round_number : int
        The number of the round of requests.
    state : EpochState or None
        The epoch; None if the leaseholder knows none.
    serving_epoch : int
        The epoch that it serves under; -1 if there is none. It never serves under an earlier one again.
    can_serve_new : bool
        Whether it could serve the new policy, if there is one.
    """

    node: int
    round_number: int
    state: EpochState | None
    serving_epoch: int
    can_serve_new: bool


class LeaseGrant(NamedTuple):
    """Grant by a voter of the lease that was requested in a round."""

    voter: int
    round_number: int
    epoch: int


class Decided(NamedTuple):
    """Notice that an epoch is decided, for a peer that knows only earlier epochs."""

    state: EpochState


class Prepare(NamedTuple):
    """Request of a proposer for a promise to accept no lower ballot for the epoch after `epoch`."""

    ballot: Ballot
    epoch: int


class Promise(NamedTuple):
    """Promise of a voter. accepted: the ballot and epoch that it has already voted for, if any."""

    voter: int
    ballot: Ballot
    epoch: int
    accepted: tuple[Ballot, EpochState] | None


class Accept(NamedTuple):
    """Request of a proposer for votes for an epoch."""

    ballot: Ballot
    state: EpochState


class Accepted(NamedTuple):
    """Vote of a voter for an epoch; it is on the voter's disk before it is sent."""

    voter: int
    ballot: Ballot
    state: EpochState
