"""The MessagePack encoding of changes, batches and snapshots, bounded in size.

Batches and snapshots end with a checksum of all their bytes, because the digests in them cover the resources,
but not reasons, authors and revisions.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from typing import Annotated, TypeVar

import msgspec

from .batch import Batch, Digest
from .digest import DIGEST_BYTES
from .model import CHANGE_ID_BYTES, Change, Key, Kind, Resource
from .state import ResourceState, restore_state

__all__ = [
    "CHECKSUM_BYTES",
    "MAX_BATCH_BYTES",
    "MAX_SNAPSHOT_BYTES",
    "SNAPSHOT_FORMAT",
    "WireError",
    "decode_batch",
    "decode_change",
    "decode_snapshot",
    "encode_batch",
    "encode_change",
    "encode_snapshot",
]

# Version of the snapshot format; snapshots of other versions are rejected.
SNAPSHOT_FORMAT = 1
MAX_BATCH_BYTES = 64 << 20
MAX_SNAPSHOT_BYTES = 512 << 20
CHECKSUM_BYTES = 16

ChangeId = Annotated[bytes, msgspec.Meta(min_length=CHANGE_ID_BYTES, max_length=CHANGE_ID_BYTES)]


class WireError(ValueError):
    """The bytes are not a valid message; the text gives the reason."""


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A complete state with its digest, by which a damaged or forged snapshot is detected."""

    form: int
    revision: Annotated[int, msgspec.Meta(ge=0)]
    resources: list[Resource]
    ids_at: list[tuple[int, tuple[ChangeId, ...]]]
    digest: Digest


T = TypeVar("T")


def _checksum(data: bytes | memoryview) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES, person=b"hollybay.wire").digest()


def _with_checksum(data: bytes) -> bytes:
    return data + _checksum(data)


def _checked(data: bytes, limit: int) -> memoryview:
    """Verify the checksum, and return the bytes without it."""
    if len(data) > limit:
        raise WireError(f"{len(data)} bytes, {limit} at most")
    inner = memoryview(data)[:-CHECKSUM_BYTES]
    if len(data) <= CHECKSUM_BYTES or _checksum(inner) != data[-CHECKSUM_BYTES:]:
        raise WireError("checksum: does not match, the bytes are damaged or truncated")
    return inner


def _decoded(data: bytes | memoryview, kind: type[T], limit: int) -> T:
    if len(data) > limit:
        raise WireError(f"{len(data)} bytes, {limit} at most")
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise WireError(str(error)) from None


def encode_change(change: Change) -> bytes:
    """Encode a change."""
    return msgspec.msgpack.encode(change)


def decode_change(data: bytes) -> Change:
    """Decode a change; raises WireError if the bytes are not a valid change."""
    return _decoded(data, Change, MAX_BATCH_BYTES)


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch."""
    return _with_checksum(msgspec.msgpack.encode(batch))


def decode_batch(data: bytes) -> Batch:
    """Decode a batch; raises WireError if the bytes are not a valid batch."""
    return _decoded(_checked(data, MAX_BATCH_BYTES), Batch, MAX_BATCH_BYTES)


def encode_snapshot(state: ResourceState) -> bytes:
    """Encode a complete state; equal states give equal bytes."""
    snapshot = _Snapshot(
        SNAPSHOT_FORMAT,
        state.revision,
        list(_in_order(state)),
        sorted(state.change_ids_by_revision.items()),
        state.digest,
    )
    return _with_checksum(msgspec.msgpack.encode(snapshot))


def _in_order(state: ResourceState) -> Iterator[Resource]:
    """Yield all resources, sorted by kind and name.

    Names are sorted kind by kind, as plain strings, so that no sort holds the interpreter lock for long.
    """
    names: dict[Kind, list[str]] = {}
    for key in state.resources:
        names.setdefault(key.kind, []).append(key.name)
    for kind in sorted(names):
        for name in sorted(names[kind]):
            yield state.resources[Key(kind, name)]


def decode_snapshot(data: bytes, expected: bytes | None = None) -> ResourceState:
    """Decode a state.

    Parameters
    ----------
    expected
        The digest that the state must have; None: any.

    Raises
    ------
    WireError
        The bytes are not a snapshot or of another format, or the digest does not match the resources or the
        expected digest.
    """
    snapshot = _decoded(_checked(data, MAX_SNAPSHOT_BYTES), _Snapshot, MAX_SNAPSHOT_BYTES)
    if snapshot.form != SNAPSHOT_FORMAT:
        raise WireError(f"form: {snapshot.form}, but this build reads only format {SNAPSHOT_FORMAT}")
    state = restore_state(snapshot.revision, snapshot.resources, snapshot.ids_at)
    if len(state.resources) != len(snapshot.resources):
        raise WireError("resources: one is listed twice")
    if state.digest != snapshot.digest or (expected is not None and state.digest != expected):
        raise WireError(
            f"digest: {state.digest.hex()[:12]} does not match the expected digest of {DIGEST_BYTES} bytes"
        )
    return state
