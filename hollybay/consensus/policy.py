"""A policy: one entry of the replicated log, which is a batch of resource changes and who decides the next
one. Pure.

Each entry holds the digest of the entry before it (a hash chain) and the digests of the resources on its two
sides. Two policies are the same if their digests are: BLAKE2b over everything, with the changes by a digest
of their own, so that an entry is verified also where its changes are not at hand (it came with a snapshot).
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cached_property
from hashlib import blake2b

import msgspec

from hollybay.resources.batch import MAX_BATCH_CHANGES, Batch, assemble
from hollybay.resources.digest import DIGEST_BYTES
from hollybay.resources.model import Change, ChangeRefused, Key
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.resources.wire import MAX_BATCH_BYTES

__all__ = [
    "FIRST",
    "MAX_ENTRY_BYTES",
    "MAX_TEXT_LENGTH",
    "Policy",
    "RejectedError",
    "changed_keys",
    "first",
    "parse",
    "successor",
    "version_of",
]

# The longest reason, author and keeper, in characters.
MAX_TEXT_LENGTH = 400
# The longest entry as encoded: a batch, and what stands around it.
MAX_ENTRY_BYTES = MAX_BATCH_BYTES + (64 << 10)
BOARDS = (1, 3, 5)  # keepers that there may be: with an even number one more may fail no more


class RejectedError(ValueError):
    """It is no policy, or none that may follow; the text says why, and names the field."""


class Policy(msgspec.Struct, frozen=True, dict=True, array_like=True):
    """One entry of the log.

    version: 1 for the first, one more for each that follows; it is the revision of the resources after it.
    parent: the digest of the entry before it. before, after: the digests of the resources on its two sides.
    content: the digest of the changes. changes: None where they are not at hand.
    """

    version: int
    parent: bytes
    before: bytes
    after: bytes
    content: bytes
    reason: str
    author: str
    keepers: tuple[str, ...] = ()  # the board: where those who decide are called, in order
    changes: tuple[Change, ...] | None = None

    @cached_property
    def digest(self) -> bytes:
        """What it is known by, 32 bytes."""
        parts = (
            b"%d" % self.version,
            self.parent,
            self.before,
            self.after,
            self.content,
            self.reason.encode(),
            self.author.encode(),
            *(b"%d" % len(self.keepers), *(keeper.encode() for keeper in self.keepers)),
        )
        whole = blake2b(digest_size=DIGEST_BYTES, person=b"hollybay.policy")
        for part in parts:
            # Each with its length, or two policies could run together into the same bytes.
            whole.update(len(part).to_bytes(8, "big"))
            whole.update(part)
        return whole.digest()

    @cached_property
    def name(self) -> str:
        """Version and the digest's first figures, for people."""
        return f"{self.version}-{self.digest.hex()[:12]}"

    @property
    def parent_name(self) -> str:
        """The name of the entry before it; empty for the first."""
        return f"{self.version - 1}-{self.parent.hex()[:12]}" if self.version > 1 else ""

    @property
    def batch(self) -> Batch:
        """Its changes as a batch. RejectedError: they are not at hand."""
        if self.changes is None:
            raise RejectedError(f"changes: those of {self.name} are not at hand")
        return Batch(self.version, self.before, self.changes, self.after)

    def without_changes(self) -> Policy:
        """The same policy, without its changes."""
        return self if self.changes is None else msgspec.structs.replace(self, changes=None)


def version_of(name: str) -> int:
    """The version of a policy, by its name."""
    return int(name.partition("-")[0])


def changed_keys(changes: Iterable[Change]) -> frozenset[Key]:
    """The resources that changes touch."""
    return frozenset(operation.key for change in changes for operation in change.operations)


def _content(changes: tuple[Change, ...]) -> bytes:
    return blake2b(
        msgspec.msgpack.encode(changes), digest_size=DIGEST_BYTES, person=b"hollybay.changes"
    ).digest()


def _checked(policy: Policy) -> Policy:
    """The policy, where each field is within its bounds; RejectedError names the one that is not."""
    if policy.version < 1:
        raise RejectedError(f"version: {policy.version} is under 1")
    if len(policy.parent) != (DIGEST_BYTES if policy.version > 1 else 0):
        raise RejectedError(f"parent: {len(policy.parent)} bytes are no digest")
    for field in ("before", "after", "content"):
        if len(getattr(policy, field)) != DIGEST_BYTES:
            raise RejectedError(f"{field}: {len(getattr(policy, field))} bytes are no digest")
    if policy.version == 1 and policy.before != EMPTY.digest:
        raise RejectedError("before: the first entry begins with no resources")
    if policy.keepers and len(policy.keepers) not in BOARDS:
        raise RejectedError(f"keepers: {len(policy.keepers)}, and there may be {', '.join(map(str, BOARDS))}")
    if list(policy.keepers) != sorted(set(policy.keepers)):
        raise RejectedError("keepers: not in order, or one stands twice")
    for field, text in (
        ("reason", policy.reason),
        ("author", policy.author),
        *(("keepers", k) for k in policy.keepers),
    ):
        if len(text) > MAX_TEXT_LENGTH or not text.isprintable():
            raise RejectedError(f"{field}: {text[:40]!r} is too long, or no plain text")
        try:
            text.encode()
        except UnicodeEncodeError:
            raise RejectedError(f"{field}: {text[:40]!r} is no plain text") from None
    if policy.changes is not None and len(policy.changes) > MAX_BATCH_CHANGES:
        raise RejectedError(f"changes: {len(policy.changes)}, {MAX_BATCH_CHANGES} at most")
    if policy.changes is not None and _content(policy.changes) != policy.content:
        raise RejectedError("content: it is not the digest of the changes")
    return policy


def first(changes: Iterable[Change] = (), keepers: Iterable[str] = ()) -> Policy:
    """The policy that a tier begins with. RejectedError: a change does not fit, or something is out of
    bounds.
    """
    return _entry(None, EMPTY, changes, "first", "", tuple(sorted(keepers)))[0]


def successor(
    old: Policy,
    state: ResourceState,
    changes: Iterable[Change],
    keepers: Iterable[str] | None = None,
    reason: str | None = None,
    author: str = "",
) -> tuple[Policy, ResourceState]:
    """The policy that follows another, and the resources after it. state: those of the old one.

    keepers None: the same. reason None: the one of the change, where it is a single one. RejectedError: a
    change does not fit, nothing changes, or more keepers change than one at a time.
    """
    taken = tuple(changes)
    board = old.keepers if keepers is None else tuple(sorted(keepers))
    if not taken and board == old.keepers:
        raise RejectedError(f"changes: says the same as {old.name}")
    come, gone = set(board) - set(old.keepers), set(old.keepers) - set(board)
    # One for another, or one more and one for the number to be odd; else the new ones could outvote the old
    # before they know anything.
    if old.keepers and len(come) + len(gone) > 2:
        raise RejectedError(
            f"keepers: {len(come)} come and {len(gone)} go; one at a time may be replaced, or two added"
        )
    if old.keepers and not board:
        raise RejectedError("keepers: none")
    if reason is None:
        reason, author = _shown(taken)
    if not reason.strip():
        raise RejectedError("reason: missing")
    return _entry(old, state, taken, reason, author, board)


def _shown(changes: tuple[Change, ...]) -> tuple[str, str]:
    """The reason and the author that an entry with these changes shows."""
    if len(changes) == 1:
        return changes[0].reason, changes[0].author
    return f"{len(changes)} changes", ""


def _entry(
    old: Policy | None,
    state: ResourceState,
    changes: Iterable[Change],
    reason: str,
    author: str,
    keepers: tuple[str, ...],
) -> tuple[Policy, ResourceState]:
    try:
        assembled = assemble(state, changes)
    except ChangeRefused as error:
        raise RejectedError(str(error)) from None
    if assembled.refused:
        raise RejectedError("; ".join(str(error) for _, error in assembled.refused))
    batch = assembled.batch
    policy = Policy(
        batch.revision,
        old.digest if old is not None else b"",
        batch.before,
        batch.after,
        _content(batch.changes),
        reason,
        author,
        keepers,
        batch.changes,
    )
    return _checked(policy), assembled.state


FIRST = first()


def parse(data: bytes) -> Policy:
    """A policy from its MessagePack form; RejectedError: it is none."""
    if len(data) > MAX_ENTRY_BYTES:
        raise RejectedError(f"no policy: {len(data)} bytes, {MAX_ENTRY_BYTES} at most")
    try:
        return _checked(msgspec.msgpack.decode(data, type=Policy))
    except (msgspec.DecodeError, RecursionError) as error:
        raise RejectedError(f"no policy: {error}") from None
