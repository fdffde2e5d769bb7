"""Digests of resources, and order-independent digests of sets of them.

The digest of a set is the sum of its members' BLAKE2b digests modulo 2**256. Members are added and removed in
constant time, and two states are compared by 32 bytes. The sum detects differences due to faults. It does not
resist an attacker who may choose hundreds of thousands of bodies (that needs a lattice-based set hash): all
proposers are trusted.
"""

from __future__ import annotations

from hashlib import blake2b

from .model import Resource

__all__ = [
    "DIGEST_BYTES",
    "EMPTY_SET",
    "add_to_set",
    "change_id_digest",
    "encode_set_digest",
    "remove_from_set",
    "resource_digest",
]

DIGEST_BYTES = 32
EMPTY_SET = 0
_MODULUS = 1 << (8 * DIGEST_BYTES)


def resource_digest(resource: Resource) -> int:
    """Return the digest of a resource with its version, as a number below 2**256."""
    hasher = blake2b(digest_size=DIGEST_BYTES, person=b"hollybay.resourc")
    for part in (
        resource.kind.value.encode(),
        resource.name.encode("utf-8", "surrogatepass"),
        b"%d" % resource.version,
        resource.body,
    ):
        # Each part is preceded by its length, so that different resources never hash the same bytes.
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return int.from_bytes(hasher.digest(), "big")


def change_id_digest(change_id: bytes, revision: int) -> int:
    """Return the digest of a decided change: of its id and the revision at which it was decided."""
    hasher = blake2b(change_id, digest_size=DIGEST_BYTES, person=b"hollybay.change")
    hasher.update(revision.to_bytes(8, "big"))
    return int.from_bytes(hasher.digest(), "big")


def add_to_set(total: int, member: int) -> int:
    """Return the digest of a set with one more member."""
    return (total + member) % _MODULUS


def remove_from_set(total: int, member: int) -> int:
    """Return the digest of a set without one of its members."""
    return (total - member) % _MODULUS


def encode_set_digest(total: int) -> bytes:
    """Encode the digest of a set as it is sent and displayed."""
    return total.to_bytes(DIGEST_BYTES, "big")
