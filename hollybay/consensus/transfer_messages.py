"""Messages of chunked transfers: parts of a body that is too long for one request or reply."""

from __future__ import annotations

from .message_fields import Count, Message, UploadId

__all__ = ["Chunk", "UploadCall"]


class UploadCall(Message, frozen=True):
    """One chunk of an upload. id: chosen by the sender; total, offset: in bytes; data: base64."""

    id: UploadId
    total: Count
    offset: Count
    data: str


class Chunk(Message, frozen=True):
    """One chunk of a long reply. name: the entry or draft; total, offset: in bytes; data: base64."""

    name: str
    total: Count
    offset: Count
    data: str
