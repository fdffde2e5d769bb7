"""The requests of operators under /-/policy, and their replies. No I/O.

They are sent by `change_tracker` and answered by `bootstrap`, `policy_requests` and `change_requests`. Where
a field has another name on the wire, the class maps it with `rename`.
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
    """An operator begins the group with a file, or a voter passes the first policy on.

    Attributes
    ----------
    file : str
        The operator file, base64.
    upload : str
        The id of an upload that holds it instead.
    policy : str
        The name of the first policy, where a voter passes it on.
    entry : str
        The policy itself, where it is short.
    source : str, optional
        The address of the voter that has it.
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
    """An operator proposes a change of a whole policy, alone in its batch.

    Attributes
    ----------
    file : str or None
        The operator file, base64; None: the resources stay as they are.
    parent : str
        The digest of the policy that the change is made on, hex.
    reason, author : str
    servers_out : list of str, optional
        All servers that are out; None: as they are.
    voters : list of str, optional
        The addresses of all voters; None: as they are.
    upload : str
        The id of an upload that holds the file.
    like_policy : str
        The policy after which the resources were as they are to be.
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
    """The reply to a proposal that goes on: the policy's name, and the epoch that it begins with."""

    change: str
    epoch: int


class DraftCall(
    Message,
    frozen=True,
    rename={"like_policy": "like", "servers_out": "out", "servers_in": "back_in"},
):
    """An operator asks for the change that makes the resources what a file says, or takes servers out or in.

    Attributes
    ----------
    reason, author : str
    file, upload, like_policy
        As in ProposeCall.
    servers_out, servers_in : list of str
        Servers to take out, and to put back in.
    partial : bool
        Whether resources that the file does not hold stay as they are.
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
    """The reply.

    Attributes
    ----------
    policy : str
        The policy that the change is made on.
    change : str
        The change, base64; empty where nothing differs, or where it is too long.
    operations : int
        Their number.
    lines : list of str
        What the change does, for people.
    draft : str
        Its id where it is too long; it is fetched as draft/ID.
    """

    policy: str
    change: str
    operations: int
    lines: list[str] = msgspec.field(default_factory=list)
    draft: str = ""


class ChangeCall(Message, frozen=True):
    """Somebody proposes a change of resources: base64 of its MessagePack, or the id of an upload."""

    change: str = ""
    upload: UploadId = ""


class ChangeOutcome(str, Enum):
    """What became of a change, as one voter knows it."""

    QUEUED = "queued"
    UNDER_WAY = "under way"
    IN_FORCE = "in force"  # decided; some nodes may serve under the policy before yet
    REJECTED = "refused"  # this voter will not propose it
    UNKNOWN = "unknown"  # it was not proposed here, or that is forgotten: it may be proposed again


class ChangeReply(Message, frozen=True):
    """The reply to a proposal of a change, and to a question about it.

    Attributes
    ----------
    id : str
    outcome : ChangeOutcome
    policy : str
        The entry that holds the change.
    epoch : int
        In force: the epoch since which it is, or a later one; under way: the epoch that names it.
    wait_ms : int
        Until it is decided, estimated.
    problems : list of ChangeProblem
    """

    id: str
    outcome: ChangeOutcome
    policy: str = ""
    epoch: int = 0
    wait_ms: int = 0
    problems: list[ChangeProblem] = msgspec.field(default_factory=list)


class DropCall(Message, frozen=True, rename={"forwarded": "passed"}):
    """An operator drops a change, or a voter forwards that."""

    change: str
    forwarded: bool = False
