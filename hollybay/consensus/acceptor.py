"""The acceptor of the protocol in `core`: it grants leases and votes. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .core import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Decided,
    EpochState,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Stage,
    effective_policies,
    is_valid_successor,
    policies_named,
)

__all__ = ["Acceptor", "Lease"]


class Lease(NamedTuple):
    """A lease as its acceptor counts it.

    Attributes
    ----------
    node : int
        The number of the leaseholder.
    epoch : int
    lease_end : int
        When it has ended at the latest, ns.
    can_serve_new : bool
        Whether the leaseholder could serve the new policy of the epoch.
    grace_end : int
        Until when the leaseholder may serve under the intersection of `policies`, ns.
    policies : tuple of str
        The policies that the epoch names.
    """

    node: int
    epoch: int
    lease_end: int
    can_serve_new: bool
    grace_end: int = 0
    policies: tuple[str, ...] = ()


class Acceptor(NamedTuple):
    """A voter. `decided`, `promised` and `accepted` must be on disk before they are sent.

    Attributes
    ----------
    number : int
        Its own number.
    decided : EpochState
        The last epoch that it knows to be decided.
    promised : Ballot
        It accepts no lower ballot for the next epoch.
    accepted : tuple of Ballot and EpochState, or None
        What it has voted for as the next epoch.
    leases : tuple of Lease
        The leases that it granted; they are not on disk.
    no_vote_before : int
        Until when (ns) it must not vote, as it may have granted leases before it restarted.
    last_barred_epoch : int
        The last epoch that it must not vote for, as it may have voted or promised before it lost its disk.
    """

    number: int
    decided: EpochState
    promised: Ballot = NO_BALLOT
    accepted: tuple[Ballot, EpochState] | None = None
    leases: tuple[Lease, ...] = ()
    no_vote_before: int = 0
    last_barred_epoch: int = 0

    # Leases

    def grant_lease(
        self, now: int, request: LeaseRequest, lease: int, grace: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        """Grant a lease on the decided epoch, or state which epoch that is.

        Parameters
        ----------
        now : int
            The time, ns.
        request : LeaseRequest
        lease : int
            How long the lease lasts, with the margin for clocks that drift apart, ns.
        grace : int
            How long its holder may serve on after it, ns.

        Returns
        -------
        tuple
            The next state, and the answer; None where the leaseholder cannot serve what this acceptor has
            voted for, or may have.
        """
        known = self.on_decided(Decided(request.state)) if request.state is not None else self
        if request.state is None or request.state.epoch < known.decided.epoch:
            return known, Decided(known.decided)
        epoch = request.state.epoch
        if not request.can_serve_new and (known.voted_joint or epoch < known.last_barred_epoch):
            return known, None
        lease_end = now + lease
        granted = Lease(
            request.node,
            epoch,
            lease_end,
            request.can_serve_new,
            lease_end + grace,
            policies_named(request.state),
        )
        leases = (*known._leases_kept(now, request, epoch), granted)
        answer = LeaseGrant(known.number, request.round_number, epoch)
        return known._replace(leases=tuple(sorted(leases))), answer

    def _leases_kept(self, now: int, request: LeaseRequest, epoch: int) -> list[Lease]:
        """The leases that still count beside the one that is granted for a request."""
        # A leaseholder never again uses a lease on an epoch before the one that it serves under.
        return [
            lease
            for lease in self.leases
            if max(lease.lease_end, lease.grace_end) > now
            and not (
                lease.node == request.node and (lease.epoch < request.serving_epoch or lease.epoch == epoch)
            )
        ]

    def blocking_leases(self, now: int, state: EpochState) -> tuple[Lease, ...]:
        """The leases that must end before it may vote for an epoch."""
        in_force = set(effective_policies(state))
        return tuple(
            lease
            for lease in self.leases
            if (lease.epoch < self.decided.epoch and lease.lease_end > now)
            or (lease.grace_end > now and in_force.isdisjoint(lease.policies))
        )

    def nodes_unable_to_serve(self, now: int) -> tuple[int, ...]:
        """The holders of a lease on the decided epoch that cannot serve its new policy."""
        return tuple(
            lease.node
            for lease in self.leases
            if lease.epoch == self.decided.epoch and lease.lease_end > now and not lease.can_serve_new
        )

    # Paxos

    @property
    def voted_joint(self) -> bool:
        """Whether it has voted for JOINT as the epoch after the decided one."""
        return self.accepted is not None and self.accepted[1].stage is Stage.JOINT

    def on_prepare(self, message: Prepare) -> tuple[Acceptor, Promise | Decided | None]:
        """Promise to accept no lower ballot.

        Returns
        -------
        tuple
            The next state, and the answer; None where it has promised a higher ballot, must not promise, or
            where the proposer knows of a later epoch.
        """
        if message.epoch < self.decided.epoch:
            return self, Decided(self.decided)
        if (
            message.epoch > self.decided.epoch
            or message.ballot <= self.promised
            or message.epoch < self.last_barred_epoch
        ):
            return self, None
        promised = self._replace(promised=message.ballot)
        return promised, Promise(self.number, message.ballot, message.epoch, self.accepted)

    def may_vote(self, now: int, state: EpochState) -> bool:
        """Whether it may vote for an epoch now.

        The epoch must be a valid successor that this acceptor is not barred from. Nobody may still serve
        under an epoch before the decided one, nor in a grace time under none of the policies that the epoch
        puts in force; and for JOINT no leaseholder may have said that it cannot serve the new policy.
        """
        return (
            is_valid_successor(self.decided, state)
            and now >= self.no_vote_before
            and state.epoch > self.last_barred_epoch
            and not self.blocking_leases(now, state)
            and not (state.stage is Stage.JOINT and self.nodes_unable_to_serve(now))
        )

    def on_accept(self, now: int, message: Accept) -> tuple[Acceptor, Accepted | Decided | None]:
        """Vote for an epoch; the answer is None where it may not now, or has promised a higher ballot."""
        if message.state.epoch <= self.decided.epoch:
            return self, Decided(self.decided)
        if message.ballot < self.promised or not self.may_vote(now, message.state):
            return self, None
        voted = self._replace(promised=message.ballot, accepted=(message.ballot, message.state))
        return voted, Accepted(self.number, message.ballot, message.state)

    def on_decided(self, message: Decided) -> Acceptor:
        """Learn that an epoch is decided."""
        if message.state.epoch <= self.decided.epoch:
            return self
        return self._replace(decided=message.state, promised=NO_BALLOT, accepted=None)

    # Restart and recovery

    def restarted(self, now: int, lease: int) -> Acceptor:
        """The state after a restart, from what is on disk.

        lease: the longest time (ns) that a lease it granted may still last, with its grace time.
        """
        return self._replace(leases=(), no_vote_before=now + lease)

    @staticmethod
    def recovered(
        number: int, now: int, lease: int, known: Iterable[tuple[EpochState, EpochState | None]]
    ) -> Acceptor:
        """The state of an acceptor that lost its disk, from what a majority of the others know.

        Whatever it said before is of the epoch after the last that any of them knows or voted for, at the
        latest; it takes part in none up to that one.

        Parameters
        ----------
        number : int
            Its own number.
        now : int
            The time, ns.
        lease : int
            The longest time that a lease it granted may still last, with its grace time, ns.
        known : iterable
            The decided epoch that each of the others knows, and the epoch that it voted for.
        """
        answers = list(known)
        decided = max(state for state, _ in answers)
        last = max(state.epoch for pair in answers for state in pair if state is not None)
        return Acceptor(number, decided, no_vote_before=now + lease, last_barred_epoch=last + 1)
