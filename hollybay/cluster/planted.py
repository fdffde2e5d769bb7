"""Defects that the checks of a run must detect, and faults, planted in a node process before it serves."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable
from typing import Any

from hollybay.balancing.server_selection import ServerSelector
from hollybay.balancing.state import TrackedServer
from hollybay.balancing.traffic_share import TrafficShare
from hollybay.gossip import RemoteLoad

__all__ = ["DEFECTS", "FULL_DISK", "plant"]

FULL_DISK = "disk-full"  # marker file in a node's folder that simulates a full disk


def _same_numbers() -> None:
    """All nodes draw the same random numbers, reseeded with the current second for each request."""
    old = ServerSelector.pick

    def pick(self: ServerSelector, request: Any, now: int) -> TrackedServer | None:
        self.random.seed(now // 1_000_000_000)
        return old(self, request, now)

    ServerSelector.pick = pick  # type: ignore[method-assign]


def _least_loaded() -> None:
    """Every node picks the server with the least reported load."""

    def pick(self: ServerSelector, request: Any, now: int) -> TrackedServer | None:
        fit = [s for s in self.endpoints.servers.values() if s.speed_class is not None]
        return min(fit, key=lambda s: (s.reported_load, s.id)) if fit else None

    ServerSelector.pick = pick  # type: ignore[method-assign]


def _avoids_returned() -> None:
    """A server that was restarted is never used again."""
    old = ServerSelector.rebuild

    def rebuild(self: ServerSelector, now: int) -> None:
        for s in self.endpoints.servers.values():
            if s.up_since:
                s.ejected_until = now + 3_600_000_000_000
        old(self, now)

    ServerSelector.rebuild = rebuild  # type: ignore[method-assign]


def _few_for_all() -> None:
    """Every node uses only the first quarter of the servers."""
    old = ServerSelector.pick

    def pick(self: ServerSelector, request: Any, now: int) -> TrackedServer | None:
        names = sorted(
            str(s) for s, server in self.endpoints.servers.items() if server.speed_class is not None
        )
        if not names:
            return old(self, request, now)
        few = names[: max(1, len(names) // 4)]
        return self.endpoints.servers[random.choice(few)]

    ServerSelector.pick = pick  # type: ignore[method-assign]


def _configured_only() -> None:
    """Traffic shares follow the configured number of nodes, whatever servers report."""

    def effective_nodes(self: TrafficShare, now: int, size: float) -> float:
        return float(self.configured_nodes)

    TrafficShare.effective_nodes = effective_nodes  # type: ignore[method-assign]


def _keeps_shares() -> None:
    """Load reports never expire, even when their node has exited or is stopped."""

    def expire(self: RemoteLoad, now_ns: int) -> dict[Hashable, int]:
        return {}

    RemoteLoad.expire = expire  # type: ignore[method-assign]


def _lease_never_over() -> None:
    """A node ignores the end of its lease when a request begins."""
    from hollybay.consensus import core, leaseholder

    def serves(self: leaseholder.Leaseholder, now: int) -> tuple[str, ...]:
        return core.effective_policies(self.effective_epoch) if self.effective_epoch is not None else ()

    leaseholder.Leaseholder.policies_in_force = serves  # type: ignore[method-assign]


def _narrow_skipped() -> None:
    """Nodes switch from the old policy to the new one without serving under their intersection first."""
    from hollybay.consensus import core, leaseholder

    def serves(self: leaseholder.Leaseholder, now: int) -> tuple[str, ...]:
        if self.effective_epoch is None or now >= self.lease_end:
            return ()
        return (
            (self.effective_epoch.new,)
            if self.effective_epoch.stage is core.Stage.JOINT
            else (self.effective_epoch.policy,)
        )

    leaseholder.Leaseholder.policies_in_force = serves  # type: ignore[method-assign]


def _disk_full_by_mark() -> None:
    """A fault, not a defect: the log of a node cannot be written while its folder holds the marker file."""
    from hollybay.consensus.log import PolicyLog
    from hollybay.consensus.log_entry import Entry
    from hollybay.consensus.policy import PolicyVersion
    from hollybay.consensus.store import StoreError

    put = PolicyLog.append

    def putting(self: PolicyLog, policy: PolicyVersion) -> Entry:
        if self.policy(policy.name) is None and (self.folder.parent / FULL_DISK).exists():
            raise StoreError("[Errno 28] No space left on device")
        return put(self, policy)

    PolicyLog.append = putting  # type: ignore[method-assign]


def _unfit_by_name() -> None:
    """A fault, not a defect: a node cannot serve routes whose names begin with its own name."""
    from hollybay.consensus.log_entry import Entry
    from hollybay.proxy.consensus_member import ConsensusMember
    from hollybay.resources.model import Change

    compiles, find_invalid_changes = ConsensusMember.compile_policy, ConsensusMember.find_invalid_changes

    def is_unfit(self: ConsensusMember, name: str) -> bool:
        return name.startswith(f"{self.settings.name}-")

    async def compiling(self: ConsensusMember, entry: Entry) -> list[str]:
        names = [key.name for key in entry.changed_keys or () if is_unfit(self, key.name)]
        return [f"route {name!r}: does not hold here" for name in names] or await compiles(self, entry)

    async def naming(
        self: ConsensusMember, base: Entry, changes: tuple[Change, ...]
    ) -> dict[bytes, list[str]]:
        found = await find_invalid_changes(self, base, changes)
        for change in changes:
            names = [one.name for one in change.operations if is_unfit(self, one.name)]
            if names:
                found[change.id] = [f"route {name!r}: does not hold here" for name in names]
        return found

    ConsensusMember.compile_policy, ConsensusMember.find_invalid_changes = compiling, naming  # type: ignore[method-assign]


def _bad_change_drops_batch() -> None:
    """All changes of a batch are rejected if one of them is invalid."""
    from hollybay.consensus.group_commit import ProposalQueue

    dropped = ProposalQueue.batch_dropped

    def drops(self: ProposalQueue, batch: Any, reasons: Any, now: int, problems: Any = ()) -> None:
        all_of = dict.fromkeys(
            (change.id for change in batch.changes), next(iter(reasons.values()), problems)
        )
        dropped(self, batch, all_of, now, problems)

    ProposalQueue.batch_dropped = drops  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "same-numbers": _same_numbers,
    "least-loaded": _least_loaded,
    "avoids-returned": _avoids_returned,
    "configured-only": _configured_only,
    "keeps-shares": _keeps_shares,
    "few-for-all": _few_for_all,
    "lease-never-over": _lease_never_over,
    "narrow-skipped": _narrow_skipped,
    "disk-full-by-mark": _disk_full_by_mark,
    "unfit-by-name": _unfit_by_name,
    "bad-change-drops-batch": _bad_change_drops_batch,
}


def plant(name: str) -> None:
    """Plant a defect in this process, or several joined by "+". KeyError: unknown defect."""
    for one in name.split("+"):
        DEFECTS[one]()
