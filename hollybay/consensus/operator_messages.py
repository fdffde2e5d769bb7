"""Requests of operators under /-/policy, and the replies to them. No I/O.

The requests are sent by `change_tracker` and handled by `bootstrap`, `policy_requests` and `change_requests`.
If a field has another name on the wire, its class maps it with `rename`.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from hollybay.resources.model import ChangeProblem

from .message_fields import MAX_SERVERS, MAX_VOTERS, Address, Digest, Message, PolicyName, Text, UploadId

__all__ = [
    "BootstrapCall",
    "ChangeCall",
    "ChangeOutcome",
    "ChangeReply",
    "DraftCall",
    "DraftReply",
    "DropCall",
    "ProposeCall",
    "ProposeReply",
]


class BootstrapCall(Message, frozen=True, rename={"source": "by"}):
    """Bootstrap of a group by an operator with a file, or by a voter with its first policy.

    Attributes
    ----------
    file : str
        The operator file, base64.
    upload : str
        The id of an upload that holds the file instead.
    policy : str
        The name of the first policy, in a request of a voter.
    entry : str
        The first policy itself, if it is short enough; otherwise it is fetched from `source`.
    source : str, optional
        The address of the voter that has the policy.
    """

    file: str = ""
    upload: UploadId = ""
    policy: PolicyName = ""
    entry: str = ""
    source: Address | None = None


class ProposeCall(
    Message,
    frozen=True,
    rename={"servers_out": "out", "voters": "keepers", "like_policy": "like"},
):
    """Proposal by an operator of a change of the whole policy, in a batch of its own.

    Attributes
    ----------
    file : str or None
        The operator file, base64; None leaves the resources unchanged.
    parent : str
        The digest of the policy that the change is based on, hex.
    reason, author : str
    servers_out : list of str, optional
        All servers that are to be out of service; None leaves them unchanged.
    voters : list of str, optional
        The addresses of all voters; None leaves them unchanged.
    upload : str
        The id of an upload that holds the file.
    like_policy : str
        The name of an earlier policy whose resources are to be restored.
    """

    file: str | None
    parent: Digest
    reason: Text
    author: Text = ""
    servers_out: Annotated[list[Text], msgspec.Meta(max_length=MAX_SERVERS)] | None = None
    voters: Annotated[list[Address], msgspec.Meta(max_length=MAX_VOTERS)] | None = None
    upload: UploadId = ""
    like_policy: PolicyName = ""


class ProposeReply(Message, frozen=True):
    """Reply to an accepted proposal: the name of the new policy, and the epoch that first names it."""

    change: str
    epoch: int


class DraftCall(
    Message,
    frozen=True,
    rename={"like_policy": "like", "servers_out": "out", "servers_in": "back_in"},
):
    """Request of an operator for the change that makes the resources match a file or moves servers out or in.

    Attributes
    ----------
    reason, author : str
    file, upload, like_policy
        As in ProposeCall.
    servers_out, servers_in : list of str
        Servers to take out of service, and to put back.
    partial : bool
        Whether resources that the file does not declare stay unchanged.
    delete : list of str
        Resources to delete, as KIND/NAME.
    """

    reason: Text
    author: Text = ""
    file: str | None = None
    upload: UploadId = ""
    like_policy: PolicyName = ""
    servers_out: Annotated[list[Text], msgspec.Meta(max_length=MAX_SERVERS)] = msgspec.field(
        default_factory=list
    )
    servers_in: Annotated[list[Text], msgspec.Meta(max_length=MAX_SERVERS)] = msgspec.field(
        default_factory=list
    )
    partial: bool = False
    delete: Annotated[list[Text], msgspec.Meta(max_length=MAX_SERVERS)] = msgspec.field(default_factory=list)


class DraftReply(Message, frozen=True):
    """Reply to a DraftCall.

    Attributes
    ----------
    policy : str
        The policy that the change is based on.
    change : str
        The change, base64; empty if nothing differs, or if the change is too long for a reply.
    operations : int
        The number of operations in the change.
    lines : list of str
        A human-readable description of the change.
    draft : str
        The id of a change that is too long for a reply; it is fetched as draft/ID.
    """

    policy: str
    change: str
    operations: int
    lines: list[str] = msgspec.field(default_factory=list)
    draft: str = ""


class ChangeCall(Message, frozen=True):
    """Proposal of a change of resources: its MessagePack in base64, or the id of an upload that holds it."""

    change: str = ""
    upload: UploadId = ""


class ChangeOutcome(str, Enum):
    """The outcome of a change, as far as one voter knows it."""

    QUEUED = "queued"
    UNDER_WAY = "under way"
    IN_FORCE = "in force"  # decided; some nodes may still serve under the previous policy
    REJECTED = "refused"  # this voter will not propose it
    UNKNOWN = "unknown"  # not proposed here, or its record was dropped; it may be proposed again


class ChangeReply(Message, frozen=True):
    """Reply to a proposal of a change, and to a query about one.

    Attributes
    ----------
    id : str
        The id of the change.
    outcome : ChangeOutcome
    policy : str
        The name of the policy (log entry) that holds the change.
    epoch : int
        For a change in force, the epoch that brought it in force, or a later one. For one under way, the
        epoch that names its policy.
    wait_ms : int
        Estimated time until the change is decided.
    problems : list of ChangeProblem
        Why the change was rejected.
    """

    id: str
    outcome: ChangeOutcome
    policy: str = ""
    epoch: int = 0
    wait_ms: int = 0
    problems: list[ChangeProblem] = msgspec.field(default_factory=list)


class DropCall(Message, frozen=True, rename={"forwarded": "passed"}):
    """Request of an operator to drop a change, possibly forwarded by a voter."""

    change: str
    forwarded: bool = False
