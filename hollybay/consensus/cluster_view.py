"""What voters know of the cluster, parsed from the status and the history that they serve as JSON. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from .reasons import ReportedReason

__all__ = [
    "ClusterView",
    "EpochRecord",
    "MemberStatus",
    "OlderLease",
    "ProcessStatus",
    "VoterStatus",
    "parse_history",
    "parse_status",
]


class OlderLease(msgspec.Struct, frozen=True, rename={"left_ns": "left", "cannot_serve": "no"}):
    """A lease that has to end before a voter may go on.

    Parameters
    ----------
    name
        The leaseholder.
    epoch
        The epoch of the lease.
    left_ns
        Time until it ends.
    cannot_serve
        Whether the leaseholder reported that it cannot serve the new policy.
    """

    name: str = ""
    epoch: int = -1
    left_ns: int = 0
    cannot_serve: bool = False


class MemberStatus(
    msgspec.Struct,
    frozen=True,
    rename={"address": "door", "is_able": "able", "last_contact_s": "heard_s", "is_duplicate": "twice"},
):
    """A node as one voter knows it.

    Parameters
    ----------
    address
        Of its admin endpoint.
    epoch
        The epoch that it serves under.
    is_able
        Whether it can serve the new policy.
    left_s, last_contact_s
        Time until its lease ends, and since it last called.
    is_duplicate
        Whether another process of its name holds a lease.
    """

    name: str = ""
    address: str = ""
    epoch: int = -1
    is_able: bool = True
    left_s: float = 0.0
    last_contact_s: float = 0.0
    is_duplicate: bool = False


class VoterStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "voters": "board",
        "drained_servers": "out",
        "older_leases": "older",
        "blocking_leases": "waits",
        "grace_s": "late_s",
    },
):
    """What a voter knows of the cluster.

    Parameters
    ----------
    epoch, stage, policy, new
        The last decided epoch: its number, its stage, the policy in force and the one to come, or "".
    pending
        The policy that the voter is about to propose, or "".
    voters
        Addresses of those who decide, in order.
    drained_servers
        The servers that operators have taken out of service.
    older_leases
        Leases on earlier epochs that have not ended.
    blocking_leases
        Leases that the change under way waits for.
    members
        All nodes that the voter heard from.
    reasons
        Why nodes cannot serve a policy, by policy and node.
    quiet_s
        Time until the voter may vote.
    grace_s
        How long a node may serve after its lease has ended.
    """

    epoch: int
    stage: str
    policy: str
    new: str = ""
    pending: str = ""
    voters: tuple[str, ...] = ()
    drained_servers: tuple[str, ...] = ()
    older_leases: tuple[OlderLease, ...] = ()
    blocking_leases: tuple[OlderLease, ...] = ()
    members: tuple[MemberStatus, ...] = ()
    reasons: dict[str, dict[str, list[ReportedReason]]] = {}
    quiet_s: float = 0.0
    grace_s: float = 0.0


class ProcessStatus(
    msgspec.Struct,
    frozen=True,
    rename={"voter": "keeper", "voter_waits": "keeper_waits", "voter_addresses": "keepers"},
):
    """The status of one process.

    Parameters
    ----------
    name
        The node.
    serves
        The policies that it serves under.
    voter_addresses
        The voters that it knows of.
    voter
        What it knows as a voter; None: it is none, or knows nothing yet.
    voter_waits
        Why it knows nothing as a voter yet; None: it does, or it is none.
    """

    name: str = ""
    serves: tuple[str, ...] = ()
    voter_addresses: tuple[str, ...] = ()
    voter: VoterStatus | None = None
    voter_waits: str | None = None


class EpochRecord(msgspec.Struct, frozen=True):
    """An epoch in a voter's history: its number, its stage, the policy in force and the one to come."""

    epoch: int
    stage: str
    policy: str
    new: str


def parse_status(document: object) -> ProcessStatus:
    """The status of a process from JSON. msgspec.ValidationError: it is none."""
    return msgspec.convert(document, ProcessStatus)


def parse_history(document: object) -> list[EpochRecord]:
    """The history of a voter from JSON. msgspec.ValidationError: it is none."""
    return msgspec.convert(document, list[EpochRecord])


@dataclass
class ClusterView:
    """What the processes of a cluster reported.

    Parameters
    ----------
    statuses
        By address, of the processes that answered last time.
    epochs
        All epochs that a voter remembered, by number.
    voters_by_policy
        Addresses of the voters that a policy names.
    documents
        The statuses as they were received, for output.
    """

    statuses: dict[str, ProcessStatus] = field(default_factory=dict)
    epochs: dict[int, EpochRecord] = field(default_factory=dict)
    voters_by_policy: dict[str, list[str]] = field(default_factory=dict)
    documents: dict[str, Any] = field(default_factory=dict)

    @property
    def voters(self) -> dict[str, VoterStatus]:
        """The statuses of voters that know the cluster, by address."""
        return {
            address: status.voter for address, status in self.statuses.items() if status.voter is not None
        }

    @property
    def latest(self) -> VoterStatus | None:
        """The voter that knows the latest epoch; None: none answers."""
        voters = list(self.voters.values())
        return max(voters, key=lambda voter: voter.epoch) if voters else None

    def reasons(self, change: str) -> dict[str, list[ReportedReason]]:
        """Why nodes cannot serve a policy, by node."""
        reasons: dict[str, list[ReportedReason]] = {}
        for voter in self.voters.values():
            reasons |= voter.reasons.get(change, {})
        return reasons
