"""The acceptor of the protocol in `core`, which votes for epochs and grants leases. No I/O."""

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
    """A lease as the acceptor that granted it accounts for it.

    Attributes
    ----------
    node : int
        The number of the leaseholder.
    epoch : int
    lease_end : int
        When the lease has ended at the latest, ns.
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
    """The state of a voter. `decided`, `promised` and `accepted` must be on disk before they are sent.

    Attributes
    ----------
    number : int
        The number of the voter.
    decided : EpochState
        The last epoch that the voter knows to be decided.
    promised : Ballot
        The highest ballot that it has promised; it accepts no lower one for the next epoch.
    accepted : tuple of Ballot and EpochState, or None
        The ballot and the next epoch that it has voted for.
    leases : tuple of Lease
        The leases that it has granted; they are not stored on disk.
    no_vote_before : int
        Time (ns) before which it must not vote, because leases that it granted before a restart may still
        be valid.
    last_barred_epoch : int
        The last epoch that it must not vote for, because it may have voted or promised for it before it
        lost its disk.
    """

    number: int
    decided: EpochState
    promised: Ballot = NO_BALLOT
    accepted: tuple[Ballot, EpochState] | None = None
    leases: tuple[Lease, ...] = ()
    no_vote_before: int = 0
    last_barred_epoch: int = 0

    # Granting leases

    def grant_lease(
        self, now: int, request: LeaseRequest, lease: int, grace: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        """Grant a lease on the decided epoch, or reply with that epoch if the request names an earlier one.

        Parameters
        ----------
        now : int
            The time, ns.
        request : LeaseRequest
        lease : int
            The duration of the lease, including the margin for clock drift, ns.
        grace : int
            How long the leaseholder may continue to serve after the lease, ns.

        Returns
        -------
        tuple
            The next state, and the reply. The reply is None if the leaseholder cannot serve the new policy
            and this acceptor has voted for JOINT, or may have done so before it lost its disk.
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
        leases = (*known._remaining_leases(now, request, epoch), granted)
        answer = LeaseGrant(known.number, request.round_number, epoch)
        return known._replace(leases=tuple(sorted(leases))), answer

    def _remaining_leases(self, now: int, request: LeaseRequest, epoch: int) -> list[Lease]:
        """The leases that may still be in use, other than the one that is granted for a request."""
        # A leaseholder does not use leases on epochs before the one that it serves under any more.
        return [
            lease
            for lease in self.leases
            if max(lease.lease_end, lease.grace_end) > now
            and not (
                lease.node == request.node and (lease.epoch < request.serving_epoch or lease.epoch == epoch)
            )
        ]

    def blocking_leases(self, now: int, state: EpochState) -> tuple[Lease, ...]:
        """The leases that must end before this acceptor may vote for an epoch."""
        in_force = set(effective_policies(state))
        return tuple(
            lease
            for lease in self.leases
            if (lease.epoch < self.decided.epoch and lease.lease_end > now)
            or (lease.grace_end > now and in_force.isdisjoint(lease.policies))
        )

    def nodes_unable_to_serve(self, now: int) -> tuple[int, ...]:
        """The nodes with a lease on the decided epoch that cannot serve its new policy."""
        return tuple(
            lease.node
            for lease in self.leases
            if lease.epoch == self.decided.epoch and lease.lease_end > now and not lease.can_serve_new
        )

    # Promises and votes (Paxos)

    @property
    def voted_joint(self) -> bool:
        """Whether this acceptor has voted for JOINT as the epoch after the decided one."""
        return self.accepted is not None and self.accepted[1].stage is Stage.JOINT

    def on_prepare(self, message: Prepare) -> tuple[Acceptor, Promise | Decided | None]:
        """Promise to accept no lower ballot.

        Returns
        -------
        tuple
            The next state, and the reply. The reply is None if this acceptor has promised the same or a
            higher ballot, is barred from the epoch, or does not know the epoch that the proposer builds on.
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
        """Whether this acceptor may vote for an epoch now.

        The epoch must be a valid successor of the decided one, and this acceptor must not be barred from it.
        No leaseholder may still hold a lease on an epoch before the decided one, or a grace time under
        policies none of which the new epoch puts in force. For JOINT, no leaseholder may have reported that
        it cannot serve the new policy.
        """
        return (
            is_valid_successor(self.decided, state)
            and now >= self.no_vote_before
            and state.epoch > self.last_barred_epoch
            and not self.blocking_leases(now, state)
            and not (state.stage is Stage.JOINT and self.nodes_unable_to_serve(now))
        )

    def on_accept(self, now: int, message: Accept) -> tuple[Acceptor, Accepted | Decided | None]:
        """Vote for an epoch. The reply is None if it may not vote now or has promised a higher ballot."""
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
        """The state after a restart, made from the state on disk.

        lease: how long (ns) a lease that was granted before the restart may still last, with its grace time.
        """
        return self._replace(leases=(), no_vote_before=now + lease)

    @staticmethod
    def recovered(
        number: int, now: int, lease: int, known: Iterable[tuple[EpochState, EpochState | None]]
    ) -> Acceptor:
        """The state of an acceptor that lost its disk, made from what a majority of the others know.

        Any promise or vote that it made before concerns at most the epoch after the last one that any of
        the others knows or has voted for. It is barred from all epochs up to and including that one.

        Parameters
        ----------
        number : int
            The number of the voter.
        now : int
            The time, ns.
        lease : int
            How long a lease that it granted may still last, with its grace time, ns.
        known : iterable
            For each of the others, the decided epoch that it knows and the epoch that it has voted for.
        """
        answers = list(known)
        decided = max(state for state, _ in answers)
        last = max(state.epoch for pair in answers for state in pair if state is not None)
        return Acceptor(number, decided, no_vote_before=now + lease, last_barred_epoch=last + 1)
