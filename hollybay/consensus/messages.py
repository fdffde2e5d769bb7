"""The requests and replies that processes exchange under /-/policy, as JSON. No I/O.

The form is described in docs/OPERATORS-accord.md. Where a field has another name on the wire, the class maps
it with `rename`. The protocol's own messages (`core`) are arrays on the wire.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Annotated, TypeVar

import msgspec

from .core import Accept, Accepted, EpochState, LeaseGrant, LeaseRequest, Prepare, Promise, Stage
from .message_fields import (
    FORM,
    MAX_CALL_BYTES,
    MAX_CULPRIT_REASONS,
    MAX_CULPRITS,
    MAX_REASONS,
    PIECE_BYTES,
    Address,
    ChangeId,
    Count,
    CulpritReasons,
    Message,
    Nanoseconds,
    Text,
    UploadId,
)
from .message_values import change_from, change_from_bytes, change_text, packed, unpacked
from .operator_messages import (
    BootstrapCall,
    ChangeCall,
    ChangeOutcome,
    ChangeReply,
    DraftCall,
    DraftReply,
    DropCall,
    ProposeCall,
    ProposeReply,
)
from .policy import RejectedError

__all__ = [
    "FORM",
    "MAX_CALL_BYTES",
    "MAX_CULPRITS",
    "MAX_CULPRIT_REASONS",
    "MAX_REASONS",
    "PIECE_BYTES",
    "AcceptCall",
    "AcceptReply",
    "BlockingLease",
    "BootstrapCall",
    "ChangeCall",
    "ChangeOutcome",
    "ChangeReply",
    "Chunk",
    "DecidedNotice",
    "DraftCall",
    "DraftReply",
    "DropCall",
    "HistoryEntry",
    "KnowledgeReply",
    "LeaseCall",
    "LeaseReply",
    "PrepareCall",
    "PrepareReply",
    "ProposeCall",
    "ProposeReply",
    "UploadCall",
    "change_from",
    "change_from_bytes",
    "change_text",
    "decode",
    "encode",
    "number_of",
    "packed",
    "stage_label",
    "unpacked",
]

# The published names of the stages.
_STAGE_LABELS = {Stage.SETTLED: "SETTLED", Stage.PREPARE: "PREPARE", Stage.JOINT: "NARROW"}


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
        The version of the messages, FORM.
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


# Pieces of what is too long for one request


class UploadCall(Message, frozen=True):
    """One piece of an upload. id: chosen by the sender; total, offset: bytes; data: base64."""

    id: UploadId
    total: Count
    offset: Count
    data: str


class Chunk(Message, frozen=True):
    """One piece of a long reply. name: what it is a piece of; total, offset: bytes; data: base64."""

    name: str
    total: Count
    offset: Count
    data: str


_T = TypeVar("_T")


def encode(message: object) -> bytes:
    """A message as it is sent."""
    return msgspec.json.encode(message)


def decode(data: bytes, kind: type[_T]) -> _T:
    """A message of a kind that was received.

    Raises
    ------
    RejectedError
        It is none, of another version, or names an epoch that cannot be.
    """
    try:
        found: _T = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RejectedError(f"no such words: {error}") from None
    form = getattr(found, "form", FORM)
    if form != FORM:
        raise RejectedError(f"form: {form}, and this build speaks {FORM}")
    for state in _received_states(found):
        if not _is_well_formed(state):
            raise RejectedError(f"state: {_shown(state)} is none")
    return found


def _received_states(message: object) -> list[EpochState]:
    """The epochs that a message names, but for those in promises and votes, which only repeat sent ones."""
    candidates: list[EpochState | None] = []
    match message:
        case DecidedNotice() | HistoryEntry():
            candidates.append(message.state)
        case LeaseCall():
            candidates.append(message.request.state)
        case AcceptCall():
            candidates.append(message.accept.state)
        case LeaseReply() | PrepareReply() | AcceptReply() | KnowledgeReply():
            candidates.append(message.decided)
    return [state for state in candidates if state is not None]


def _is_well_formed(state: EpochState) -> bool:
    """Whether an epoch can be one at all."""
    return state.epoch >= 0 and bool(state.new) == (state.stage is not Stage.SETTLED) and state.policy != ""


def stage_label(stage: Stage) -> str:
    """The published name of a stage, in status, history and logs."""
    return _STAGE_LABELS[stage]


def _shown(state: EpochState) -> str:
    """An epoch in the text of a rejection."""
    stage = f"<Stage.{stage_label(state.stage)}: {state.stage.value}>"
    return f"EpochState(epoch={state.epoch}, stage={stage}, policy={state.policy!r}, new={state.new!r})"


def number_of(address: str) -> int:
    """The number of a voter, the same at all processes; made of its address."""
    return int.from_bytes(blake2b(address.encode(), digest_size=6).digest(), "big")
