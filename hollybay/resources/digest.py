"""Digests of resources, and the digest of a set of them, which does not depend on their order.

The digest of a set is the sum of its members' BLAKE2b digests modulo 2**256. A member is added and taken away
in constant time, and two states are compared by 32 bytes. Such a sum tells differences that come about by
faults; it is no protection against somebody who can choose hundreds of thousands of bodies to make two sets
collide (for that a lattice-based set hash would be needed), and all who may propose changes are trusted.
"""

from __future__ import annotations

from hashlib import blake2b

from .model import Resource

__all__ = [
    "DIGEST_BYTES",
    "EMPTY_SET",
    "change_id_digest",
    "resource_digest",
    "set_bytes",
    "set_with",
    "set_without",
]

DIGEST_BYTES = 32
EMPTY_SET = 0
_MODULUS = 1 << (8 * DIGEST_BYTES)


def resource_digest(resource: Resource) -> int:
    """The digest of a resource with its version, as a number under 2**256."""
    whole = blake2b(digest_size=DIGEST_BYTES, person=b"hollybay.resourc")
    for part in (
        resource.kind.value.encode(),
        resource.name.encode("utf-8", "surrogatepass"),
        b"%d" % resource.version,
        resource.body,
    ):
        # Each part with its length, so that no two resources run together into the same bytes.
        whole.update(len(part).to_bytes(8, "big"))
        whole.update(part)
    return int.from_bytes(whole.digest(), "big")


def change_id_digest(change_id: bytes, revision: int) -> int:
    """The digest of the fact that a change was decided at a revision."""
    whole = blake2b(change_id, digest_size=DIGEST_BYTES, person=b"hollybay.change")
    whole.update(revision.to_bytes(8, "big"))
    return int.from_bytes(whole.digest(), "big")


def set_with(total: int, member: int) -> int:
    """The digest of a set with one more member."""
    return (total + member) % _MODULUS


def set_without(total: int, member: int) -> int:
    """The digest of a set with one of its members taken away."""
    return (total - member) % _MODULUS


def set_bytes(total: int) -> bytes:
    """The digest of a set as it is sent and shown."""
    return total.to_bytes(DIGEST_BYTES, "big")
