"""The operator's side of changes: builds them, proposes them, and tracks them to their outcome.

The voter that was called may become unreachable at any step. Therefore the outcome of a change is judged only
from what is decided, see `verdict`.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Iterable
from dataclasses import dataclass

from hollybay.resources.model import Change
from hollybay.resources.wire import MAX_BATCH_BYTES

from .cluster_view import ClusterView
from .errors import RejectedError
from .http_status import INSUFFICIENT_STORAGE, NOT_FOUND, UNAVAILABLE
from .messages import (
    BootstrapCall,
    DraftCall,
    DraftReply,
    DropCall,
    ProposeCall,
    ProposeReply,
    change_from_bytes,
    change_from_text,
    decode,
    encode,
)
from .requests import NO_ANSWER, CallFailedError
from .submission import ChangeSubmission
from .transfer import download
from .verdict import NOT_BEGUN, ExitStatus, Verdict, judge
from .voter_client import POLL_INTERVAL_S, VoterClient, invalid_input, reason_in

__all__ = ["ChangeRequest", "ChangeTracker", "PolicyProposal"]

# A proposal that no voter knows is made again after this time.
REPROPOSE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change of resources that an operator requests; see `messages.DraftCall`.

    Parameters
    ----------
    file
        The content of an operator file.
    like_policy
        Restore the resources as they were after this policy.
    drain, undrain
        Servers to take out of service, and to put back into service.
    partial
        Whether resources that the file lacks are kept.
    delete
        Resources to delete, each as KIND/NAME.
    """

    file: bytes | None = None
    like_policy: str = ""
    drain: tuple[str, ...] = ()
    undrain: tuple[str, ...] = ()
    partial: bool = False
    delete: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PolicyProposal:
    """A next policy that an operator proposes, outside of group commit; see `messages.ProposeCall`.

    Parameters
    ----------
    reason, author
        Shown in the history.
    file
        The content of an operator file; None to keep the resources that it would define.
    drained
        All servers that are to be out of service; None to keep them.
    voters
        The addresses of all voters; None to keep them.
    parent
        The name or digest of the policy that the proposal is based on; the proposal is rejected if another
        one is in force. Empty for the one in force, whichever that is.
    like_policy
        Restore the resources as they were after this policy.
    """

    reason: str
    author: str
    file: bytes | None = None
    drained: list[str] | None = None
    voters: list[str] | None = None
    parent: str = ""
    like_policy: str = ""


def _propose_call(proposal: PolicyProposal, parent_digest: str) -> ProposeCall:
    return ProposeCall(
        file=None if proposal.file is None else base64.b64encode(proposal.file).decode(),
        parent=parent_digest,
        reason=proposal.reason,
        author=proposal.author,
        servers_out=proposal.drained,
        voters=proposal.voters,
        like_policy=proposal.like_policy,
    )


class ChangeTracker(VoterClient):
    """Proposes changes for an operator and tracks them to their outcome."""

    async def propose(self, proposal: PolicyProposal, limit: float) -> Verdict:
        """Propose the next policy, based on the one in force, and track it.

        Parameters
        ----------
        limit
            How long to track it, s; 0 to return once it is proposed.
        """
        view = await self.refresh()
        latest = view.latest
        if latest is None:
            return _unknown("no voter answered" if view.statuses else "no node answered")
        old = await self.fetch_policy(latest.policy)
        if old is None:
            return _unknown(f"{latest.policy} could not be fetched from any node")
        digest = old.digest.hex()
        if proposal.parent and proposal.parent not in (old.name, digest):
            text = f"parent: made on {proposal.parent}, in force is {old.name}"
            return Verdict(ExitStatus.NOT_IN_FORCE, text=text)
        return await self._propose_to_any(view, encode(_propose_call(proposal, digest)), limit)

    async def _propose_to_any(self, view: ClusterView, body: bytes, limit: float) -> Verdict:
        """Make a proposal at the first voter that accepts it, and track it."""
        verdict = _unknown("no voter accepted the proposal")
        for address in view.voters:
            try:
                reply = decode(await self.call(address, "propose", body), ProposeReply)
            except RejectedError as error:
                return _unknown(str(error))
            except CallFailedError as error:
                if error.status in (NO_ANSWER, UNAVAILABLE, INSUFFICIENT_STORAGE):
                    verdict = _unknown(f"{address}: {error}")
                    continue
                return invalid_input(error).verdict()
            if not limit:
                return Verdict(ExitStatus.UNKNOWN, reply.change, reply.epoch, "proposed")
            return await self.track(reply.change, reply.epoch, limit, body)
        return verdict

    async def track(self, change: str, epoch: int, limit: float, body: bytes | None = None) -> Verdict:
        """Wait for the outcome of a proposal.

        Parameters
        ----------
        change, epoch
            The name of the proposed policy, and the epoch in which it was to begin.
        limit
            How long to wait, s.
        body
            The encoded proposal. It is sent again, as the same change, if all voters that knew it are lost
            before it has begun.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit
        last_known_at = loop.time()
        while True:
            view = await self.refresh()
            await self.learn_voters(change)
            verdict = judge(view, change, epoch)
            if verdict.is_final or loop.time() >= deadline:
                return verdict
            is_pending = any(voter.pending == change for voter in view.voters.values())
            if verdict.text != NOT_BEGUN or is_pending:
                last_known_at = loop.time()
            elif body is not None and loop.time() - last_known_at > REPROPOSE_AFTER_S:
                last_known_at = loop.time()
                await self._propose_again(view, body)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _propose_again(self, view: ClusterView, body: bytes) -> None:
        for address in view.voters:
            try:
                await self.call(address, "propose", body)
            except CallFailedError:
                continue
            return

    async def bootstrap(self, address: str, file: bytes) -> bytes:
        """Bootstrap the cluster at one of its voters; returns the reply. CallFailedError: it failed."""
        argument = await self.file_argument(address, file)
        call = BootstrapCall(argument.text or "", argument.upload)
        return await self.call_until_done(address, "found", encode(call))

    async def diff(self, old: str, new: str) -> list[str]:
        """The difference of two policies as readable lines. CallFailedError: no voter has both."""
        failure = CallFailedError("no voter answered")
        for address in self.voters_in_order(self.view):
            try:
                return decode(await self.call(address, f"diff/{old}/{new}", None), list[str])
            except RejectedError as error:
                failure = CallFailedError(f"{address}: {error}")
            except CallFailedError as error:
                failure = CallFailedError(reason_in(error), error.status)
        raise failure

    async def drop(self, change: str) -> str:
        """Have a voter drop a change; returns "" if one accepted the request, else the reason."""
        reason = "no voter answered"
        for address in list(dict.fromkeys([*self.view.voters, *self.addresses])):
            try:
                await self.call(address, "drop", encode(DropCall(change)))
            except CallFailedError as error:
                reason = str(error)
            else:
                return ""
        return reason

    # Changes of resources, by group commit

    async def build_change(
        self, reason: str, author: str, request: ChangeRequest
    ) -> tuple[DraftReply, Change | None]:
        """Have a voter build the requested change; the change is None if nothing differs.

        Raises
        ------
        InvalidInputError
            A voter rejected the request.
        CallFailedError
            No voter replied.
        """
        view = await self.refresh()
        failure = CallFailedError("no voter answered")
        for address in self.voters_in_order(view):
            try:
                draft = await self._draft_at(address, reason, author, request)
                return draft, await self._drafted_change(address, draft)
            except RejectedError as error:
                failure = CallFailedError(f"{address}: {error}")
            except CallFailedError as error:
                if error.status not in (NO_ANSWER, NOT_FOUND, UNAVAILABLE, INSUFFICIENT_STORAGE):
                    raise invalid_input(error) from None
                failure = error
        raise failure

    async def _draft_at(self, address: str, reason: str, author: str, request: ChangeRequest) -> DraftReply:
        argument = await self.file_argument(address, request.file)
        call = DraftCall(
            reason=reason,
            author=author,
            file=argument.text,
            upload=argument.upload,
            like_policy=request.like_policy,
            servers_out=list(request.drain),
            servers_in=list(request.undrain),
            partial=request.partial,
            delete=list(request.delete),
        )
        return decode(await self.call_until_done(address, "draft", encode(call)), DraftReply)

    async def _drafted_change(self, address: str, draft: DraftReply) -> Change | None:
        """The change of a draft, downloaded in chunks if it is not part of the reply; None if it is empty."""
        if draft.change:
            return change_from_text(draft.change)
        if not draft.draft:
            return None
        path = f"draft/{draft.draft}"
        _, data = await download(
            lambda part: self.call(address, part, None), path, lambda _: path, MAX_BATCH_BYTES
        )
        return change_from_bytes(data)

    async def submit(self, change: Change, limit: float, offered_to: Iterable[str] = ()) -> Verdict:
        """Submit a change of resources and wait for its outcome.

        Parameters
        ----------
        limit
            How long to wait, s.
        offered_to
            Voters to which the change may have been offered before.
        """
        return await ChangeSubmission(self, change, offered_to).run(limit)


def _unknown(text: str) -> Verdict:
    return Verdict(ExitStatus.UNKNOWN, text=text)
