"""Batches: the changes of one revision, assembled from proposals and applied to a state."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from .digest import DIGEST_BYTES
from .model import Change, ChangeRejectedError
from .state import ResourceState

__all__ = [
    "MAX_BATCH_CHANGES",
    "Assembled",
    "Batch",
    "BatchMismatchError",
    "ChangeCheck",
    "apply_batch",
    "assemble",
]

MAX_BATCH_CHANGES = 4096
# Raises ChangeRejectedError if the state that a change would lead to is not valid.
ChangeCheck = Callable[[ResourceState, Change], None]
Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The changes of one revision.

    Encoded as an array: the order of the fields is fixed.

    Parameters
    ----------
    revision
        The revision that the batch creates.
    before, after
        Digests of the states before and after it.
    changes
        In the order in which they are applied.
    """

    revision: Annotated[int, msgspec.Meta(ge=1)]
    before: Digest
    changes: Annotated[tuple[Change, ...], msgspec.Meta(max_length=MAX_BATCH_CHANGES)]
    after: Digest


class BatchMismatchError(ValueError):
    """A batch cannot be applied to a state: revisions are missing, or a digest before or after it differs."""


@dataclass(frozen=True, slots=True)
class Assembled:
    """A batch, the state after it, and the changes that were left out, each with the reason."""

    batch: Batch
    state: ResourceState
    rejected: tuple[tuple[Change, ChangeRejectedError], ...]


def assemble(state: ResourceState, changes: Iterable[Change], check: ChangeCheck | None = None) -> Assembled:
    """Form a batch of the changes that can be applied one after another; each other change is rejected alone.

    Parameters
    ----------
    state
        The state before the batch.
    check
        Called with the state that a change would lead to and the change; raises ChangeRejectedError to
        reject it.
    """
    revision = state.revision + 1
    after = state
    accepted: list[Change] = []
    rejected: list[tuple[Change, ChangeRejectedError]] = []
    for change in changes:
        try:
            candidate = after.with_change(change, revision)
            if check is not None:
                check(candidate, change)
        except ChangeRejectedError as error:
            rejected.append((change, error))
        else:
            after = candidate
            accepted.append(change)
    after = after.with_revision(tuple(change.id for change in accepted), revision)
    batch = Batch(revision, state.digest, tuple(accepted), after.digest)
    return Assembled(batch, after, tuple(rejected))


def apply_batch(state: ResourceState, batch: Batch) -> ResourceState:
    """Return the state after a batch.

    Raises
    ------
    BatchMismatchError
        The batch does not follow this state.
    """
    if batch.revision != state.revision + 1:
        raise BatchMismatchError(f"revision: {batch.revision} does not follow {state.revision}")
    if batch.before != state.digest:
        raise BatchMismatchError(
            f"before: {batch.before.hex()[:12]} expected, state is {state.digest.hex()[:12]}"
        )
    try:
        after = state.with_batch(batch.changes, batch.revision)
    except ChangeRejectedError as error:
        raise BatchMismatchError(f"changes: {error}") from None
    if after.digest != batch.after:
        raise BatchMismatchError(
            f"after: {batch.after.hex()[:12]} expected, result is {after.digest.hex()[:12]}"
        )
    return after
