"""The status of a member for people: its lease and, where it is a voter, what it knows of the group.

The functions read what they are given and change nothing. They return maps that become the JSON of
GET /-/policy, whose keys are published (docs/OPERATORS-accord.md); times in them are seconds.
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

SECONDS_DIGITS = 3  # after the point


@dataclass(frozen=True, slots=True)
class ChangeProgress:
    """The progress of changes at a voter.

    Attributes
    ----------
    queued : int
        Changes that wait for the next batch.
    pending : str
        The policy that is about to begin; empty: none.
    rejected : mapping
        Policies that never began, and why.
    coordinating : str
        The policy that this voter coordinates; empty: none.
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
    """What a node serves under, and until when.

    Parameters
    ----------
    settings : MemberSettings
    holder : Leaseholder
    now : int
        ns, of the clock of its leases.
    process : int
        The number of the process.
    voters : sequence of str
        The addresses of those whose leases it needs.
    unserviceable : mapping
        Policies that it cannot serve, and why.
    failed_fetches : mapping
        Addresses that did not give what was fetched from them, and why.
    requests_in, requests_out : int
        Requests that were received, and sent.
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
    """What a voter knows of the group ("keeper"), or that there is none, or that it knows nothing and why.

    Parameters
    ----------
    acceptor : DurableAcceptor or None
    log : PolicyLog
    changes : ChangeProgress
    grace : int
        For how long a node may serve on after its lease, ns.
    now : int
        ns, of the clock of the leases.
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
    """The processes that request leases of a voter, by name; none where it knows nothing yet. now: ns."""
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
            # Two processes of one name: an upgrade, or a name that two have been given.
            "twice": names.count(member.name) > 1 and lease_ends.get(process, 0) > now,
        }
        for process, member in sorted(known.items(), key=lambda item: item[1].name)
    ]


def _seconds_until(end: int, now: int) -> float:
    """The time until a moment, both ns, in seconds; 0 once it has passed."""
    return round(max(0, end - now) / SECOND, SECONDS_DIGITS)
