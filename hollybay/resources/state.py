"""All resources at one revision, as an immutable value: a change returns a new state that shares the rest."""

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

# Number of revisions for which the ids of decided changes are kept. A change with an older base revision is
# rejected, so that a proposal that is repeated late does not take effect a second time.
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
        The ids of the same changes by revision.
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
        """The digest by which two states are compared (32 bytes)."""
        return encode_set_digest(self.digest_sum)

    def get(self, kind: Kind, name: str = "") -> Resource | None:
        """Return a resource; None: there is none of this name."""
        return self.resources.get(Key(kind, name))

    def of_kind(self, kind: Kind) -> Iterator[Resource]:
        """Iterate over the resources of a kind, unordered. Cost: linear in the number of all resources."""
        return (resource for key, resource in self.resources.items() if key.kind is kind)

    def revision_of(self, change_id: bytes) -> int | None:
        """Return the revision at which a change was decided; None: unknown, or no longer kept."""
        return self.revision_by_change_id.get(change_id)

    def check(self, change: Change) -> None:
        """Check whether a change can be applied to this state.

        Cost: linear in the number of its operations, independent of the size of the state.

        Raises
        ------
        ChangeRejectedError
            The change cannot be applied.
        """
        check_change(change)
        if change.id in self.revision_by_change_id:
            raise ChangeRejectedError((ChangeProblem.from_reason(AlreadyDecided(), CHANGE, "id"),))
        problems = self._revision_problems(change.base_revision)
        for operation in change.operations:
            problem = self._conflict(operation)
            if problem is not None:
                problems.append(problem)
        if problems:
            raise ChangeRejectedError(tuple(problems))

    def _revision_problems(self, base_revision: int) -> list[ChangeProblem]:
        """Return the problems of a change's base revision."""
        problems: list[ChangeProblem] = []
        if base_revision > self.revision:
            reason: RejectionReason = BaseRevisionTooNew(base_revision, self.revision)
            problems.append(ChangeProblem.from_reason(reason, CHANGE, "made_on"))
        if base_revision < self.revision - REMEMBERED_REVISIONS:
            reason = BaseRevisionTooOld(base_revision, self.revision)
            problems.append(ChangeProblem.from_reason(reason, CHANGE, "made_on"))
        return problems

    def _conflict(self, operation: Operation) -> ChangeProblem | None:
        """Return the conflict of an operation with the present version of its resource; None: no conflict."""
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
        return ChangeProblem.from_reason(reason, str(operation.key), "version")

    def with_batch(self, changes: Iterable[Change], revision: int) -> ResourceState:
        """Return the state after a batch of changes, which are checked one after another.

        Parameters
        ----------
        revision
            The next revision.

        Raises
        ------
        ChangeRejectedError
            A change cannot be applied.
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
        """Return the state, at its old revision, with one more change of the batch that creates `revision`.

        Raises
        ------
        ChangeRejectedError
            The change cannot be applied.
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
        """Return the state at a new revision, with the ids of its changes; the oldest ids are dropped."""
        decided, total = self.revision_by_change_id, self.digest_sum
        ids_by_revision = self.change_ids_by_revision.set(revision, ids)
        expired = revision - REMEMBERED_REVISIONS
        for old in ids_by_revision.get(expired, ()):
            decided = decided.delete(old)
            total = remove_from_set(total, change_id_digest(old, expired))
        if expired in ids_by_revision:
            ids_by_revision = ids_by_revision.delete(expired)
        return ResourceState(revision, self.resources, decided, ids_by_revision, total)


EMPTY = ResourceState(0, Map(), Map(), Map(), EMPTY_SET)


def restore_state(
    revision: int, resources: Iterable[Resource], ids_by_revision: Iterable[tuple[int, tuple[bytes, ...]]]
) -> ResourceState:
    """Create a state from the parts of a snapshot; its digest is recomputed."""
    total = EMPTY_SET
    by_key: dict[Key, Resource] = {}
    for resource in resources:
        by_key[resource.key] = resource
        total = add_to_set(total, resource_digest(resource))
    ids = dict(ids_by_revision)
    decided: dict[bytes, int] = {}
    for decided_at, change_ids in ids.items():
        for change_id in change_ids:
            decided[change_id] = decided_at
            total = add_to_set(total, change_id_digest(change_id, decided_at))
    return ResourceState(revision, Map(by_key), Map(decided), Map(ids), total)
