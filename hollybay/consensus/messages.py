"""The requests and replies that processes exchange under /-/policy, as JSON. No I/O.

The wire format is described in docs/OPERATORS-accord.md. If a field has another name on the wire, its class
maps it with `rename`. The messages of the protocol itself (`core`) are encoded as arrays.
"""

from __future__ import annotations

from hashlib import blake2b

from .message_codec import decode, encode, stage_label
from .message_fields import (
    CHUNK_BYTES,
    MAX_CALL_BYTES,
    MAX_CULPRIT_REASONS,
    MAX_CULPRITS,
    MAX_REASONS,
    MESSAGE_VERSION,
)
from .message_values import (
    change_from_bytes,
    change_from_text,
    change_to_text,
    policy_from_text,
    policy_to_text,
)
from .operator_messages import (
    BootstrapCall,
    ChangeCall,
    ChangeOutcome,
    ChangeReply,
    DraftCall,
    DraftReply,
    DropCall,
    ProposeCall,
    ProposeReply,
)
from .protocol_messages import (
    AcceptCall,
    AcceptReply,
    BlockingLease,
    DecidedNotice,
    HistoryEntry,
    KnowledgeReply,
    LeaseCall,
    LeaseReply,
    PrepareCall,
    PrepareReply,
)
from .transfer_messages import Chunk, UploadCall

__all__ = [
    "CHUNK_BYTES",
    "MAX_CALL_BYTES",
    "MAX_CULPRITS",
    "MAX_CULPRIT_REASONS",
    "MAX_REASONS",
    "MESSAGE_VERSION",
    "AcceptCall",
    "AcceptReply",
    "BlockingLease",
    "BootstrapCall",
    "ChangeCall",
    "ChangeOutcome",
    "ChangeReply",
    "Chunk",
    "DecidedNotice",
    "DraftCall",
    "DraftReply",
    "DropCall",
    "HistoryEntry",
    "KnowledgeReply",
    "LeaseCall",
    "LeaseReply",
    "PrepareCall",
    "PrepareReply",
    "ProposeCall",
    "ProposeReply",
    "UploadCall",
    "change_from_bytes",
    "change_from_text",
    "change_to_text",
    "decode",
    "encode",
    "policy_from_text",
    "policy_to_text",
    "stage_label",
    "voter_number",
]


def voter_number(address: str) -> int:
    """The number of a voter: a hash of its address, so that all processes derive the same number."""
    return int.from_bytes(blake2b(address.encode(), digest_size=6).digest(), "big")
