"""What a process of an accord tells people about itself: its lease and, where it is a keeper, the tier.

The functions read what they are given and change nothing. They give maps that become the JSON of
GET /-/policy; times in them are seconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from .core import Leaseholder
from .durable_acceptor import DurableAcceptor
from .interfaces import MemberSettings
from .log import PolicyLog
from .messages import BlockingLease

__all__ = ["ChangeProgress", "keeper_status", "members", "node_status"]

SECOND = 1_000_000_000  # ns


@dataclass(frozen=True, slots=True)
class ChangeProgress:
    """How changes fare at a keeper.

    queued: changes that wait for the next batch; pending: the policy that is about to begin, or ""; refused:
    policies that never began, and why; driving: the policy that this keeper brings further, or ""; waits:
    the nodes whose leases hold it up.
    """

    queued: int
    pending: str
    refused: Mapping[str, str]
    driving: str
    waits: Sequence[BlockingLease]


def node_status(
    terms: MemberSettings,
    node: Leaseholder,
    now: int,
    *,
    process: int,
    keepers: Sequence[str],
    unfit: Mapping[str, Sequence[str]],
    refused_fetches: Mapping[str, str],
    calls_in: int,
    calls_out: int,
) -> dict[str, object]:
    """What a node serves under and until when.

    now: ns of the clock of its leases; keepers: those whose leases it needs; unfit: policies that it cannot
    serve, and why; refused_fetches: keepers that did not give what it asked for, and why.
    """
    at = node.at
    strict = now < node.until
    return {
        "name": terms.name,
        "door": terms.door,
        "process": process,
        "keepers": keepers,
        "serves": list(node.serves(now)),
        "epoch": at.epoch if at is not None else -1,
        "stage": at.stage.name if at is not None else "",
        "late": not strict and bool(node.serves(now)),
        "left_s": round(max(0, (node.until if strict else node.late) - now) / SECOND, 3),
        "unfit": unfit,
        "refused_fetches": refused_fetches,
        "calls_in": calls_in,
        "calls_out": calls_out,
    }


def keeper_status(
    keeping: DurableAcceptor | None, log: PolicyLog, changes: ChangeProgress, late: int, now: int
) -> dict[str, object]:
    """What a keeper knows of the tier ("keeper"), or that it is none, or knows nothing yet and why.

    late: ns that a node may serve on after its lease; now: ns of the clock of the leases.
    """
    if keeping is None:
        return {"keeper": None}
    keeper = keeping.keeper
    if keeper is None:
        return {"keeper": None, "keeper_waits": keeping.failed or "it knows nothing yet"}
    state = keeper.decided
    entry = log.entry(state.policy)
    policy = entry.policy if entry is not None else None
    resources = entry.state if entry is not None else None
    found: dict[str, object] = {
        "epoch": state.epoch,
        "stage": state.stage.name,
        "policy": state.policy,
        "digest": policy.digest.hex() if policy is not None else "",
        "out": sorted(entry.out) if entry is not None else [],
        "resources": len(resources.resources) if resources is not None else 0,
        "resources_digest": resources.digest.hex() if resources is not None else "",
        "queued": changes.queued,
        "parent": policy.parent.hex() if policy is not None else "",
        "board": list(policy.keepers) if policy is not None else [],
        "older": [msgspec.to_builtins(one) for one in keeping.older(now)],
        "new": state.new,
        "pending": changes.pending,
        "refused": changes.refused,
        "reasons": keeping.refusals,
        "driving": changes.driving,
        "waits": [msgspec.to_builtins(one) for one in changes.waits],
        "quiet_s": round(max(0, keeper.quiet - now) / SECOND, 3),
        "late_s": late / SECOND,
        "mute": keeper.mute,
        "failed": keeping.failed,
        "members": members(keeping, now),
    }
    return {"keeper": found}


def members(keeping: DurableAcceptor, now: int) -> list[dict[str, object]]:
    """The nodes that a keeper has heard, by name; none where it knows nothing yet. now: ns."""
    if keeping.keeper is None:
        return []
    until: dict[int, int] = {}
    for one in keeping.keeper.leases:
        until[one.node] = max(until.get(one.node, 0), one.until)
    names = [member.name for member in keeping.members.values()]
    return [
        {
            "name": member.name,
            "door": member.door,
            "process": process,
            "epoch": member.serving,
            "able": member.able,
            "left_s": round(max(0, until.get(process, 0) - now) / SECOND, 3),
            "heard_s": round((now - member.heard) / SECOND, 3),
            # Two processes of one name: an upgrade, or a number that two claim.
            "twice": names.count(member.name) > 1 and until.get(process, 0) > now,
        }
        for process, member in sorted(keeping.members.items(), key=lambda item: item[1].name)
    ]
