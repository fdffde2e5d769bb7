"""Defects of the core that the model check must find: each a part with one rule left out."""

from __future__ import annotations

from collections.abc import Iterable

from .core import (
    Accept,
    Accepted,
    Acceptor,
    Decided,
    EpochState,
    Lease,
    LeaseGrant,
    Leaseholder,
    LeaseRequest,
    Prepare,
    Promise,
    Proposer,
    Stage,
    effective_policies,
    is_valid_successor,
)
from .model_check import Parts

__all__ = ["DEFECTS"]


class _ForgetsVotes(Acceptor):
    """It votes before its vote is on the disk."""

    def reborn(self, now: int, lease: int) -> Acceptor:
        return super().reborn(now, lease)._replace(promised=(0, 0), accepted=None)


class _ForgetsPromises(Acceptor):
    """Its promise is not on the disk."""

    def reborn(self, now: int, lease: int) -> Acceptor:
        return super().reborn(now, lease)._replace(promised=(0, 0))


class _VotesAtOnce(Acceptor):
    """Reborn it votes without waiting for the leases of its former life."""

    def reborn(self, now: int, lease: int) -> Acceptor:
        return super().reborn(now, lease)._replace(quiet=0)


class _WaitsForNobody(Acceptor):
    """It votes though a node that is silent may still serve under an epoch before the last."""

    def may_vote(self, now: int, state: EpochState) -> bool:
        refused = state.stage is Stage.NARROW and bool(self.refused(now))
        return (
            is_valid_successor(self.decided, state)
            and now >= self.quiet
            and not refused
            and state.epoch > self.mute
        )


class _GrantsAfterItsVote(Acceptor):
    """It grants a lease to a node that says no after it has voted for NARROW."""

    def hear_ask(
        self, now: int, ask: LeaseRequest, lease: int, late: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        after, answer = Acceptor.hear_ask(self._replace(accepted=None), now, ask, lease, late)
        same = after.decided == self.decided
        return after._replace(accepted=self.accepted) if same else after, answer


class _HearsNoNo(Acceptor):
    """A node's no does not keep it from voting for NARROW."""

    def refused(self, now: int) -> tuple[int, ...]:
        return ()


class _ComparesNothing(Acceptor):
    """It votes for any later epoch, whatever it was made on."""

    def may_vote(self, now: int, state: EpochState) -> bool:
        waits = any(one.epoch < self.decided.epoch and one.until > now for one in self.leases)
        return state.epoch > self.decided.epoch and now >= self.quiet and not waits


class _VotesTwice(Acceptor):
    """It votes under a ballot below the one that it promised."""

    def hear_accept(self, now: int, call: Accept) -> tuple[Acceptor, Accepted | Decided | None]:
        return Acceptor.hear_accept(self._replace(promised=(0, 0)), now, call)


class _TellsNothing(Acceptor):
    """It does not tell what it voted for already."""

    def hear_prepare(self, call: Prepare) -> tuple[Acceptor, Promise | Decided | None]:
        after, answer = super().hear_prepare(call)
        return after, answer._replace(accepted=None) if isinstance(answer, Promise) else answer


class _GrantsOldEpochs(Acceptor):
    """It grants leases on whatever epoch a node asks for."""

    def hear_ask(
        self, now: int, ask: LeaseRequest, lease: int, late: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        if ask.state is not None and ask.state.epoch < self.decided.epoch:
            return self, LeaseGrant(self.me, ask.turn, ask.state.epoch)
        return super().hear_ask(now, ask, lease, late)


class _ShortLeases(Acceptor):
    """It takes a lease for over while its node still counts on it."""

    def hear_ask(
        self, now: int, ask: LeaseRequest, lease: int, late: int = 0
    ) -> tuple[Acceptor, LeaseGrant | Decided | None]:
        return super().hear_ask(now, ask, lease - 2, late)


class _FromTheAnswer(Leaseholder):
    """It counts its lease from the answer, not from before it asked."""

    def hear_grant(self, grant: LeaseGrant, lease: int, late: int = 0) -> Leaseholder:
        return super().hear_grant(grant, lease + 2, late)


class _OneGrant(Leaseholder):
    """One keeper's grant is enough for it."""

    def hear_grant(self, grant: LeaseGrant, lease: int, late: int = 0) -> Leaseholder:
        return Leaseholder.hear_grant(
            self._replace(boards=(frozenset({grant.keeper}),)), grant, lease, late
        )._replace(boards=self.boards)


class _OldGrants(Leaseholder):
    """It counts grants of an earlier call with those of the present one."""

    def begin(self, now: int) -> tuple[Leaseholder, LeaseRequest]:
        after, ask = super().begin(now)
        return after._replace(grants=self.grants), ask


class _NeverOver(Leaseholder):
    """It does not look at the end of its lease when a request begins."""

    def serves(self, now: int) -> tuple[str, ...]:
        return effective_policies(self.at) if self.at is not None else ()


class _ServesAnything(Leaseholder):
    """It serves under a policy that it cannot serve."""

    def hear_grant(self, grant: LeaseGrant, lease: int, late: int = 0) -> Leaseholder:
        return Leaseholder.hear_grant(self._replace(unfit=frozenset()), grant, lease, late)._replace(
            unfit=self.unfit
        )


class _SaysYes(Leaseholder):
    """It says yes without looking."""

    def begin(self, now: int) -> tuple[Leaseholder, LeaseRequest]:
        after, ask = super().begin(now)
        return after, ask._replace(able=True)


class _AnyVotes(Proposer):
    """A majority of those that answered is enough for it: here, the first."""

    def hear_accepted(self, vote: Accepted) -> tuple[Proposer, Decided | None]:
        after, _ = super().hear_accepted(vote)
        return after._replace(decided=vote.state), Decided(vote.state)


class _DropsDoubts(Proposer):
    """It puts its own wish in the place of one that may have been decided."""

    def hear_promise(self, promise: Promise) -> tuple[Proposer, Accept | None]:
        return super().hear_promise(promise._replace(accepted=None))


class _VotesAnew(Acceptor):
    """It has lost its disk and votes at once, though it may have voted before."""

    @staticmethod
    def anew(me: int, now: int, lease: int, told: Iterable[tuple[EpochState, EpochState | None]]) -> Acceptor:
        return _VotesAnew(*Acceptor.anew(me, now, lease, told))._replace(mute=0)


class _IgnoresLate(Acceptor):
    """It takes a node whose lease is over for silent, though that goes on under what it knows."""

    def waits_for(self, now: int, state: EpochState) -> tuple[Lease, ...]:
        return tuple(one for one in self.leases if one.epoch < self.decided.epoch and one.until > now)


DEFECTS: dict[str, Parts] = {
    "voted before stored": Parts(keeper=_ForgetsVotes),
    "promised before stored": Parts(keeper=_ForgetsPromises),
    "reborn and not quiet": Parts(keeper=_VotesAtOnce),
    "a silent node not waited for": Parts(keeper=_WaitsForNobody),
    "a no heard too late": Parts(keeper=_GrantsAfterItsVote),
    "a no not heard": Parts(keeper=_HearsNoNo),
    "parent not compared": Parts(keeper=_ComparesNothing, skips=True),
    "votes below its promise": Parts(keeper=_VotesTwice),
    "votes not told": Parts(keeper=_TellsNothing),
    "leases on old epochs": Parts(keeper=_GrantsOldEpochs),
    "leases over too soon": Parts(keeper=_ShortLeases),
    "lease counted from the answer": Parts(node=_FromTheAnswer),
    "one grant enough": Parts(node=_OneGrant),
    "old grants counted": Parts(node=_OldGrants),
    "end of the lease not looked at": Parts(node=_NeverOver),
    "serves what it cannot": Parts(node=_ServesAnything),
    "yes without looking": Parts(node=_SaysYes),
    "majority of those that answered": Parts(driver=_AnyVotes),
    "in doubt and dropped": Parts(driver=_DropsDoubts),
    "votes with a lost disk": Parts(keeper=_VotesAnew),
    "nodes that are late not waited for": Parts(keeper=_IgnoresLate),
}
