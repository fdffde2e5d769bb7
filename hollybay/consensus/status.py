"""The status of a member for operators: its lease and, if it is a voter, what it knows of the group.

The functions have no side effects. They return the mappings that are the JSON of GET /-/policy, whose keys
are published (docs/OPERATORS-accord.md); times in them are in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from hollybay.units import SECOND

from .acceptor import Acceptor
from .durable_acceptor import DurableAcceptor
from .interfaces import MemberSettings
from .leaseholder import Leaseholder
from .log import PolicyLog
from .messages import BlockingLease, stage_label
from .reasons import Reason, Uninitialized, texts_of

__all__ = ["ChangeProgress", "members", "node_status", "voter_status"]

SECONDS_DIGITS = 3  # decimal places of times


@dataclass(frozen=True, slots=True)
class ChangeProgress:
    """The progress of changes at a voter.

    Attributes
    ----------
    queued : int
        Number of changes that wait for the next batch.
    pending : str
        Name of the policy whose change is about to begin; empty if none.
    rejected : mapping
        Names of policies whose change never began, with the reasons.
    coordinating : str
        Name of the policy that this voter coordinates; empty if none.
    blocking_leases : sequence of BlockingLease
        The leases that the next epoch waits for.
    """

    queued: int
    pending: str
    rejected: Mapping[str, Reason]
    coordinating: str
    blocking_leases: Sequence[BlockingLease]


def node_status(
    settings: MemberSettings,
    holder: Leaseholder,
    now: int,
    *,
    process: int,
    voters: Sequence[str],
    unserviceable: Mapping[str, Sequence[Reason]],
    failed_fetches: Mapping[str, str],
    requests_in: int,
    requests_out: int,
) -> dict[str, object]:
    """The policies that a node serves under, and until when.

    Parameters
    ----------
    settings : MemberSettings
    holder : Leaseholder
    now : int
        The time on the clock of the leases, ns.
    process : int
        The number of the process.
    voters : sequence of str
        The addresses of the voters that leases are requested from.
    unserviceable : mapping
        Names of policies that the node cannot serve, with the reasons.
    failed_fetches : mapping
        Addresses from which a fetch failed, with the reasons.
    requests_in, requests_out : int
        Numbers of requests received and sent.
    """
    state = holder.effective_epoch
    has_lease = now < holder.lease_end
    policies = holder.policies_in_force(now)
    end = holder.lease_end if has_lease else holder.grace_end
    return {
        "name": settings.name,
        "door": settings.address,
        "process": process,
        "keepers": voters,
        "serves": list(policies),
        "epoch": state.epoch if state is not None else -1,
        "stage": stage_label(state.stage) if state is not None else "",
        "late": not has_lease and bool(policies),
        "left_s": _seconds_until(end, now),
        "unfit": {name: texts_of(reasons) for name, reasons in unserviceable.items()},
        "refused_fetches": failed_fetches,
        "calls_in": requests_in,
        "calls_out": requests_out,
    }


def voter_status(
    acceptor: DurableAcceptor | None, log: PolicyLog, changes: ChangeProgress, grace: int, now: int
) -> dict[str, object]:
    """The status of the voter ("keeper"); None if there is no voter, or it has no state ("keeper_waits").

    Parameters
    ----------
    acceptor : DurableAcceptor or None
    log : PolicyLog
    changes : ChangeProgress
    grace : int
        How long a node may continue to serve after its lease, ns.
    now : int
        The time on the clock of the leases, ns.
    """
    if acceptor is None:
        return {"keeper": None}
    if acceptor.state is None:
        return {"keeper": None, "keeper_waits": acceptor.storage_failure or str(Uninitialized())}
    return {"keeper": _status_of_acceptor(acceptor, acceptor.state, log, changes, grace, now)}


def _status_of_acceptor(
    acceptor: DurableAcceptor,
    state: Acceptor,
    log: PolicyLog,
    changes: ChangeProgress,
    grace: int,
    now: int,
) -> dict[str, object]:
    decided = state.decided
    entry = log.entry(decided.policy)
    policy = entry.policy if entry is not None else None
    resources = entry.state if entry is not None else None
    return {
        "epoch": decided.epoch,
        "stage": stage_label(decided.stage),
        "policy": decided.policy,
        "digest": policy.digest.hex() if policy is not None else "",
        "out": sorted(entry.drained_servers) if entry is not None else [],
        "resources": len(resources.resources) if resources is not None else 0,
        "resources_digest": resources.digest.hex() if resources is not None else "",
        "queued": changes.queued,
        "parent": policy.parent.hex() if policy is not None else "",
        "board": list(policy.voters) if policy is not None else [],
        "older": [msgspec.to_builtins(lease) for lease in acceptor.older_leases(now)],
        "new": decided.new,
        "pending": changes.pending,
        "refused": {name: str(reason) for name, reason in changes.rejected.items()},
        "reasons": acceptor.reports.unserviceable,
        "driving": changes.coordinating,
        "waits": [msgspec.to_builtins(lease) for lease in changes.blocking_leases],
        "quiet_s": _seconds_until(state.no_vote_before, now),
        "late_s": grace / SECOND,
        "mute": state.last_barred_epoch,
        "failed": acceptor.storage_failure,
        "members": members(acceptor, now),
    }


def members(acceptor: DurableAcceptor, now: int) -> list[dict[str, object]]:
    """The processes that request leases from a voter, sorted by name; empty if it has no state. now: ns."""
    if acceptor.state is None:
        return []
    lease_ends: dict[int, int] = {}
    for lease in acceptor.state.leases:
        lease_ends[lease.node] = max(lease_ends.get(lease.node, 0), lease.lease_end)
    known = acceptor.reports.members
    names = [member.name for member in known.values()]
    return [
        {
            "name": member.name,
            "door": member.address,
            "process": process,
            "epoch": member.serving_epoch,
            "able": member.can_serve_new,
            "left_s": _seconds_until(lease_ends.get(process, 0), now),
            "heard_s": round((now - member.last_contact) / SECOND, SECONDS_DIGITS),
            # Two processes with one name: an upgrade in progress, or a name that was assigned twice.
            "twice": names.count(member.name) > 1 and lease_ends.get(process, 0) > now,
        }
        for process, member in sorted(known.items(), key=lambda item: item[1].name)
    ]


def _seconds_until(end: int, now: int) -> float:
    """The time in seconds from `now` until `end`, both in ns; 0 if `end` has passed."""
    return round(max(0, end - now) / SECOND, SECONDS_DIGITS)
