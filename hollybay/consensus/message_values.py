"""Text encoding (base64 of MessagePack) of policies and changes in messages."""

from __future__ import annotations

import base64

import msgspec

from hollybay.resources.model import Change
from hollybay.resources.wire import WireError, decode_change, encode_change

from .errors import MalformedDataError
from .policy import PolicyVersion, decode_policy

__all__ = ["change_from_bytes", "change_from_text", "change_to_text", "policy_from_text", "policy_to_text"]


def policy_to_text(policy: PolicyVersion) -> str:
    """Encode a policy as text."""
    return base64.b64encode(msgspec.msgpack.encode(policy)).decode()


def policy_from_text(text: str, name: str = "") -> PolicyVersion:
    """Decode a policy from text. RejectedError: it is not a policy, or not the one called `name`."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise MalformedDataError(f"policy: {error}") from None
    policy = decode_policy(data)
    if name and policy.name != name:
        raise MalformedDataError(f"policy: got {policy.name} by its digest, expected {name}")
    return policy


def change_to_text(change: Change) -> str:
    """Encode a change as text."""
    return base64.b64encode(encode_change(change)).decode()


def change_from_text(text: str) -> Change:
    """Decode a change from text. RejectedError: it is not a change."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise MalformedDataError(f"change: {error}") from None
    return change_from_bytes(data)


def change_from_bytes(data: bytes) -> Change:
    """Decode a change from bytes. RejectedError: they are not a change."""
    try:
        return decode_change(data)
    except WireError as error:
        raise MalformedDataError(f"change: {error}") from None
