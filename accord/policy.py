"""A policy as a thing: the operator file's bytes, the servers out by hand, and where it comes from. Pure.

Two policies are the same if their digests are: BLAKE2b over the canonical form, which holds everything but
the digest itself. A change states the digest of its parent, so that one made on an old policy is seen to be.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

__all__ = ["FIRST", "MOST_BYTES", "Policy", "Refused", "first", "parse", "successor"]

# The longest operator file (bytes), the longest reason, author and server, and the most servers out by hand.
# An operator file of a thousand routes is some 100 KiB, and one that comes by the door is held whole.
MOST_BYTES, MOST_WORDS, MOST_OUT = 256 << 10, 400, 2_000
BOARDS = (1, 3, 5)  # keepers that there may be: with an even number one more may fail no more
_SIZE = 32  # bytes of a digest


class Refused(ValueError):
    """It is no policy, or none that may follow; the text says why, and names the field."""


class Policy(msgspec.Struct, frozen=True):
    """One policy. version: 0 for the first, one more for each that follows; parent: the digest before."""

    version: int
    parent: bytes
    file: bytes  # of the operator file
    out: tuple[str, ...]  # servers out by hand, in order
    reason: str
    author: str
    keepers: tuple[str, ...] = ()  # the board: where those who decide are called, in order

    @property
    def digest(self) -> bytes:
        """What it is known by, 32 bytes."""
        parts = (
            b"%d" % self.version,
            self.parent,
            self.file,
            *(b"%d" % len(self.out), *(name.encode() for name in self.out)),
            self.reason.encode(),
            self.author.encode(),
            *(b"%d" % len(self.keepers), *(keeper.encode() for keeper in self.keepers)),
        )
        whole = blake2b(digest_size=_SIZE, person=b"hollybay.policy")
        for part in parts:
            # Each with its length, or two policies could run together into the same bytes.
            whole.update(len(part).to_bytes(8, "big"))
            whole.update(part)
        return whole.digest()

    @property
    def name(self) -> str:
        """Version and the digest's first figures, for people."""
        return f"{self.version}-{self.digest.hex()[:12]}"


def _checked(policy: Policy) -> Policy:
    """The policy, where each field is within its bounds; Refused names the one that is not."""
    if policy.version < 0:
        raise Refused(f"version: {policy.version} is under 0")
    if len(policy.parent) != (_SIZE if policy.version else 0):
        raise Refused(f"parent: {len(policy.parent)} bytes are no digest")
    if len(policy.file) > MOST_BYTES:
        raise Refused(f"file: {len(policy.file)} bytes, {MOST_BYTES} at most")
    if len(policy.out) > MOST_OUT:
        raise Refused(f"out: {len(policy.out)} servers, {MOST_OUT} at most")
    if list(policy.out) != sorted(set(policy.out)):
        raise Refused("out: not in order, or a server stands twice")
    if policy.keepers and len(policy.keepers) not in BOARDS:
        raise Refused(f"keepers: {len(policy.keepers)}, and there may be {', '.join(map(str, BOARDS))}")
    if list(policy.keepers) != sorted(set(policy.keepers)):
        raise Refused("keepers: not in order, or one stands twice")
    for field, text in (
        ("reason", policy.reason),
        ("author", policy.author),
        *(("out", o) for o in policy.out),
        *(("keepers", k) for k in policy.keepers),
    ):
        if len(text) > MOST_WORDS or not text.isprintable():
            raise Refused(f"{field}: {text[:40]!r} is too long, or no plain text")
        try:
            text.encode()
        except UnicodeEncodeError:
            raise Refused(f"{field}: {text[:40]!r} is no plain text") from None
    return policy


def first(file: bytes, out: Iterable[str] = (), keepers: Iterable[str] = ()) -> Policy:
    """The policy that a tier begins with."""
    return _checked(Policy(0, b"", file, tuple(sorted(set(out))), "first", "", tuple(sorted(keepers))))


FIRST = first(b"")


def successor(
    old: Policy,
    parent: bytes,
    file: bytes,
    out: Iterable[str],
    reason: str,
    author: str,
    keepers: Iterable[str] | None = None,
) -> Policy:
    """The policy that follows another; keepers None: the same. Refused: another parent, nothing changed, more
    keepers changed than one at a time, or out of bounds."""
    if parent != old.digest:
        raise Refused(f"parent: made on {parent.hex()[:12] or 'nothing'}, in force is {old.name}")
    board = old.keepers if keepers is None else tuple(sorted(keepers))
    new = _checked(Policy(old.version + 1, parent, file, tuple(sorted(set(out))), reason, author, board))
    if (new.file, new.out, new.keepers) == (old.file, old.out, old.keepers):
        raise Refused(f"file: says the same as {old.name}, with the same servers out")
    if not reason.strip():
        raise Refused("reason: missing")
    come, gone = set(new.keepers) - set(old.keepers), set(old.keepers) - set(new.keepers)
    # One for another, or one more and one for the number to be odd; else the new ones could outvote the old
    # before they know anything.
    if old.keepers and len(come) + len(gone) > 2:
        raise Refused(
            f"keepers: {len(come)} come and {len(gone)} go; one at a time may be replaced, or two added"
        )
    if old.keepers and not new.keepers:
        raise Refused("keepers: none")
    return new


def parse(data: bytes) -> Policy:
    """A policy from its MessagePack form; Refused: it is none."""
    try:
        return _checked(msgspec.msgpack.decode(data, type=Policy))
    except msgspec.DecodeError as error:
        raise Refused(f"no policy: {error}") from None
