"""The leaseholder of the protocol in `core`, which decides what policies apply to requests. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .core import (
    Decided,
    EpochState,
    LeaseGrant,
    LeaseRequest,
    VoterSets,
    effective_policies,
    has_quorum,
    policies_named,
)

__all__ = ["Leaseholder"]

# Serving epoch that a leaseholder reports while it serves under none.
NO_EPOCH = -1


class Leaseholder(NamedTuple):
    """The state of a process that serves requests.

    Attributes
    ----------
    number : int
        The number of the process.
    voter_sets : VoterSets
        The voter sets of `latest_epoch`; a lease takes grants from a majority of each.
    effective_epoch : EpochState or None
        The epoch that the process serves under.
    lease_end, grace_end : int
        When the lease on that epoch ends, and the grace time after it, ns.
    latest_epoch : EpochState or None
        The latest epoch that the process knows, on which it requests leases.
    round_number : int
        The number of the current round of requests.
    requested_at : int
        When the current round began, ns.
    grants : frozenset of int
        The voters that have granted a lease in this round.
    unserviceable_policies : frozenset of str
        The policies that the process cannot serve.
    """

    number: int
    voter_sets: VoterSets = ()
    effective_epoch: EpochState | None = None
    lease_end: int = 0
    grace_end: int = 0
    latest_epoch: EpochState | None = None
    round_number: int = 0
    requested_at: int = 0
    grants: frozenset[int] = frozenset()
    unserviceable_policies: frozenset[str] = frozenset()

    def policies_in_force(self, now: int) -> tuple[str, ...]:
        """The policies that apply to a request that begins now; it is served under their intersection.

        Until `lease_end` these are the policies in force in the epoch. From then until `grace_end` they are
        all policies that the epoch names, if this process can serve each of them. After that there is none,
        and no request may begin.
        """
        if self.effective_epoch is None or now >= max(self.lease_end, self.grace_end):
            return ()
        if now < self.lease_end:
            return effective_policies(self.effective_epoch)
        policies = policies_named(self.effective_epoch)
        return () if self._cannot_serve(policies) else policies

    def begin_round(self, now: int) -> tuple[Leaseholder, LeaseRequest]:
        """Begin a round of lease requests to all voters.

        The lease is measured from now, which is before any voter has received the request.
        """
        begun = self._replace(round_number=self.round_number + 1, requested_at=now, grants=frozenset())
        is_serving = self.effective_epoch is not None and now < max(self.lease_end, self.grace_end)
        serving_epoch = (
            self.effective_epoch.epoch if self.effective_epoch is not None and is_serving else NO_EPOCH
        )
        can_serve_new = (
            self.latest_epoch is None
            or not self.latest_epoch.new
            or self.latest_epoch.new not in self.unserviceable_policies
        )
        request = LeaseRequest(
            self.number, begun.round_number, self.latest_epoch, serving_epoch, can_serve_new
        )
        return begun, request

    def on_grant(self, grant: LeaseGrant, lease: int, grace: int = 0) -> Leaseholder:
        """Count a grant; once a quorum has granted the lease, the process serves under that epoch.

        lease, grace: the duration of the lease from the beginning of the round, and of the grace time after
        it, ns.
        """
        latest = self.latest_epoch
        if latest is None or (grant.round_number, grant.epoch) != (self.round_number, latest.epoch):
            return self
        counted = self._replace(grants=self.grants | {grant.voter})
        if not has_quorum(self.voter_sets, counted.grants) or self._cannot_serve(effective_policies(latest)):
            return counted
        lease_end = self.requested_at + lease
        return counted._replace(effective_epoch=latest, lease_end=lease_end, grace_end=lease_end + grace)

    def on_decided(self, message: Decided, voter_sets: VoterSets) -> Leaseholder:
        """Learn of a later epoch. The effective epoch stays until a lease on the later one is granted."""
        if self.latest_epoch is not None and message.state.epoch <= self.latest_epoch.epoch:
            return self
        return self._replace(latest_epoch=message.state, voter_sets=voter_sets, grants=frozenset())

    def _cannot_serve(self, policies: Iterable[str]) -> bool:
        return any(policy in self.unserviceable_policies for policy in policies)
