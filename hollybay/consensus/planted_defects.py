"""Planted defects of the protocol that the model check must find: roles that each omit one rule."""

from __future__ import annotations

from collections.abc import Iterable

from .acceptor import Acceptor, Lease
from .core import (
    NO_BALLOT,
    Accept,
    Accepted,
    Decided,
    EpochState,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Stage,
    effective_policies,
    is_valid_successor,
)
from .leaseholder import Leaseholder
from .model_world import Roles
from .proposer import Proposer

__all__ = ["DEFECTS"]


# Acceptors


class _ForgetsVotes(Acceptor):
    """Votes before its vote is on disk."""

    def restarted(self, now: int, lease: int) -> Acceptor:
        return super().restarted(now, lease)._replace(promised=NO_BALLOT, accepted=None)


class _ForgetsPromises(Acceptor):
    """Promises before its promise is on disk."""

    def restarted(self, now: int, lease: int) -> Acceptor:
        return super().restarted(now, lease)._replace(promised=NO_BALLOT)


class _VotesAfterRestart(Acceptor):
    """Votes after a restart without waiting for the end of leases that it granted before."""

    def restarted(self, now: int, lease: int) -> Acceptor:
        return super().restarted(now, lease)._replace(no_vote_before=0)


class _IgnoresLeases(Acceptor):
    """Votes although a silent node may still serve under an epoch before the decided one."""

    def may_vote(self, now: int, state: EpochState) -> bool:
        is_unserviceable = state.stage is Stage.JOINT and bool(self.nodes_unable_to_serve(now))
        return (
            is_valid_successor(self.decided, state)
            and now >= self.no_vote_before
            and not is_unserviceable
            and state.epoch > self.last_barred_epoch
        )


class _GrantsAfterVote(Acceptor):
    """Grants a lease to a node that cannot serve the new policy after it has voted for JOINT."""

    def grant_lease(
        self, now: int, request: LeaseRequest, lease: int, grace: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        without_vote = self._replace(accepted=None)
        after, reply = Acceptor.grant_lease(without_vote, now, request, lease, grace)
        if after.decided == self.decided:
            after = after._replace(accepted=self.accepted)
        return after, reply


class _IgnoresUnserviceable(Acceptor):
    """Votes for JOINT although a node cannot serve the new policy."""

    def nodes_unable_to_serve(self, *_args: int) -> tuple[int, ...]:
        return ()


class _IgnoresParent(Acceptor):
    """Votes for any later epoch, even for one that is not a valid successor."""

    def may_vote(self, now: int, state: EpochState) -> bool:
        is_blocked = any(lease.epoch < self.decided.epoch and lease.lease_end > now for lease in self.leases)
        return state.epoch > self.decided.epoch and now >= self.no_vote_before and not is_blocked


class _BreaksPromise(Acceptor):
    """Votes under a ballot below the one that it promised."""

    def on_accept(self, now: int, message: Accept) -> tuple[Acceptor, Accepted | Decided | None]:
        return Acceptor.on_accept(self._replace(promised=NO_BALLOT), now, message)


class _OmitsVote(Acceptor):
    """Omits its earlier vote from a promise."""

    def on_prepare(self, message: Prepare) -> tuple[Acceptor, Promise | Decided | None]:
        after, reply = super().on_prepare(message)
        return after, reply._replace(accepted=None) if isinstance(reply, Promise) else reply


class _GrantsOldEpochs(Acceptor):
    """Grants leases on any requested epoch, even an old one."""

    def grant_lease(
        self, now: int, request: LeaseRequest, lease: int, grace: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        if request.state is not None and request.state.epoch < self.decided.epoch:
            return self, LeaseGrant(self.number, request.round_number, request.state.epoch)
        return super().grant_lease(now, request, lease, grace)


class _CountsShortLeases(Acceptor):
    """Considers a lease ended while its holder still serves under it."""

    def grant_lease(
        self, now: int, request: LeaseRequest, lease: int, grace: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        return super().grant_lease(now, request, lease - 2, grace)


class _VotesAfterDiskLoss(Acceptor):
    """Votes at once after it lost its disk, although it may have voted before."""

    @staticmethod
    def recovered(
        number: int, now: int, lease: int, known: Iterable[tuple[EpochState, EpochState | None]]
    ) -> Acceptor:
        return _VotesAfterDiskLoss(*Acceptor.recovered(number, now, lease, known))._replace(
            last_barred_epoch=0
        )


class _IgnoresGrace(Acceptor):
    """Ignores that a node still serves in its grace time after its lease has ended."""

    def blocking_leases(self, now: int, *_args: EpochState) -> tuple[Lease, ...]:
        return tuple(
            lease for lease in self.leases if lease.epoch < self.decided.epoch and lease.lease_end > now
        )


# Leaseholders


class _CountsFromReply(Leaseholder):
    """Counts its lease from the reply instead of from before the request."""

    def on_grant(self, grant: LeaseGrant, lease: int, grace: int = 0) -> Leaseholder:
        return super().on_grant(grant, lease + 2, grace)


class _NeedsOneGrant(Leaseholder):
    """Serves under the grant of a single voter."""

    def on_grant(self, grant: LeaseGrant, lease: int, grace: int = 0) -> Leaseholder:
        single_voter = self._replace(voter_sets=(frozenset({grant.voter}),))
        return Leaseholder.on_grant(single_voter, grant, lease, grace)._replace(voter_sets=self.voter_sets)


class _KeepsOldGrants(Leaseholder):
    """Counts grants of an earlier round together with those of the current one."""

    def begin_round(self, now: int) -> tuple[Leaseholder, LeaseRequest]:
        after, request = super().begin_round(now)
        return after._replace(grants=self.grants), request


class _IgnoresLeaseEnd(Leaseholder):
    """Does not check the end of its lease when a request begins."""

    def policies_in_force(self, *_args: int) -> tuple[str, ...]:
        return effective_policies(self.effective_epoch) if self.effective_epoch is not None else ()


class _ServesUnserviceable(Leaseholder):
    """Serves under a policy that it cannot serve."""

    def on_grant(self, grant: LeaseGrant, lease: int, grace: int = 0) -> Leaseholder:
        able = self._replace(unserviceable_policies=frozenset())
        return Leaseholder.on_grant(able, grant, lease, grace)._replace(
            unserviceable_policies=self.unserviceable_policies
        )


class _ReportsServiceable(Leaseholder):
    """Reports that it can serve any new policy."""

    def begin_round(self, now: int) -> tuple[Leaseholder, LeaseRequest]:
        after, request = super().begin_round(now)
        return after, request._replace(can_serve_new=True)


# Proposers


class _NeedsNoQuorum(Proposer):
    """Takes a majority of the voters that replied for a quorum: here, the first vote."""

    def on_accepted(self, vote: Accepted) -> tuple[Proposer, Decided | None]:
        after, _ = super().on_accepted(vote)
        return after._replace(decided=vote.state), Decided(vote.state)


class _IgnoresVotes(Proposer):
    """Replaces a proposal that may have been decided by its own."""

    def on_promise(self, promise: Promise) -> tuple[Proposer, Accept | None]:
        return super().on_promise(promise._replace(accepted=None))


DEFECTS: dict[str, Roles] = {
    "voted before stored": Roles(acceptor=_ForgetsVotes),
    "promised before stored": Roles(acceptor=_ForgetsPromises),
    "reborn and not quiet": Roles(acceptor=_VotesAfterRestart),
    "a silent node not waited for": Roles(acceptor=_IgnoresLeases),
    "a no heard too late": Roles(acceptor=_GrantsAfterVote),
    "a no not heard": Roles(acceptor=_IgnoresUnserviceable),
    "parent not compared": Roles(acceptor=_IgnoresParent, skips_joint=True),
    "votes below its promise": Roles(acceptor=_BreaksPromise),
    "votes not told": Roles(acceptor=_OmitsVote),
    "leases on old epochs": Roles(acceptor=_GrantsOldEpochs),
    "leases over too soon": Roles(acceptor=_CountsShortLeases),
    "lease counted from the answer": Roles(leaseholder=_CountsFromReply),
    "one grant enough": Roles(leaseholder=_NeedsOneGrant),
    "old grants counted": Roles(leaseholder=_KeepsOldGrants),
    "end of the lease not looked at": Roles(leaseholder=_IgnoresLeaseEnd),
    "serves what it cannot": Roles(leaseholder=_ServesUnserviceable),
    "yes without looking": Roles(leaseholder=_ReportsServiceable),
    "majority of those that answered": Roles(proposer=_NeedsNoQuorum),
    "in doubt and dropped": Roles(proposer=_IgnoresVotes),
    "votes with a lost disk": Roles(acceptor=_VotesAfterDiskLoss),
    "nodes that are late not waited for": Roles(acceptor=_IgnoresGrace),
}
