"""Policies and changes as text inside messages."""

from __future__ import annotations

import base64

import msgspec

from hollybay.resources.model import Change
from hollybay.resources.wire import WireError, decode_change, encode_change

from .errors import MalformedDataError
from .policy import PolicyVersion, decode_policy

__all__ = ["change_from_bytes", "change_from_text", "change_to_text", "policy_from_text", "policy_to_text"]


def policy_to_text(policy: PolicyVersion) -> str:
    """A policy as text."""
    return base64.b64encode(msgspec.msgpack.encode(policy)).decode()


def policy_from_text(text: str, name: str = "") -> PolicyVersion:
    """A policy from its text. RejectedError: it is none, or another than the one of this name."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise MalformedDataError(f"policy: {error}") from None
    policy = decode_policy(data)
    if name and policy.name != name:
        raise MalformedDataError(f"policy: its digest says {policy.name}, not {name}")
    return policy


def change_to_text(change: Change) -> str:
    """A change as text."""
    return base64.b64encode(encode_change(change)).decode()


def change_from_text(text: str) -> Change:
    """A change from its text. RejectedError: it is none."""
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise MalformedDataError(f"change: {error}") from None
    return change_from_bytes(data)


def change_from_bytes(data: bytes) -> Change:
    """A change from its bytes. RejectedError: it is none."""
    try:
        return decode_change(data)
    except WireError as error:
        raise MalformedDataError(f"change: {error}") from None
