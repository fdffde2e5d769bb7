"""The proposer of the protocol in `core`: it brings the group one epoch further. No I/O."""

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
    """Brings the group one epoch further; any voter may be one at any time.

    Attributes
    ----------
    number : int
        Its own number.
    voter_sets : VoterSets
        Those of the epoch before.
    proposal : EpochState
        The epoch that it proposes; one that a voter has voted for takes its place.
    ballot : Ballot
        The ballot of the present round.
    promises : tuple of Promise
        Those of this round.
    value : EpochState or None
        The epoch that it asks votes for, once a quorum has promised.
    votes : frozenset of int
        The voters that have voted for it.
    decided : EpochState or None
        The epoch, once a quorum has voted.
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
        """Begin a round, with a ballot above a number that was seen."""
        ballot = (highest_number + 1, self.number)
        begun = self._replace(ballot=ballot, promises=(), value=None, votes=frozenset())
        return begun, Prepare(ballot, self.proposal.epoch - 1)

    def on_promise(self, promise: Promise) -> tuple[Proposer, Accept | None]:
        """Count a promise; with those of a quorum it asks for votes."""
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
        """Count a vote; with those of a quorum the epoch is decided."""
        if vote.ballot != self.ballot or self.decided is not None:
            return self, None
        counted = self._replace(votes=self.votes | {vote.voter})
        if not has_quorum(self.voter_sets, counted.votes):
            return counted, None
        return counted._replace(decided=vote.state), Decided(vote.state)


def highest_ballot_number(ballots: Iterable[Ballot]) -> int:
    """The highest number among ballots; 0 where there is none."""
    return max((number for number, _ in ballots), default=0)
