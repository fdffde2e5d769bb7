"""Changes from an operator's side: build them, propose them, and track them to their outcome.

An operator may lose the voter that was called at any step. What became of a change is judged from what is
decided, see `verdict`.
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

# A proposal that no voter knows of is made again after so long.
REPROPOSE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """What an operator wants to change; see `messages.DraftCall`.

    Parameters
    ----------
    file
        An operator file.
    like_policy
        Restore the resources as they were after this policy.
    drain, undrain
        Servers to take out of service, and to put back.
    partial
        Whether resources that the file does not hold stay as they are.
    delete
        Resources to delete, each KIND/NAME.
    """

    file: bytes | None = None
    like_policy: str = ""
    drain: tuple[str, ...] = ()
    undrain: tuple[str, ...] = ()
    partial: bool = False
    delete: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PolicyProposal:
    """The next policy as an operator wants it, alone in its batch; see `messages.ProposeCall`.

    Parameters
    ----------
    reason, author
        Shown in the history.
    file
        An operator file; None: what it holds stays.
    drained
        All servers that are out of service; None: unchanged.
    voters
        All voters; None: unchanged.
    parent
        The policy that the proposal was made on, its name or digest; rejected if another one is in force.
        Empty: whichever is.
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
    """Proposes changes for an operator and tracks what becomes of them."""

    async def propose(self, proposal: PolicyProposal, limit: float) -> Verdict:
        """Propose the next policy on the one in force, and track it.

        Parameters
        ----------
        limit
            How long it is tracked, s; 0: it is only proposed.
        """
        view = await self.refresh()
        latest = view.latest
        if latest is None:
            return _unknown("no keeper answers" if view.statuses else "nobody answers")
        old = await self.fetch_policy(latest.policy)
        if old is None:
            return _unknown(f"{latest.policy} is not to be had")
        digest = old.digest.hex()
        if proposal.parent and proposal.parent not in (old.name, digest):
            text = f"parent: made on {proposal.parent}, in force is {old.name}"
            return Verdict(ExitStatus.NOWHERE, text=text)
        return await self._propose_to_any(view, encode(_propose_call(proposal, digest)), limit)

    async def _propose_to_any(self, view: ClusterView, body: bytes, limit: float) -> Verdict:
        """Make a proposal at the first voter that accepts it, and track it."""
        verdict = _unknown("no keeper took it")
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
            The policy that was proposed, and the epoch that it was to begin with.
        limit
            How long to wait, s.
        body
            The proposal: made again, as the same change, if all voters that knew it are lost before it began.
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
        """Found the cluster at one of its voters; its reply. CallFailedError: the voter does not."""
        argument = await self.file_argument(address, file)
        call = BootstrapCall(argument.text or "", argument.upload)
        return await self.call_until_done(address, "found", encode(call))

    async def diff(self, old: str, new: str) -> list[str]:
        """The difference of two policies, for people. CallFailedError: no voter has both."""
        failure = CallFailedError("no keeper answers")
        for address in self.voters_in_order(self.view):
            try:
                return decode(await self.call(address, f"diff/{old}/{new}", None), list[str])
            except RejectedError as error:
                failure = CallFailedError(f"{address}: {error}")
            except CallFailedError as error:
                failure = CallFailedError(reason_in(error), error.status)
        raise failure

    async def drop(self, change: str) -> str:
        """Give a change up; "" if a voter will, else why not."""
        reason = "no keeper answers"
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
        """Have a voter build the change that a request needs; None: nothing differs.

        Raises
        ------
        InvalidInputError
            A voter rejects the request.
        CallFailedError
            No voter answers.
        """
        view = await self.refresh()
        failure = CallFailedError("no keeper answers")
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
        """The change of a draft; fetched in chunks where it is long."""
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
