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

MAX_UNSERVICEABLE_KEPT = 64  # policies for which reasons are kept
MAX_REASON_LENGTH = 400  # characters


@dataclass(frozen=True, slots=True)
class Unserviceable:
    """Why a node cannot serve a policy.

    Attributes
    ----------
    reasons : tuple of Reason
    culprits : mapping
        The changes that cause the failure, as far as they are known: reasons by id of the change.
    cannot_serve_any : bool
        Whether the node could not serve any new policy at present, whatever its content.
    """

    reasons: tuple[Reason, ...]
    culprits: Mapping[str, tuple[Reason, ...]] = field(default_factory=dict)
    cannot_serve_any: bool = False


def bounded_reasons(reasons: Iterable[Reason]) -> tuple[Reason, ...]:
    """Limit reasons to the number and length that a message may hold."""
    return bounded(reasons, messages.MAX_REASONS, MAX_REASON_LENGTH)


class Serviceability:
    """Prepares policies for serving, and keeps track of those that cannot be served.

    Parameters
    ----------
    data_plane : DataPlane
    replica : LogReplica
    on_marked, on_cleared : callable
        Called with the name of a policy when it is marked as unserviceable, and when the mark is cleared.
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
        """Prepare a policy on disk for serving; returns the reasons why it cannot be served, if any."""
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
        """Mark a policy as unserviceable."""
        self.unserviceable[name] = why
        self._on_marked(name)
        while len(self.unserviceable) > MAX_UNSERVICEABLE_KEPT:
            self.unserviceable.pop(next(iter(self.unserviceable)))

    def clear(self, name: str) -> None:
        """Clear the mark of an unserviceable policy."""
        self.unserviceable.pop(name, None)
        self._on_cleared(name)

    async def _culprits(self, entry: Entry, reasons: tuple[Reason, ...]) -> dict[str, tuple[Reason, ...]]:
        """The changes in a batch that make it unserviceable, with reasons; empty if they are not known."""
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
