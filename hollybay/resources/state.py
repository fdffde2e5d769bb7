"""All resources at one revision, as a persistent value: a change makes a new state that shares the rest."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from immutables import Map

from .digest import (
    EMPTY_SET,
    add_to_set,
    change_id_digest,
    encode_set_digest,
    remove_from_set,
    resource_digest,
)
from .model import (
    CHANGE,
    Change,
    ChangeProblem,
    ChangeRejectedError,
    Key,
    Kind,
    Operation,
    Resource,
    Upsert,
    check_change,
)
from .rejection_reasons import (
    AlreadyDecided,
    BaseRevisionTooNew,
    BaseRevisionTooOld,
    RejectionReason,
    ResourceExists,
    ResourceMissing,
    VersionConflict,
)

__all__ = ["EMPTY", "REMEMBERED_REVISIONS", "ResourceState", "restore_state"]

# For how many revisions the ids of decided changes are remembered. A change with an older base revision is
# rejected, so that a proposal that is repeated late has no second effect.
REMEMBERED_REVISIONS = 1024


@dataclass(frozen=True, slots=True)
class ResourceState:
    """The resources at a revision.

    Parameters
    ----------
    revision
        The number of decided batches; the empty state has revision 0.
    resources
        By kind and name.
    revision_by_change_id
        The revision of each change that was decided within `REMEMBERED_REVISIONS`.
    change_ids_by_revision
        The same by revision.
    digest_sum
        The digest of the set of resources and change ids; see `digest`.
    """

    revision: int
    resources: Map[Key, Resource]
    revision_by_change_id: Map[bytes, int]
    change_ids_by_revision: Map[int, tuple[bytes, ...]]
    digest_sum: int

    @property
    def digest(self) -> bytes:
        """32 bytes by which two states are compared."""
        return encode_set_digest(self.digest_sum)

    def get(self, kind: Kind, name: str = "") -> Resource | None:
        """A resource; None: there is none of this name."""
        return self.resources.get(Key(kind, name))

    def of_kind(self, kind: Kind) -> Iterator[Resource]:
        """All resources of a kind in no order; the cost goes with the number of all resources."""
        return (resource for key, resource in self.resources.items() if key.kind is kind)

    def revision_of(self, change_id: bytes) -> int | None:
        """The revision at which a change was decided, if that is remembered."""
        return self.revision_by_change_id.get(change_id)

    def check(self, change: Change) -> None:
        """Check whether a change can be applied to this state.

        The cost goes with the number of its operations, not with the size of the state.

        Raises
        ------
        ChangeRejectedError
            It cannot.
        """
        check_change(change)
        if change.id in self.revision_by_change_id:
            raise ChangeRejectedError((ChangeProblem.because(AlreadyDecided(), CHANGE, "id"),))
        problems = self._revision_problems(change.base_revision)
        for operation in change.operations:
            problem = self._conflict(operation)
            if problem is not None:
                problems.append(problem)
        if problems:
            raise ChangeRejectedError(tuple(problems))

    def _revision_problems(self, base_revision: int) -> list[ChangeProblem]:
        """Why a change may not be made on a revision."""
        problems: list[ChangeProblem] = []
        if base_revision > self.revision:
            reason: RejectionReason = BaseRevisionTooNew(base_revision, self.revision)
            problems.append(ChangeProblem.because(reason, CHANGE, "made_on"))
        if base_revision < self.revision - REMEMBERED_REVISIONS:
            reason = BaseRevisionTooOld(base_revision, self.revision)
            problems.append(ChangeProblem.because(reason, CHANGE, "made_on"))
        return problems

    def _conflict(self, operation: Operation) -> ChangeProblem | None:
        """Why an operation does not fit the present version of its resource."""
        resource = self.resources.get(operation.key)
        present = resource.version if resource is not None else 0
        if operation.base_version == present:
            return None
        if not present:
            reason: RejectionReason = ResourceMissing(operation.base_version)
        elif not operation.base_version:
            reason = ResourceExists(present)
        else:
            reason = VersionConflict(operation.base_version, present)
        return ChangeProblem.because(reason, str(operation.key), "version")

    def with_batch(self, changes: Iterable[Change], revision: int) -> ResourceState:
        """The state after a batch of changes, which are checked one after another.

        Parameters
        ----------
        revision
            The next revision.

        Raises
        ------
        ChangeRejectedError
            A change does not fit.
        ValueError
            The revision is not the next one.
        """
        if revision != self.revision + 1:
            raise ValueError(f"revision {revision} does not follow {self.revision}")
        state = self
        ids: list[bytes] = []
        for change in changes:
            state = state.with_change(change, revision)
            ids.append(change.id)
        return state.with_revision(tuple(ids), revision)

    def with_change(self, change: Change, revision: int) -> ResourceState:
        """The state, at its old revision, with one more change of the batch that makes `revision`.

        Raises
        ------
        ChangeRejectedError
            The change does not fit.
        """
        self.check(change)
        total = self.digest_sum
        with self.resources.mutate() as resources:
            for operation in change.operations:
                before = resources.get(operation.key)
                if before is not None:
                    total = remove_from_set(total, resource_digest(before))
                if isinstance(operation, Upsert):
                    after = Resource(operation.kind, operation.name, revision, operation.body)
                    resources[operation.key] = after
                    total = add_to_set(total, resource_digest(after))
                else:
                    del resources[operation.key]
            finished = resources.finish()
        total = add_to_set(total, change_id_digest(change.id, revision))
        return ResourceState(
            self.revision,
            finished,
            self.revision_by_change_id.set(change.id, revision),
            self.change_ids_by_revision,
            total,
        )

    def with_revision(self, ids: tuple[bytes, ...], revision: int) -> ResourceState:
        """The state at a new revision, with the ids of the changes that made it; old ids are forgotten."""
        decided, total = self.revision_by_change_id, self.digest_sum
        ids_at = self.change_ids_by_revision.set(revision, ids)
        forgotten = revision - REMEMBERED_REVISIONS
        for old in ids_at.get(forgotten, ()):
            decided = decided.delete(old)
            total = remove_from_set(total, change_id_digest(old, forgotten))
        if forgotten in ids_at:
            ids_at = ids_at.delete(forgotten)
        return ResourceState(revision, self.resources, decided, ids_at, total)


EMPTY = ResourceState(0, Map(), Map(), Map(), EMPTY_SET)


def restore_state(
    revision: int, resources: Iterable[Resource], ids_at: Iterable[tuple[int, tuple[bytes, ...]]]
) -> ResourceState:
    """A state from the parts of a snapshot; its digest is computed anew."""
    total = EMPTY_SET
    by_key: dict[Key, Resource] = {}
    for resource in resources:
        by_key[resource.key] = resource
        total = add_to_set(total, resource_digest(resource))
    ids = dict(ids_at)
    decided: dict[bytes, int] = {}
    for at, changes in ids.items():
        for change_id in changes:
            decided[change_id] = at
            total = add_to_set(total, change_id_digest(change_id, at))
    return ResourceState(revision, Map(by_key), Map(decided), Map(ids), total)
