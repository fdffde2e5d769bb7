"""Chunks of what is too long for one request or reply."""

from __future__ import annotations

from .message_fields import Count, Message, UploadId

__all__ = ["Chunk", "UploadCall"]


class UploadCall(Message, frozen=True):
    """One piece of an upload. id: chosen by the sender; total, offset: bytes; data: base64."""

    id: UploadId
    total: Count
    offset: Count
    data: str


class Chunk(Message, frozen=True):
    """One piece of a long reply. name: what it is a piece of; total, offset: bytes; data: base64."""

    name: str
    total: Count
    offset: Count
    data: str
