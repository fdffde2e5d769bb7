"""Limits of messages, types of their fields, and their base class."""

from __future__ import annotations

from typing import Annotated

import msgspec

from hollybay.resources.model import CHANGE_ID_BYTES

__all__ = [
    "CHUNK_BYTES",
    "MAX_CALL_BYTES",
    "MAX_CULPRITS",
    "MAX_CULPRIT_REASONS",
    "MAX_REASONS",
    "MAX_SERVERS",
    "MAX_VOTERS",
    "MESSAGE_VERSION",
    "Address",
    "ChangeId",
    "Count",
    "CulpritReasons",
    "Digest",
    "Message",
    "Nanoseconds",
    "PolicyName",
    "Text",
    "UploadId",
]

MESSAGE_VERSION = 2  # version of the messages; requests of other versions are rejected
# Data that is too long for one request (deltas, snapshots, operator files, large changes) is sent in chunks
# of this many bytes.
CHUNK_BYTES = 256 << 10
# The longest request, bytes: a chunk in base64, and 64 KiB for the other fields.
MAX_CALL_BYTES = 4 * CHUNK_BYTES // 3 + (64 << 10)
MAX_REASONS = 20
MAX_CULPRITS = 64  # changes that a node can report in one request as not serviceable
MAX_CULPRIT_REASONS = 3  # reasons per such change
MAX_SERVERS = 2000  # servers that one request can name

MAX_VOTERS = 9  # voters that one request can name

Text = Annotated[str, msgspec.Meta(max_length=400)]
Nanoseconds = Annotated[int, msgspec.Meta(ge=0, le=86_400_000_000_000)]
Address = Annotated[
    str, msgspec.Meta(max_length=100, pattern=r"^(\[[0-9a-fA-F:.]+\]|[^:\[\]\s]+):[0-9]{1,5}$")
]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}$")]
ChangeId = Annotated[str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * CHANGE_ID_BYTES}}}$")]
UploadId = Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{32})?$")]
PolicyName = Annotated[str, msgspec.Meta(pattern=r"^([0-9]{1,12}-[0-9a-f]{12})?$")]
CulpritReasons = Annotated[list[Text], msgspec.Meta(max_length=MAX_CULPRIT_REASONS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of requests and replies."""
