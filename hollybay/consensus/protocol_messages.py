"""Requests and replies of the protocol: leases, ballots, and the state of voters."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .core import Accept, Accepted, EpochState, LeaseGrant, LeaseRequest, Prepare, Promise
from .message_fields import (
    MAX_CULPRITS,
    MAX_REASONS,
    Address,
    ChangeId,
    CulpritReasons,
    Message,
    Nanoseconds,
    Text,
)

__all__ = [
    "AcceptCall",
    "AcceptReply",
    "BlockingLease",
    "DecidedNotice",
    "HistoryEntry",
    "KnowledgeReply",
    "LeaseCall",
    "LeaseReply",
    "PrepareCall",
    "PrepareReply",
]


# Leases


class LeaseCall(
    Message,
    frozen=True,
    rename={"request": "ask", "address": "door", "grace": "late", "cannot_serve_any": "whole"},
):
    """Request of a leaseholder to a voter for a lease.

    Attributes
    ----------
    form : int
        The version of the messages, MESSAGE_VERSION.
    request : LeaseRequest
    name, address : str
        The name and the admin address of the process.
    lease, grace : int
        The duration of the lease as measured by the leaseholder, and of the grace time after it, ns.
    reasons : list of str
        Why the process cannot serve the new policy.
    culprits : dict
        By id, the changes of the batch that it cannot serve, with the reasons, as far as they are known.
    cannot_serve_any : bool
        Whether it could not serve any new policy at present, whatever its content.
    """

    form: int
    request: LeaseRequest
    name: Text
    address: Address
    lease: Nanoseconds
    grace: Nanoseconds
    reasons: Annotated[list[Text], msgspec.Meta(max_length=MAX_REASONS)] = msgspec.field(default_factory=list)
    culprits: Annotated[dict[ChangeId, CulpritReasons], msgspec.Meta(max_length=MAX_CULPRITS)] = (
        msgspec.field(default_factory=dict)
    )
    cannot_serve_any: bool = False


class LeaseReply(Message, frozen=True, rename={"decided": "know"}):
    """Reply to a LeaseCall: a grant, the decided epoch if the request names an earlier one, or neither."""

    grant: LeaseGrant | None = None
    decided: EpochState | None = None


# Ballots


class PrepareCall(Message, frozen=True, rename={"prepare": "call"}):
    """Request of a proposer for a promise."""

    form: int
    prepare: Prepare


class PrepareReply(
    Message, frozen=True, rename={"decided": "know", "decided_epoch": "epoch", "promised_number": "above"}
):
    """Reply to a PrepareCall.

    Attributes
    ----------
    promise : Promise, optional
    decided : EpochState, optional
        A decided epoch later than the one that the proposer builds on.
    decided_epoch : int
        The last epoch that the voter knows to be decided; -1 if none.
    promised_number : int
        The number of the highest ballot that it has promised.
    """

    promise: Promise | None = None
    decided: EpochState | None = None
    decided_epoch: int = -1
    promised_number: int = 0


class AcceptCall(Message, frozen=True, rename={"accept": "call", "source": "by"}):
    """Request of a proposer for a vote. source: the address of a process that has the policies."""

    form: int
    accept: Accept
    source: Address


class BlockingLease(Message, frozen=True, rename={"remaining": "left", "cannot_serve": "no"}):
    """A lease that must end before a voter may vote.

    Attributes
    ----------
    name : str
        The name of the leaseholder.
    process : int
        The number of the leaseholder.
    epoch : int
    remaining : int
        Time until the lease ends, ns.
    cannot_serve : bool
        Whether it blocks the vote because the leaseholder cannot serve the new policy.
    """

    name: str
    process: int
    epoch: int
    remaining: int
    cannot_serve: bool


class AcceptReply(
    Message,
    frozen=True,
    rename={
        "accepted": "vote",
        "decided": "know",
        "decided_epoch": "epoch",
        "promised_number": "above",
        "blocking_leases": "waits",
        "no_vote_for": "quiet",
        "withheld_because": "why",
    },
):
    """Reply to an AcceptCall.

    Attributes
    ----------
    accepted : Accepted, optional
        The vote.
    decided, decided_epoch, promised_number
        As in PrepareReply.
    blocking_leases : list of BlockingLease
        The leases that must end before the voter may vote.
    no_vote_for : int
        How long the voter must not vote because it has restarted, ns.
    withheld_because : str
        A human-readable reason why it does not vote.
    """

    accepted: Accepted | None = None
    decided: EpochState | None = None
    decided_epoch: int = -1
    promised_number: int = 0
    blocking_leases: list[BlockingLease] = msgspec.field(default_factory=list)
    no_vote_for: int = 0
    withheld_because: str = ""


# Decided epochs


class DecidedNotice(Message, frozen=True, rename={"source": "by"}):
    """Notice that an epoch is decided. source: the address of a process that has the policies."""

    form: int
    state: EpochState
    source: Address


class KnowledgeReply(
    Message,
    frozen=True,
    rename={"bootstrapped": "founded", "has_promised": "promised", "decided": "state"},
):
    """What a voter knows, for a voter that has no state.

    Attributes
    ----------
    bootstrapped : bool
        Whether the voter has a state.
    has_promised : bool
        Whether it has promised a ballot since the last decided epoch.
    decided : EpochState, optional
        The last epoch that it knows to be decided.
    accepted : EpochState, optional
        The next epoch that it has voted for.
    """

    bootstrapped: bool
    has_promised: bool = False
    decided: EpochState | None = None
    accepted: EpochState | None = None


class HistoryEntry(Message, frozen=True, rename={"learned_at": "at"}):
    """One epoch in a voter's history, also as stored on disk. learned_at: the voter's wall clock, ms."""

    state: EpochState
    learned_at: int
