"""All resources at one revision, as a persistent value: a change makes a new state that shares the rest."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from immutables import Map

from .digest import EMPTY_SET, change_id_digest, resource_digest, set_bytes, set_with, set_without
from .model import Change, ChangeRefused, Key, Kind, Operation, Problem, Resource, Upsert, check_change

__all__ = ["EMPTY", "REMEMBERED_REVISIONS", "ResourceState", "restored"]

# For so many revisions the ids of decided changes are remembered; a change that was made on an older revision
# is refused, so that a proposal which is repeated late has no second effect.
REMEMBERED_REVISIONS = 1024


@dataclass(frozen=True, slots=True)
class ResourceState:
    """The resources at a revision. A revision is one decided batch; the empty state has revision 0.

    decided: the revision of each change that was decided lately; ids_at: the same by revision.
    digest_sum: the digest of the set, see digest.py.
    """

    revision: int
    resources: Map[Key, Resource]
    decided: Map[bytes, int]
    ids_at: Map[int, tuple[bytes, ...]]
    digest_sum: int

    @property
    def digest(self) -> bytes:
        """32 bytes by which two states are compared."""
        return set_bytes(self.digest_sum)

    def get(self, kind: Kind, name: str = "") -> Resource | None:
        """A resource, if it is there."""
        return self.resources.get(Key(kind, name))

    def of_kind(self, kind: Kind) -> Iterator[Resource]:
        """All resources of a kind in no order; looks at every resource."""
        return (one for key, one in self.resources.items() if key.kind is kind)

    def revision_of(self, change_id: bytes) -> int | None:
        """The revision at which a change was decided, if that is remembered."""
        return self.decided.get(change_id)

    def check(self, change: Change) -> None:
        """Whether a change could be applied to this state. ChangeRefused: it could not.

        The cost goes with the number of its operations, never with the size of the state.
        """
        check_change(change)
        problems: list[Problem] = []
        if change.id in self.decided:
            raise ChangeRefused((Problem("change", "id", "was decided already"),))
        if change.made_on > self.revision:
            problems.append(Problem("change", "made_on", f"{change.made_on} is after {self.revision}"))
        if change.made_on < self.revision - REMEMBERED_REVISIONS:
            problems.append(
                Problem("change", "made_on", f"{change.made_on} is too long before {self.revision}")
            )
        for operation in change.operations:
            problem = self._conflict(operation)
            if problem is not None:
                problems.append(problem)
        if problems:
            raise ChangeRefused(tuple(problems))

    def _conflict(self, operation: Operation) -> Problem | None:
        """Why an operation does not fit the version that is there."""
        there = self.resources.get(operation.key)
        found = there.version if there is not None else 0
        if operation.base == found:
            return None
        if not found:
            reason = f"was made on version {operation.base}, and there is no such resource"
        elif not operation.base:
            reason = f"was made to create it, and version {found} is there"
        else:
            reason = f"was made on version {operation.base}, and {found} is there"
        return Problem(str(operation.key), "version", reason)

    def applied(self, changes: Iterable[Change], revision: int) -> ResourceState:
        """The state after a batch of changes at the next revision; they are checked one after another.

        ChangeRefused: one of them does not fit. revision must be self.revision + 1 (ValueError).
        """
        if revision != self.revision + 1:
            raise ValueError(f"revision {revision} does not follow {self.revision}")
        state = self
        ids: list[bytes] = []
        for change in changes:
            state = state.with_change(change, revision)
            ids.append(change.id)
        return state.sealed(tuple(ids), revision)

    def with_change(self, change: Change, revision: int) -> ResourceState:
        """This state with one more change of the batch that makes `revision`; it has still its own revision.

        ChangeRefused: the change does not fit.
        """
        self.check(change)
        total = self.digest_sum
        with self.resources.mutate() as resources:
            for operation in change.operations:
                before = resources.get(operation.key)
                if before is not None:
                    total = set_without(total, resource_digest(before))
                if isinstance(operation, Upsert):
                    after = Resource(operation.kind, operation.name, revision, operation.body)
                    resources[operation.key] = after
                    total = set_with(total, resource_digest(after))
                else:
                    del resources[operation.key]
            finished = resources.finish()
        total = set_with(total, change_id_digest(change.id, revision))
        return ResourceState(
            self.revision, finished, self.decided.set(change.id, revision), self.ids_at, total
        )

    def sealed(self, ids: tuple[bytes, ...], revision: int) -> ResourceState:
        """This state, which holds the changes of these ids, at its new revision; old ids are forgotten."""
        decided, total = self.decided, self.digest_sum
        ids_at = self.ids_at.set(revision, ids)
        forgotten = revision - REMEMBERED_REVISIONS
        for old in ids_at.get(forgotten, ()):
            decided = decided.delete(old)
            total = set_without(total, change_id_digest(old, forgotten))
        if forgotten in ids_at:
            ids_at = ids_at.delete(forgotten)
        return ResourceState(revision, self.resources, decided, ids_at, total)


EMPTY = ResourceState(0, Map(), Map(), Map(), EMPTY_SET)


def restored(
    revision: int, resources: Iterable[Resource], ids_at: Iterable[tuple[int, tuple[bytes, ...]]]
) -> ResourceState:
    """A state out of its parts, as a snapshot has them; its digest is worked out anew."""
    total = EMPTY_SET
    by_key: dict[Key, Resource] = {}
    for one in resources:
        by_key[one.key] = one
        total = set_with(total, resource_digest(one))
    ids = dict(ids_at)
    decided: dict[bytes, int] = {}
    for at, changes in ids.items():
        for change_id in changes:
            decided[change_id] = at
            total = set_with(total, change_id_digest(change_id, at))
    return ResourceState(revision, Map(by_key), Map(decided), Map(ids), total)
