"""Which policies this node cannot serve, and why."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from . import messages
from .interfaces import DataPlane
from .log_entry import Entry
from .log_replica import LogReplica
from .reasons import DoesNotCompile, Reason, bounded

__all__ = ["Serviceability", "Unserviceable", "bounded_reasons"]

MAX_UNSERVICEABLE_KEPT = 64  # policies whose reasons are kept
MAX_REASON_LENGTH = 400  # characters


@dataclass(frozen=True, slots=True)
class Unserviceable:
    """Why a node cannot serve a policy.

    Attributes
    ----------
    reasons : tuple of Reason
    culprits : mapping
        The reasons by the ids of the changes at fault, as far as these are known.
    cannot_serve_any : bool
        Whether the node could serve no new policy now, whatever it holds.
    """

    reasons: tuple[Reason, ...]
    culprits: Mapping[str, tuple[Reason, ...]] = field(default_factory=dict)
    cannot_serve_any: bool = False


def bounded_reasons(reasons: Iterable[Reason]) -> tuple[Reason, ...]:
    """Reasons within the bounds of a message."""
    return bounded(reasons, messages.MAX_REASONS, MAX_REASON_LENGTH)


class Serviceability:
    """Makes policies ready to be served, and notes those that cannot be.

    Parameters
    ----------
    data_plane : DataPlane
    replica : LogReplica
    on_marked, on_cleared : callable
        Take the name of a policy that cannot be served, and of one that may be again.
    """

    def __init__(
        self,
        data_plane: DataPlane,
        replica: LogReplica,
        on_marked: Callable[[str], None],
        on_cleared: Callable[[str], None],
    ) -> None:
        self.data_plane = data_plane
        self.replica = replica
        self.unserviceable: dict[str, Unserviceable] = {}
        self._on_marked = on_marked
        self._on_cleared = on_cleared

    async def prepare(self, entry: Entry) -> tuple[Reason, ...]:
        """Make a policy that is on disk ready to be served; the reasons why it cannot be, if any."""
        name = entry.policy.name
        known = self.unserviceable.get(name)
        if known is not None:
            return known.reasons
        problems = await self.data_plane.compile_policy(entry)
        reasons = bounded_reasons(map(DoesNotCompile, problems))
        if reasons:
            self.mark(name, Unserviceable(reasons, await self._culprits(entry, reasons)))
        return reasons

    def mark(self, name: str, why: Unserviceable) -> None:
        """Note that a policy cannot be served."""
        self.unserviceable[name] = why
        self._on_marked(name)
        while len(self.unserviceable) > MAX_UNSERVICEABLE_KEPT:
            self.unserviceable.pop(next(iter(self.unserviceable)))

    def clear(self, name: str) -> None:
        """Forget that a policy cannot be served."""
        self.unserviceable.pop(name, None)
        self._on_cleared(name)

    async def _culprits(self, entry: Entry, reasons: tuple[Reason, ...]) -> dict[str, tuple[Reason, ...]]:
        """The changes of a batch by which it cannot be served; empty: they are not known."""
        policy = await self.replica.read(entry.policy.name)
        base = self.replica.log.entry(entry.policy.parent_name)
        if policy is None or policy.changes is None or base is None or base.state is None:
            return {}
        if len(policy.changes) == 1:
            return {policy.changes[0].id.hex(): reasons[: messages.MAX_CULPRIT_REASONS]}
        found = await self.data_plane.find_invalid_changes(base, policy.changes)
        culprits = list(found.items())[: messages.MAX_CULPRITS]
        return {
            change.hex(): bounded(
                map(DoesNotCompile, problems), messages.MAX_CULPRIT_REASONS, MAX_REASON_LENGTH
            )
            for change, problems in culprits
        }
