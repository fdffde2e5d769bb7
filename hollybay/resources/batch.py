"""The changes of one revision: how proposals become a batch, and how a batch is followed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from .digest import DIGEST_BYTES
from .model import Change, ChangeRefused
from .state import ResourceState

__all__ = ["MAX_BATCH_CHANGES", "Accept", "Assembled", "Batch", "BatchMismatch", "assemble", "follow"]

MAX_BATCH_CHANGES = 4096
Accept = Callable[[ResourceState, Change], None]
Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The changes that make `revision`. before, after: the digests of the states on its two sides."""

    revision: Annotated[int, msgspec.Meta(ge=1)]
    before: Digest
    changes: Annotated[tuple[Change, ...], msgspec.Meta(max_length=MAX_BATCH_CHANGES)]
    after: Digest


class BatchMismatch(ValueError):
    """A batch does not follow the state at hand: a gap, another state before it, or another result."""


@dataclass(frozen=True, slots=True)
class Assembled:
    """A batch, the state after it, and the changes that were left out of it, each with the reason."""

    batch: Batch
    state: ResourceState
    refused: tuple[tuple[Change, ChangeRefused], ...]


def assemble(state: ResourceState, changes: Iterable[Change], accept: Accept | None = None) -> Assembled:
    """Take all changes that fit, one after another; one that does not is refused alone.

    accept: called with the state that a change would lead to, and the change; it refuses by ChangeRefused.
    """
    revision = state.revision + 1
    after = state
    taken: list[Change] = []
    refused: list[tuple[Change, ChangeRefused]] = []
    for change in changes:
        try:
            candidate = after.with_change(change, revision)
            if accept is not None:
                accept(candidate, change)
        except ChangeRefused as error:
            refused.append((change, error))
        else:
            after = candidate
            taken.append(change)
    after = after.sealed(tuple(change.id for change in taken), revision)
    return Assembled(Batch(revision, state.digest, tuple(taken), after.digest), after, tuple(refused))


def follow(state: ResourceState, batch: Batch) -> ResourceState:
    """The state after a batch. BatchMismatch: it does not follow this state; nothing was changed."""
    if batch.revision != state.revision + 1:
        raise BatchMismatch(f"revision: {batch.revision} does not follow {state.revision}")
    if batch.before != state.digest:
        raise BatchMismatch(f"before: {batch.before.hex()[:12]} is not {state.digest.hex()[:12]}")
    try:
        after = state.applied(batch.changes, batch.revision)
    except ChangeRefused as error:
        raise BatchMismatch(f"changes: {error}") from None
    if after.digest != batch.after:
        raise BatchMismatch(f"after: {batch.after.hex()[:12]} is not {after.digest.hex()[:12]}")
    return after
