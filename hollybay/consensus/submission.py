"""Submission of one resource change: offers it to voters until its outcome is known."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Iterable
from enum import Enum

from hollybay.resources.model import Change
from hollybay.resources.wire import encode_change

from .cluster_view import ClusterView
from .errors import RejectedError
from .http_status import CONFLICT, INSUFFICIENT_STORAGE
from .messages import ChangeCall, ChangeOutcome, ChangeReply, decode, encode
from .reasons import ReportedReason
from .requests import NO_ANSWER, CallFailedError
from .verdict import ExitStatus, Verdict, judge_settled
from .voter_client import (
    MAX_INLINE_BYTES,
    POLL_INTERVAL_S,
    VoterClient,
    invalid_input,
    problems_in,
    retry_after_s,
)

__all__ = ["ChangeSubmission"]

# How long a change may wait at one voter before it is offered to another one; longer than queues should take.
NEXT_VOTER_AFTER_S = 15.0
_WAITING = (ChangeOutcome.QUEUED, ChangeOutcome.UNDER_WAY)


class _OfferReaction(Enum):
    """How to proceed after a voter replied to an offer with an error."""

    TRY_NEXT = "try the next voter"
    ASK_OTHERS = "rejected by this voter: ask the others"
    STOP = "the input is invalid"


class ChangeSubmission:
    """One resource change that is being submitted.

    The change may be offered to several voters under the same id if some do not reply. It counts as rejected
    only once all voters that may have it have rejected it.

    Parameters
    ----------
    client
        Sends requests to the voters.
    change
        The change to submit.
    offered_to
        Voters to which it may have been offered before.
    """

    def __init__(self, client: VoterClient, change: Change, offered_to: Iterable[str] = ()) -> None:
        self.client = client
        self.change = change
        self.id = change.id.hex()
        self._offered_to = set(offered_to)
        self._rejections: dict[str, list[ReportedReason]] = {}  # problems by address
        self._retry_after_s = 0.0
        self._settled_epoch = 0  # the earliest known epoch in which it is in force; 0 if none

    async def run(self, limit_s: float) -> Verdict:
        """Offer the change and wait for its outcome, for at most `limit_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        next_voter_at = loop.time() + NEXT_VOTER_AFTER_S
        while True:
            while loop.time() < min(deadline, next_voter_at) and await self._is_waiting():
                await asyncio.sleep(POLL_INTERVAL_S)
            view = await self.client.refresh()
            verdict = await self._verdict(view)
            if verdict is not None and (verdict.is_final or loop.time() >= deadline):
                return verdict
            if verdict is None or loop.time() >= next_voter_at:
                # The change is unknown, or waits without progress: its voter may be cut off from the others.
                next_voter_at = loop.time() + NEXT_VOTER_AFTER_S
                verdict = await self._offer_to_any(view, only_new=verdict is not None)
                if verdict.is_final or loop.time() >= deadline:
                    return verdict
            await asyncio.sleep(max(POLL_INTERVAL_S, min(self._retry_after_s, deadline - loop.time())))
            self._retry_after_s = 0.0

    # Status

    async def _status_at(self, address: str) -> ChangeReply | None:
        """The status of the change at a voter; None if it did not reply."""
        try:
            return decode(await self.client.call(address, f"change/{self.id}", None), ChangeReply)
        except (CallFailedError, RejectedError):
            return None

    async def _is_waiting(self) -> bool:
        """Whether the change is queued or under way at a voter. Cheap enough for each poll."""
        for address in sorted(self._offered_to - self._rejections.keys()):
            reply = await self._status_at(address)
            if reply is not None and reply.outcome in _WAITING:
                return True
        return False

    async def _verdict(self, view: ClusterView) -> Verdict | None:
        """The verdict by the replies of all voters; None if the change must be offered (again)."""
        if not self._offered_to:
            return None
        replies: dict[str, ChangeReply] = {}
        for address in view.voters:
            reply = await self._status_at(address)
            if reply is not None:
                replies[address] = reply
        for reply in replies.values():
            if reply.outcome is ChangeOutcome.IN_FORCE:
                return await self._verdict_in_force(view, reply)
        for reply in replies.values():
            if reply.outcome in _WAITING:
                name = reply.policy or self.id
                return Verdict(ExitStatus.UNKNOWN, name, reply.epoch, reply.outcome.value)
        for address, reply in replies.items():
            if reply.outcome is ChangeOutcome.REJECTED:
                self._rejections[address] = [ReportedReason(str(problem)) for problem in reply.problems]
        return self._rejection()

    async def _verdict_in_force(self, view: ClusterView, reply: ChangeReply) -> Verdict:
        """The verdict on a decided change: whether it is in force at every node."""
        # If the log no longer holds its entry, the voters of a later policy serve as well.
        name = reply.policy or (view.latest.policy if view.latest is not None else "")
        await self.client.learn_voters(name)
        self._settled_epoch = min(self._settled_epoch or reply.epoch, reply.epoch)
        return judge_settled(view, name, self._settled_epoch, self._settled_epoch)

    def _rejection(self) -> Verdict | None:
        """The verdict if all voters that may have the change rejected it, else None."""
        if not self._offered_to or not self._offered_to <= self._rejections.keys():
            return None
        problems = [text for address in sorted(self._offered_to) for text in self._rejections[address]]
        reasons = {"the keepers": list(dict.fromkeys(problems))}
        return Verdict(ExitStatus.NOT_IN_FORCE, self.id, text="refused", reasons=reasons)

    # Offers

    async def _offer_to_any(self, view: ClusterView, only_new: bool) -> Verdict:
        """Offer the change to the first voter that accepts it.

        Parameters
        ----------
        only_new
            Skip voters to which it was offered before.
        """
        verdict = self._unknown("no voter answered")
        for address in self._offer_order(view, only_new):
            self._offered_to.add(address)
            try:
                await self._offer_to(address)
            except RejectedError as error:
                verdict = self._unknown(f"{address}: {error}")
            except CallFailedError as error:
                match self._on_offer_failed(address, error):
                    case _OfferReaction.TRY_NEXT:
                        verdict = self._unknown(f"{address}: {error}")
                    case _OfferReaction.ASK_OTHERS:
                        # No verdict before the other voters are asked: one of them may have accepted it.
                        return self._unknown("rejected by a voter")
                    case _OfferReaction.STOP:
                        return invalid_input(error).verdict()
            else:
                return self._unknown("proposed")
        return verdict

    def _offer_order(self, view: ClusterView, only_new: bool) -> list[str]:
        """The voters that have not rejected the change, those that may already have it first."""
        addresses = [
            address for address in self.client.voters_in_order(view) if address not in self._rejections
        ]
        if only_new:
            addresses = [address for address in addresses if address not in self._offered_to]
        return sorted(addresses, key=lambda address: address not in self._offered_to)

    def _on_offer_failed(self, address: str, error: CallFailedError) -> _OfferReaction:
        wait_s = retry_after_s(error)
        if error.status:
            self._offered_to.discard(address)  # its reply says that it did not accept the change
        if error.status in (NO_ANSWER, INSUFFICIENT_STORAGE) or wait_s is not None:
            self._retry_after_s = wait_s or 0.0
            return _OfferReaction.TRY_NEXT
        if error.status != CONFLICT:
            return _OfferReaction.STOP
        self._offered_to.add(address)
        self._rejections[address] = problems_in(error)
        return _OfferReaction.ASK_OTHERS

    async def _offer_to(self, address: str) -> None:
        data = encode_change(self.change)
        if len(data) <= MAX_INLINE_BYTES:
            call = ChangeCall(base64.b64encode(data).decode())
        else:
            call = ChangeCall(upload=await self.client.upload(address, data))
        decode(await self.client.call(address, "change", encode(call)), ChangeReply)

    def _unknown(self, text: str) -> Verdict:
        return Verdict(ExitStatus.UNKNOWN, self.id, text=text)
