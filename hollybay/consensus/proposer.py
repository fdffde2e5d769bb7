"""The proposer of the protocol in `core`, which moves the group to the next epoch. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .core import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Decided,
    EpochState,
    Prepare,
    Promise,
    VoterSets,
    has_quorum,
)

__all__ = ["Proposer", "highest_ballot_number"]


class Proposer(NamedTuple):
    """The state of a proposer; any voter may act as one at any time.

    Attributes
    ----------
    number : int
        The number of the proposing process.
    voter_sets : VoterSets
        The voter sets of the decided epoch.
    proposal : EpochState
        The epoch to propose, unless a voter has already voted for another one.
    ballot : Ballot
        The ballot of the current round.
    promises : tuple of Promise
        The promises received in this round.
    value : EpochState or None
        The epoch that votes are requested for, once a quorum has promised.
    votes : frozenset of int
        The voters that have voted for `value`.
    decided : EpochState or None
        The decided epoch, once a quorum has voted.
    """

    number: int
    voter_sets: VoterSets
    proposal: EpochState
    ballot: Ballot = NO_BALLOT
    promises: tuple[Promise, ...] = ()
    value: EpochState | None = None
    votes: frozenset[int] = frozenset()
    decided: EpochState | None = None

    def begin_ballot(self, highest_number: int) -> tuple[Proposer, Prepare]:
        """Begin a round with a ballot above the highest number that was seen."""
        ballot = (highest_number + 1, self.number)
        begun = self._replace(ballot=ballot, promises=(), value=None, votes=frozenset())
        return begun, Prepare(ballot, self.proposal.epoch - 1)

    def on_promise(self, promise: Promise) -> tuple[Proposer, Accept | None]:
        """Count a promise. Once a quorum has promised, return the request for votes.

        The request is for the epoch of the highest ballot that one of the quorum has voted for, if there is
        one: it may already be decided. Otherwise it is for `proposal`.
        """
        if promise.ballot != self.ballot or self.value is not None:
            return self, None
        if any(counted.voter == promise.voter for counted in self.promises):
            return self, None
        counted = self._replace(promises=(*self.promises, promise))
        if not has_quorum(self.voter_sets, (received.voter for received in counted.promises)):
            return counted, None
        accepted = [received.accepted for received in counted.promises if received.accepted is not None]
        value = max(accepted)[1] if accepted else self.proposal
        return counted._replace(value=value), Accept(self.ballot, value)

    def on_accepted(self, vote: Accepted) -> tuple[Proposer, Decided | None]:
        """Count a vote. Once a quorum has voted, the epoch is decided."""
        if vote.ballot != self.ballot or self.decided is not None:
            return self, None
        counted = self._replace(votes=self.votes | {vote.voter})
        if not has_quorum(self.voter_sets, counted.votes):
            return counted, None
        return counted._replace(decided=vote.state), Decided(vote.state)


def highest_ballot_number(ballots: Iterable[Ballot]) -> int:
    """The highest number among some ballots; 0 if there are none."""
    return max((number for number, _ in ballots), default=0)
