"""The state of a cluster as its voters report it: their status and history, parsed from JSON. Pure."""

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
    """A lease that blocks a voter until it has ended.

    Parameters
    ----------
    name
        The name of the leaseholder.
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
    """A node as reported by one voter.

    Parameters
    ----------
    address
        The address of its admin endpoint.
    epoch
        The epoch that it serves under.
    is_able
        Whether it can serve the new policy.
    left_s, last_contact_s
        Time until its lease ends, and time since its last request.
    is_duplicate
        Whether it holds a lease and another process has the same name.
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
    """The cluster as reported by one voter.

    Parameters
    ----------
    epoch, stage, policy, new
        The last decided epoch: its number, stage, policy, and the proposed policy or "".
    pending
        The policy that the voter is about to propose, or "".
    voters
        Addresses of the voters that the policy names, in order.
    drained_servers
        The servers that operators have taken out of service.
    older_leases
        Leases on earlier epochs that have not ended.
    blocking_leases
        Leases that the change in progress waits for.
    members
        All nodes that have recently requested leases from the voter.
    reasons
        Why nodes cannot serve a policy, by policy and node.
    quiet_s
        Time until the voter may vote again after a restart.
    grace_s
        How long a node may continue to serve after its lease has ended.
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
        The name of the node.
    serves
        The policies that it serves under.
    voter_addresses
        The addresses of the voters that it knows.
    voter
        Its status as a voter; None if it is not a voter, or has no state yet.
    voter_waits
        Why it has no state as a voter yet; None if it has one, or is not a voter.
    """

    name: str = ""
    serves: tuple[str, ...] = ()
    voter_addresses: tuple[str, ...] = ()
    voter: VoterStatus | None = None
    voter_waits: str | None = None


class EpochRecord(msgspec.Struct, frozen=True):
    """An epoch in a voter's history: its number, stage, policy, and the proposed policy or ""."""

    epoch: int
    stage: str
    policy: str
    new: str


def parse_status(document: object) -> ProcessStatus:
    """Parse the status of a process. msgspec.ValidationError: the document is not a status."""
    return msgspec.convert(document, ProcessStatus)


def parse_history(document: object) -> list[EpochRecord]:
    """Parse the history of a voter. msgspec.ValidationError: the document is not a history."""
    return msgspec.convert(document, list[EpochRecord])


@dataclass
class ClusterView:
    """The reports of the processes of a cluster.

    Parameters
    ----------
    statuses
        By address, the statuses of the processes that replied to the last poll.
    epochs
        By number, all epochs that are in the history of a voter.
    voters_by_policy
        By name of a policy, the addresses of the voters that it names.
    documents
        By address, the statuses as received, for output.
    """

    statuses: dict[str, ProcessStatus] = field(default_factory=dict)
    epochs: dict[int, EpochRecord] = field(default_factory=dict)
    voters_by_policy: dict[str, list[str]] = field(default_factory=dict)
    documents: dict[str, Any] = field(default_factory=dict)

    @property
    def voters(self) -> dict[str, VoterStatus]:
        """The statuses of the voters that have a state, by address."""
        return {
            address: status.voter for address, status in self.statuses.items() if status.voter is not None
        }

    @property
    def latest(self) -> VoterStatus | None:
        """The status of a voter that knows the latest epoch; None if no voter replied."""
        voters = list(self.voters.values())
        return max(voters, key=lambda voter: voter.epoch) if voters else None

    def reasons(self, change: str) -> dict[str, list[ReportedReason]]:
        """Why nodes cannot serve a policy, by node."""
        reasons: dict[str, list[ReportedReason]] = {}
        for voter in self.voters.values():
            reasons |= voter.reasons.get(change, {})
        return reasons
