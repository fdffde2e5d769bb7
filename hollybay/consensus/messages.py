"""What processes say to one another at their doors, under /-/policy, as JSON. Pure.

Source of the form: docs/OPERATORS-accord.md. A number that names a keeper or a process is made here: of a
keeper's address, so that all give it the same, and of chance, so that a process that starts again is another.
"""

from __future__ import annotations

import base64
from enum import Enum
from hashlib import blake2b
from typing import Annotated, TypeVar

import msgspec

from hollybay.resources.model import CHANGE_ID_BYTES, Change, Problem
from hollybay.resources.wire import WireError, decode_change, encode_change

from .core import Accept, Accepted, EpochState, LeaseGrant, LeaseRequest, Prepare, Promise
from .policy import Policy, RejectedError, parse

__all__ = [
    "FORM",
    "MAX_CULPRITS",
    "MAX_CULPRIT_REASONS",
    "MOST_CALL",
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
    "unpacked",
]

FORM = 2  # of these words; who speaks another one is told so
# What is larger than one call (deltas, snapshots, operator files, large changes) goes in pieces of so many
# bytes.
PIECE_BYTES = 256 << 10
# The longest call: a piece in base64, and what stands around it.
MOST_CALL = 4 * PIECE_BYTES // 3 + (64 << 10)
MOST_REASONS = 20
MAX_CULPRITS = 64  # changes that a node names in one call
MAX_CULPRIT_REASONS = 3  # why it cannot serve each of them
MOST_OUT = 2000  # servers that one call names

Text = Annotated[str, msgspec.Meta(max_length=400)]
Nanoseconds = Annotated[int, msgspec.Meta(ge=0, le=86_400_000_000_000)]
Door = Annotated[str, msgspec.Meta(max_length=100, pattern=r"^(\[[0-9a-fA-F:.]+\]|[^:\[\]\s]+):[0-9]{1,5}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}$")]
ChangeId = Annotated[str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * CHANGE_ID_BYTES}}}$")]
UploadId = Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{32})?$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^([0-9]{1,12}-[0-9a-f]{12})?$")]
CulpritReasons = Annotated[list[Text], msgspec.Meta(max_length=MAX_CULPRIT_REASONS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]


class _Words(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call or answer."""


class LeaseCall(_Words, frozen=True):
    """A node asks a keeper. lease, late: ns that it counts with; reasons: why it is not able.

    culprits: the changes of the batch that it cannot serve, as far as it knows; whole: it could serve none
    now.
    """

    form: int
    ask: LeaseRequest
    name: Text
    door: Door
    lease: Nanoseconds
    late: Nanoseconds
    reasons: Annotated[list[Text], msgspec.Meta(max_length=MOST_REASONS)] = []
    culprits: Annotated[dict[ChangeId, CulpritReasons], msgspec.Meta(max_length=MAX_CULPRITS)] = {}
    whole: bool = False


class LeaseReply(_Words, frozen=True):
    """The answer: one of the two, or neither."""

    grant: LeaseGrant | None = None
    know: EpochState | None = None


class PrepareCall(_Words, frozen=True):
    """Whoever drives asks for a promise."""

    form: int
    call: Prepare


class PrepareReply(_Words, frozen=True):
    """The answer. epoch: the last that the keeper knows to be decided; above: the ballot that it heeds."""

    promise: Promise | None = None
    know: EpochState | None = None
    epoch: int = -1
    above: int = 0


class AcceptCall(_Words, frozen=True):
    """Whoever drives asks for a vote; by: where the policies are to be had."""

    form: int
    call: Accept
    by: Door


class BlockingLease(_Words, frozen=True):
    """A node whose lease must be over first. left: ns; no: it cannot serve the new policy."""

    name: str
    process: int
    epoch: int
    left: int
    no: bool


class AcceptReply(_Words, frozen=True):
    """The answer. waits: what it waits for; quiet: ns until it may vote at all; why: it cannot, in words."""

    vote: Accepted | None = None
    know: EpochState | None = None
    epoch: int = -1
    above: int = 0
    waits: list[BlockingLease] = []
    quiet: int = 0
    why: str = ""


class DecidedNotice(_Words, frozen=True):
    """Somebody tells what is decided; by: where the policies are to be had."""

    form: int
    state: EpochState
    by: Door


class KnowledgeReply(_Words, frozen=True):
    """What a keeper knows, for one that knows nothing. founded: whether it is a keeper of anything yet;
    promised: whether it has promised anything since the last epoch."""

    founded: bool
    promised: bool = False
    state: EpochState | None = None
    accepted: EpochState | None = None


class BootstrapCall(_Words, frozen=True):
    """An operator begins the tier's accord, with a file or one that was uploaded; or a keeper passes it on.

    policy: the name of the first policy; entry: it itself, where it is short; by: where it is to be had.
    """

    file: str = ""
    upload: UploadId = ""
    policy: Name = ""
    entry: str = ""
    by: Door | None = None


class ProposeCall(_Words, frozen=True):
    """An operator proposes a change of the policy with this digest, alone in its batch.

    file: base64; upload: it was uploaded; out: all servers out; like: as they were after this policy;
    keepers: all of them. None or empty: as they are.
    """

    file: str | None
    parent: Digest
    reason: Text
    author: Text = ""
    out: Annotated[list[Text], msgspec.Meta(max_length=MOST_OUT)] | None = None
    keepers: Annotated[list[Door], msgspec.Meta(max_length=9)] | None = None
    upload: UploadId = ""
    like: Name = ""


class DraftCall(_Words, frozen=True):
    """An operator asks for the change that makes the resources what a file says, or servers be out or in.

    file, upload, like: as in ProposeCall; partial: what the file does not hold stays as it is; out, back_in:
    servers to take out, and to put back; delete: resources to delete, as KIND/NAME.
    """

    reason: Text
    author: Text = ""
    file: str | None = None
    upload: UploadId = ""
    like: Name = ""
    out: Annotated[list[Text], msgspec.Meta(max_length=MOST_OUT)] = []
    back_in: Annotated[list[Text], msgspec.Meta(max_length=MOST_OUT)] = []
    partial: bool = False
    delete: Annotated[list[Text], msgspec.Meta(max_length=MOST_OUT)] = []


class DraftReply(_Words, frozen=True):
    """The answer: the change, made on this policy, and the number of its operations.

    change: base64; empty where nothing differs, or it is too long and to be fetched as draft/DRAFT. lines:
    what it does, for people.
    """

    policy: str
    change: str
    operations: int
    lines: list[str] = []
    draft: str = ""


class ChangeCall(_Words, frozen=True):
    """Somebody proposes a change of resources. change: base64 of its MessagePack; upload: it was uploaded."""

    change: str = ""
    upload: UploadId = ""


class ChangeOutcome(str, Enum):
    """What became of a change, as one keeper knows it."""

    QUEUED = "queued"
    UNDER_WAY = "under way"
    IN_FORCE = "in force"  # decided; some nodes may serve under the policy before yet
    REFUSED = "refused"  # this keeper will not propose it
    UNKNOWN = "unknown"  # it was not proposed here, or that is forgotten: it may be proposed again


class ChangeReply(_Words, frozen=True):
    """The answer to a proposal of a change, and to a question for it.

    policy: the entry that holds it; epoch: in force: since which it is so, or a later one; under way: the one
    that tells it. wait_ms: until it is decided, estimated.
    """

    id: str
    outcome: ChangeOutcome
    policy: str = ""
    epoch: int = 0
    wait_ms: int = 0
    problems: list[Problem] = []


class UploadCall(_Words, frozen=True):
    """One piece of what is too long for one call. id: chosen by who sends it; data: base64; total: bytes."""

    id: UploadId
    total: Count
    offset: Count
    data: str


class Chunk(_Words, frozen=True):
    """One piece of an answer that is too long for one call; name: what it is a piece of; data: base64."""

    name: str
    total: Count
    offset: Count
    data: str


class ProposeReply(_Words, frozen=True):
    """The answer to a proposal that goes on: its name, and the epoch that it begins with."""

    change: str
    epoch: int


class DropCall(_Words, frozen=True):
    """An operator drops a change, or a keeper passes it on."""

    change: str
    passed: bool = False


class HistoryEntry(_Words, frozen=True):
    """One epoch in a keeper's history; at: the keeper's wall clock in ms when it learned of it."""

    state: EpochState
    at: int


_T = TypeVar("_T")


def encode(words: object) -> bytes:
    """As it goes out."""
    return msgspec.json.encode(words)


def decode(data: bytes, kind: type[_T]) -> _T:
    """What came in; RejectedError: it is none of these words."""
    try:
        found: _T = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RejectedError(f"no such words: {error}") from None
    form = getattr(found, "form", FORM)
    if form != FORM:
        raise RejectedError(f"form: {form}, and this build speaks {FORM}")
    for part in (found, getattr(found, "ask", None), getattr(found, "call", None)):
        for state in (getattr(part, "state", None), getattr(part, "know", None)):
            if isinstance(state, EpochState) and not _sane(state):
                raise RejectedError(f"state: {state} is none")
    return found


def _sane(state: EpochState) -> bool:
    """Whether an epoch can be one at all."""
    return state.epoch >= 0 and bool(state.new) == (state.stage != 0) and state.policy != ""


def packed(policy: Policy) -> str:
    """A policy as text."""
    return base64.b64encode(msgspec.msgpack.encode(policy)).decode()


def unpacked(text: str, name: str = "") -> Policy:
    """A policy from its text. RejectedError: it is none, or another than the one of this name."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise RejectedError(f"policy: {error}") from None
    policy = parse(data)
    if name and policy.name != name:
        raise RejectedError(f"policy: its digest says {policy.name}, not {name}")
    return policy


def change_text(change: Change) -> str:
    """A change as text."""
    return base64.b64encode(encode_change(change)).decode()


def change_from(text: str) -> Change:
    """A change from its text. RejectedError: it is none."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise RejectedError(f"change: {error}") from None
    return change_from_bytes(data)


def change_from_bytes(data: bytes) -> Change:
    """A change from its bytes. RejectedError: it is none."""
    try:
        return decode_change(data)
    except WireError as error:
        raise RejectedError(f"change: {error}") from None


def number_of(address: str) -> int:
    """A keeper's number."""
    return int.from_bytes(blake2b(address.encode(), digest_size=6).digest(), "big")
