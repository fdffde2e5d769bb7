"""Requests and replies of the protocol: leases, ballots, and what a voter knows."""

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
    """A leaseholder requests a lease of a voter.

    Attributes
    ----------
    form : int
        The version of the messages, MESSAGE_VERSION.
    request : LeaseRequest
    name, address : str
        The name of the process, and where it is called.
    lease, grace : int
        How long it counts the lease, and the grace time after it, ns.
    reasons : list of str
        Why it cannot serve the new policy.
    culprits : dict
        The reasons by the ids of the changes of the batch that it cannot serve, as far as it knows.
    cannot_serve_any : bool
        Whether it could serve no new policy now, whatever that holds.
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
    """The reply: a grant, or the epoch that is decided, or neither."""

    grant: LeaseGrant | None = None
    decided: EpochState | None = None


# Ballots


class PrepareCall(Message, frozen=True, rename={"prepare": "call"}):
    """A proposer asks for a promise."""

    form: int
    prepare: Prepare


class PrepareReply(
    Message, frozen=True, rename={"decided": "know", "decided_epoch": "epoch", "promised_number": "above"}
):
    """The reply.

    Attributes
    ----------
    promise : Promise, optional
    decided : EpochState, optional
        A later epoch that is decided.
    decided_epoch : int
        The last epoch that the voter knows to be decided; -1: none.
    promised_number : int
        The number of the ballot that it has promised.
    """

    promise: Promise | None = None
    decided: EpochState | None = None
    decided_epoch: int = -1
    promised_number: int = 0


class AcceptCall(Message, frozen=True, rename={"accept": "call", "source": "by"}):
    """A proposer asks for a vote. source: the address of a process that has the policies."""

    form: int
    accept: Accept
    source: Address


class BlockingLease(Message, frozen=True, rename={"remaining": "left", "cannot_serve": "no"}):
    """A lease that must end before a voter may vote.

    Attributes
    ----------
    name : str
        The name of its holder.
    process : int
        The holder's number.
    epoch : int
    remaining : int
        Until it ends, ns.
    cannot_serve : bool
        Whether it blocks because its holder cannot serve the new policy.
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
    """The reply.

    Attributes
    ----------
    accepted : Accepted, optional
        The vote.
    decided, decided_epoch, promised_number
        As in PrepareReply.
    blocking_leases : list of BlockingLease
        The leases that must end before it may vote.
    no_vote_for : int
        For how long it may vote for nothing, as it has restarted, ns.
    withheld_because : str
        Why it does not vote, for people.
    """

    accepted: Accepted | None = None
    decided: EpochState | None = None
    decided_epoch: int = -1
    promised_number: int = 0
    blocking_leases: list[BlockingLease] = msgspec.field(default_factory=list)
    no_vote_for: int = 0
    withheld_because: str = ""


# Knowledge


class DecidedNotice(Message, frozen=True, rename={"source": "by"}):
    """An epoch is decided. source: the address of a process that has the policies."""

    form: int
    state: EpochState
    source: Address


class KnowledgeReply(
    Message,
    frozen=True,
    rename={"bootstrapped": "founded", "has_promised": "promised", "decided": "state"},
):
    """What a voter knows, for one that knows nothing.

    Attributes
    ----------
    bootstrapped : bool
        Whether it has begun at all.
    has_promised : bool
        Whether it has promised any ballot since the last epoch.
    decided : EpochState, optional
        The last epoch that it knows to be decided.
    accepted : EpochState, optional
        The epoch that it has voted for after that one.
    """

    bootstrapped: bool
    has_promised: bool = False
    decided: EpochState | None = None
    accepted: EpochState | None = None


class HistoryEntry(Message, frozen=True, rename={"learned_at": "at"}):
    """One epoch in a voter's history; also on its disk. learned_at: its wall clock when it learned it, ms."""

    state: EpochState
    learned_at: int
