"""What processes say to one another at their doors, under /-/policy, as JSON. Pure.

Source of the form: docs/OPERATORS-accord.md. A number that names a keeper or a process is made here: of a
keeper's address, so that all give it the same, and of chance, so that a process that starts again is another.
"""

from __future__ import annotations

import base64
from hashlib import blake2b
from typing import Annotated, TypeVar

import msgspec

from .core import Accept, Accepted, Ask, Grant, Prepare, Promise, State
from .policy import MOST_BYTES, Policy, Refused, parse

__all__ = [
    "FORM", "MOST_CALL", "Accepting", "Asking", "Changed", "Dropping", "Entry", "Founding", "Granting",
    "Knowing", "Preparing", "Promising", "Proposing", "Telling", "Voting", "Waiting", "decode", "encode",
    "number_of", "packed", "unpacked",
]  # fmt: skip

FORM = 1  # of these words; who speaks another one is told so
# The longest call: a policy, and what stands around it.
MOST_CALL = 4 * MOST_BYTES // 3 + (64 << 10)
MOST_REASONS = 20

Text = Annotated[str, msgspec.Meta(max_length=400)]
Nanoseconds = Annotated[int, msgspec.Meta(ge=0, le=86_400_000_000_000)]
Door = Annotated[str, msgspec.Meta(max_length=100, pattern=r"^(\[[0-9a-fA-F:.]+\]|[^:\[\]\s]+):[0-9]{1,5}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}$")]


class _Words(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call or answer."""


class Asking(_Words, frozen=True):
    """A node asks a keeper. lease, late: ns that it counts with; reasons: why it is not able."""

    form: int
    ask: Ask
    name: Text
    door: Door
    lease: Nanoseconds
    late: Nanoseconds
    reasons: Annotated[list[Text], msgspec.Meta(max_length=MOST_REASONS)] = []


class Granting(_Words, frozen=True):
    """The answer: one of the two, or neither."""

    grant: Grant | None = None
    know: State | None = None


class Preparing(_Words, frozen=True):
    """Whoever drives asks for a promise."""

    form: int
    call: Prepare


class Promising(_Words, frozen=True):
    """The answer. epoch: the last that the keeper knows to be decided; above: the ballot that it heeds."""

    promise: Promise | None = None
    know: State | None = None
    epoch: int = -1
    above: int = 0


class Accepting(_Words, frozen=True):
    """Whoever drives asks for a vote; by: where the policies are to be had."""

    form: int
    call: Accept
    by: Door


class Waiting(_Words, frozen=True):
    """A node whose lease must be over first. left: ns; no: it cannot serve the new policy."""

    name: str
    process: int
    epoch: int
    left: int
    no: bool


class Voting(_Words, frozen=True):
    """The answer. waits: what it waits for; quiet: ns until it may vote at all; why: it cannot, in words."""

    vote: Accepted | None = None
    know: State | None = None
    epoch: int = -1
    above: int = 0
    waits: list[Waiting] = []
    quiet: int = 0
    why: str = ""


class Knowing(_Words, frozen=True):
    """Somebody tells what is decided; by: where the policies are to be had."""

    form: int
    state: State
    by: Door


class Telling(_Words, frozen=True):
    """What a keeper knows, for one that knows nothing. founded: whether it is a keeper of anything yet;
    promised: whether it has promised anything since the last epoch."""

    founded: bool
    promised: bool = False
    state: State | None = None
    accepted: State | None = None


class Founding(_Words, frozen=True):
    """An operator begins the tier's accord; or a keeper passes it on, with the policy."""

    file: str = ""
    policy: str = ""


class Proposing(_Words, frozen=True):
    """An operator proposes a change. file: base64; out, keepers: None: as they are."""

    file: str | None
    parent: Digest
    reason: Text
    author: Text = ""
    out: Annotated[list[Text], msgspec.Meta(max_length=2000)] | None = None
    keepers: Annotated[list[Door], msgspec.Meta(max_length=9)] | None = None


class Changed(_Words, frozen=True):
    """The answer to a proposal that goes on: its name, and the epoch that it begins with."""

    change: str
    epoch: int


class Dropping(_Words, frozen=True):
    """An operator drops a change, or a keeper passes it on."""

    change: str
    passed: bool = False


class Entry(_Words, frozen=True):
    """One epoch in a keeper's history; at: the keeper's wall clock in ms when it learned of it."""

    state: State
    at: int


_T = TypeVar("_T")


def encode(words: object) -> bytes:
    """As it goes out."""
    return msgspec.json.encode(words)


def decode(data: bytes, kind: type[_T]) -> _T:
    """What came in; Refused: it is none of these words."""
    try:
        found: _T = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise Refused(f"no such words: {error}") from None
    form = getattr(found, "form", FORM)
    if form != FORM:
        raise Refused(f"form: {form}, and this build speaks {FORM}")
    for part in (found, getattr(found, "ask", None), getattr(found, "call", None)):
        for state in (getattr(part, "state", None), getattr(part, "know", None)):
            if isinstance(state, State) and not _sane(state):
                raise Refused(f"state: {state} is none")
    return found


def _sane(state: State) -> bool:
    """Whether an epoch can be one at all."""
    return state.epoch >= 0 and bool(state.new) == (state.stage != 0) and state.policy != ""


def packed(policy: Policy) -> str:
    """A policy as text."""
    return base64.b64encode(msgspec.msgpack.encode(policy)).decode()


def unpacked(text: str, name: str = "") -> Policy:
    """A policy from its text. Refused: it is none, or another than the one of this name."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise Refused(f"policy: {error}") from None
    policy = parse(data)
    if name and policy.name != name:
        raise Refused(f"policy: its digest says {policy.name}, not {name}")
    return policy


def number_of(address: str) -> int:
    """A keeper's number."""
    return int.from_bytes(blake2b(address.encode(), digest_size=6).digest(), "big")
