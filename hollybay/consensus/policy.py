"""A version of the policy: one entry of the replicated log, as it is stored and sent. Pure.

An entry holds a batch of resource changes and the addresses of the voters that decide the next entry. The
data plane compiles the resources into the `hollybay.routing.compiled_policy.CompiledPolicy` that requests are
served under.

Each entry holds the digest of its predecessor (a hash chain) and the digests of the resources before and
after it. Two policies are equal if their digests are equal. The digest is BLAKE2b over all fields; the
changes enter it by a digest of their own, so that an entry that came with a snapshot can be verified without
them.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cached_property
from hashlib import blake2b

import msgspec

from hollybay.resources.batch import MAX_BATCH_CHANGES, Batch, assemble
from hollybay.resources.digest import DIGEST_BYTES
from hollybay.resources.model import Change, ChangeRejectedError, Key
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.resources.wire import MAX_BATCH_BYTES

from .errors import MalformedDataError, RejectedError

__all__ = [
    "FIRST_POLICY",
    "MAX_ENTRY_BYTES",
    "MAX_TEXT_LENGTH",
    "PolicyVersion",
    "changed_keys",
    "decode_policy",
    "first_policy",
    "successor_policy",
    "version_of",
]

# The longest reason, author and voter address, in characters.
MAX_TEXT_LENGTH = 400
# The longest encoded entry, in bytes: a batch and 64 KiB for the other fields.
MAX_ENTRY_BYTES = MAX_BATCH_BYTES + (64 << 10)
# Permitted numbers of voters. Even numbers are excluded: they tolerate no more failures than one voter fewer.
VOTER_COUNTS = (1, 3, 5)


class PolicyVersion(msgspec.Struct, frozen=True, dict=True, array_like=True):
    """One version of the policy, an entry of the log.

    Encoded as an array: the order of the fields is fixed.

    Parameters
    ----------
    version
        1 for the first entry, then increasing by one; also the revision of the resources after the entry.
    parent
        Digest of the previous entry; empty for the first one.
    before, after
        Digests of the resources before and after the entry.
    changes_digest
        Digest of the changes.
    reason, author
        Shown in the history.
    voters
        Addresses of the voters that decide the next entry, sorted.
    changes
        The batch; None if it is not loaded.
    """

    version: int
    parent: bytes
    before: bytes
    after: bytes
    changes_digest: bytes
    reason: str
    author: str
    voters: tuple[str, ...] = ()
    changes: tuple[Change, ...] | None = None

    @cached_property
    def digest(self) -> bytes:
        """The digest that identifies the entry, 32 bytes."""
        parts = (
            b"%d" % self.version,
            self.parent,
            self.before,
            self.after,
            self.changes_digest,
            self.reason.encode(),
            self.author.encode(),
            b"%d" % len(self.voters),
            *(voter.encode() for voter in self.voters),
        )
        hasher = blake2b(digest_size=DIGEST_BYTES, person=b"hollybay.policy")
        for part in parts:
            # Each part is prefixed with its length, so that different policies never hash the same bytes.
            hasher.update(len(part).to_bytes(8, "big"))
            hasher.update(part)
        return hasher.digest()

    @cached_property
    def name(self) -> str:
        """Short name: the version and the first 12 hex digits of the digest."""
        return f"{self.version}-{self.digest.hex()[:12]}"

    @property
    def parent_name(self) -> str:
        """The name of the previous entry; empty for the first one."""
        return f"{self.version - 1}-{self.parent.hex()[:12]}" if self.version > 1 else ""

    @property
    def batch(self) -> Batch:
        """The changes as a batch.

        Raises
        ------
        RejectedError
            The changes are not loaded.
        """
        if self.changes is None:
            raise RejectedError(f"changes: those of {self.name} are not loaded")
        return Batch(self.version, self.before, self.changes, self.after)

    def without_changes(self) -> PolicyVersion:
        """The same policy, without its changes."""
        return self if self.changes is None else msgspec.structs.replace(self, changes=None)


def version_of(name: str) -> int:
    """The version in the name of a policy."""
    return int(name.partition("-")[0])


def changed_keys(changes: Iterable[Change]) -> frozenset[Key]:
    """The keys of the resources that the changes modify."""
    return frozenset(operation.key for change in changes for operation in change.operations)


def _digest_of_changes(changes: tuple[Change, ...]) -> bytes:
    encoded = msgspec.msgpack.encode(changes)
    return blake2b(encoded, digest_size=DIGEST_BYTES, person=b"hollybay.changes").digest()


def _validated(policy: PolicyVersion) -> PolicyVersion:
    """Return the policy if all fields are within bounds; otherwise raise RejectedError with the field."""
    _check_digests(policy)
    _check_voters(policy.voters)
    _check_text("reason", policy.reason)
    _check_text("author", policy.author)
    for voter in policy.voters:
        _check_text("keepers", voter)
    _check_changes(policy)
    return policy


def _check_digests(policy: PolicyVersion) -> None:
    if policy.version < 1:
        raise RejectedError(f"version: {policy.version}, expected 1 or more")
    if len(policy.parent) != (DIGEST_BYTES if policy.version > 1 else 0):
        raise RejectedError(f"parent: {len(policy.parent)} bytes, expected {DIGEST_BYTES} (version 1: 0)")
    for field, digest in (
        ("before", policy.before),
        ("after", policy.after),
        ("content", policy.changes_digest),
    ):
        if len(digest) != DIGEST_BYTES:
            raise RejectedError(f"{field}: {len(digest)} bytes, expected a digest of {DIGEST_BYTES}")
    if policy.version == 1 and policy.before != EMPTY.digest:
        raise RejectedError("before: version 1 must begin with the digest of no resources")


def _check_voters(voters: tuple[str, ...]) -> None:
    if voters and len(voters) not in VOTER_COUNTS:
        counts = ", ".join(map(str, VOTER_COUNTS))
        raise RejectedError(f"keepers: {len(voters)} voters, expected {counts}")
    if list(voters) != sorted(set(voters)):
        raise RejectedError("keepers: the voters are not sorted, or one is repeated")


def _check_text(field: str, text: str) -> None:
    if len(text) > MAX_TEXT_LENGTH or not text.isprintable():
        raise RejectedError(f"{field}: {text[:40]!r} is over {MAX_TEXT_LENGTH} characters or not printable")
    try:
        text.encode()
    except UnicodeEncodeError:
        raise RejectedError(f"{field}: {text[:40]!r} cannot be encoded as UTF-8") from None


def _check_changes(policy: PolicyVersion) -> None:
    if policy.changes is None:
        return
    if len(policy.changes) > MAX_BATCH_CHANGES:
        raise RejectedError(f"changes: {len(policy.changes)}, expected {MAX_BATCH_CHANGES} at most")
    if _digest_of_changes(policy.changes) != policy.changes_digest:
        raise RejectedError("content: not the digest of the changes")


def first_policy(changes: Iterable[Change] = (), voters: Iterable[str] = ()) -> PolicyVersion:
    """The first policy of a cluster.

    Raises
    ------
    RejectedError
        A change does not apply, or a field is out of bounds.
    """
    policy, _ = _next_policy(None, EMPTY, changes, "first", "", tuple(sorted(voters)))
    return policy


def successor_policy(
    old: PolicyVersion,
    state: ResourceState,
    changes: Iterable[Change],
    voters: Iterable[str] | None = None,
    reason: str | None = None,
    author: str = "",
) -> tuple[PolicyVersion, ResourceState]:
    """The policy that follows another one, and the resources after it.

    Parameters
    ----------
    old, state
        The preceding policy, and the resources after it.
    voters
        Addresses of the voters that decide the policy after this one; None for those of `old`.
    reason
        Shown in the history; None for the reason of the change if there is only one, else a summary.

    Raises
    ------
    RejectedError
        A change does not apply, nothing changes, or too many voters change at once.
    """
    batch_changes = tuple(changes)
    new_voters = old.voters if voters is None else tuple(sorted(voters))
    if not batch_changes and new_voters == old.voters:
        raise RejectedError(f"changes: says the same as {old.name}")
    _check_voter_change(old.voters, new_voters)
    if reason is None:
        reason, author = _summary(batch_changes)
    if not reason.strip():
        raise RejectedError("reason: missing")
    return _next_policy(old, state, batch_changes, reason, author, new_voters)


def _check_voter_change(old: tuple[str, ...], new: tuple[str, ...]) -> None:
    """Check that no more voters change than may change at once. RejectedError: more do."""
    if not old:
        return
    added, removed = set(new) - set(old), set(old) - set(new)
    # One replacement, or two additions or removals, which keep the number odd. More new voters could outvote
    # the old ones before they have the log.
    if len(added) + len(removed) > 2:
        raise RejectedError(
            f"keepers: {len(added)} voters added and {len(removed)} removed; at most one may be replaced, "
            "or two added or removed, in one change"
        )
    if not new:
        raise RejectedError("keepers: no voters, expected at least one")


def _summary(changes: tuple[Change, ...]) -> tuple[str, str]:
    """The reason and the author of an entry with these changes, for the history."""
    if len(changes) == 1:
        return changes[0].reason, changes[0].author
    return f"{len(changes)} changes", ""


def _next_policy(
    old: PolicyVersion | None,
    state: ResourceState,
    changes: Iterable[Change],
    reason: str,
    author: str,
    voters: tuple[str, ...],
) -> tuple[PolicyVersion, ResourceState]:
    """The policy that follows `old` (None for the first one), and the resources after it."""
    try:
        assembled = assemble(state, changes)
    except ChangeRejectedError as error:
        raise RejectedError(str(error)) from None
    if assembled.rejected:
        raise RejectedError("; ".join(str(error) for _, error in assembled.rejected))
    batch = assembled.batch
    policy = PolicyVersion(
        version=batch.revision,
        parent=old.digest if old is not None else b"",
        before=batch.before,
        after=batch.after,
        changes_digest=_digest_of_changes(batch.changes),
        reason=reason,
        author=author,
        voters=voters,
        changes=batch.changes,
    )
    return _validated(policy), assembled.state


FIRST_POLICY = first_policy()


def decode_policy(data: bytes) -> PolicyVersion:
    """Decode a policy from MessagePack.

    Raises
    ------
    MalformedDataError
        The bytes are not a policy.
    RejectedError
        A field is out of bounds.
    """
    if len(data) > MAX_ENTRY_BYTES:
        raise MalformedDataError(f"no policy: {len(data)} bytes, {MAX_ENTRY_BYTES} at most")
    try:
        return _validated(msgspec.msgpack.decode(data, type=PolicyVersion))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedDataError(f"no policy: {error}") from None
