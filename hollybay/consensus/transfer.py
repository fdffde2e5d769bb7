"""Chunked transfers: downloads of long replies and uploads of long request bodies.

Each chunk except the last has exactly CHUNK_BYTES, and each states the total size. A transfer therefore ends
within its size bound, whatever the other side sends.
"""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hollybay.units import SECOND

from .errors import MalformedDataError, RejectedError
from .messages import CHUNK_BYTES, Chunk, UploadCall, decode

__all__ = ["MAX_UPLOADS", "MAX_UPLOAD_BYTES", "Uploads", "chunk_at", "download", "upload_calls"]

# The longest upload: an operator file of the largest supported size, or a change built from one.
MAX_UPLOAD_BYTES = 64 << 20
MAX_UPLOADS = 2
# Uploads that receive no chunk for this time are discarded.
UPLOAD_IDLE_NS = 60 * SECOND


def chunk_at(name: str, data: bytes, offset: int) -> Chunk:
    """The chunk of a reply at an offset. RejectedError: no chunk begins at this offset."""
    if offset % CHUNK_BYTES or not 0 <= offset <= len(data):
        raise RejectedError(f"offset: {offset} of {len(data)} bytes begins no piece")
    part = data[offset : offset + CHUNK_BYTES]
    return Chunk(name, len(data), offset, base64.b64encode(part).decode())


def _decoded_data(chunk: Chunk | UploadCall, max_bytes: int) -> bytes:
    """Decode the bytes of a chunk. RejectedError: the total is too large, or the chunk's length is wrong."""
    if chunk.total > max_bytes:
        raise MalformedDataError(f"total: {chunk.total} bytes, {max_bytes} at most")
    try:
        data = base64.b64decode(chunk.data, validate=True)
    except ValueError as error:
        raise MalformedDataError(f"data: {error}") from None
    expected = min(CHUNK_BYTES, chunk.total - chunk.offset)
    if len(data) != expected:
        raise MalformedDataError(
            f"data: {len(data)} bytes at {chunk.offset} of {chunk.total}, and not {expected}"
        )
    return data


async def download(
    call: Callable[[str], Awaitable[bytes]], path: str, next_path: Callable[[str], str], max_bytes: int
) -> tuple[str, bytes]:
    """Download a reply in chunks.

    Parameters
    ----------
    call
        Requests a path.
    path
        The path of the first chunk.
    next_path
        Returns the path of the later chunks without the offset, given the name in the first one.
    max_bytes
        The longest permitted reply.

    Returns
    -------
    tuple of str and bytes
        The name that the reply states, and its complete content.

    Raises
    ------
    RejectedError
        The reply is too long, or its chunks do not belong together.
    """
    first = decode(await call(path), Chunk)
    if first.offset:
        raise MalformedDataError(f"offset: {first.offset} in the first chunk, expected 0")
    parts = [_decoded_data(first, max_bytes)]
    offset = len(parts[0])
    while offset < first.total:
        chunk = decode(await call(f"{next_path(first.name)}/{offset}"), Chunk)
        if (chunk.name, chunk.total, chunk.offset) != (first.name, first.total, offset):
            raise RejectedError(
                f"offset: a chunk at {chunk.offset} of {chunk.total} bytes, expected {offset}"
            )
        parts.append(_decoded_data(chunk, max_bytes))
        offset += len(parts[-1])
    return first.name, b"".join(parts)


def upload_calls(upload_id: str, data: bytes) -> list[UploadCall]:
    """The requests that upload data under an id, one per chunk."""
    chunks = (chunk_at("", data, offset) for offset in range(0, max(1, len(data)), CHUNK_BYTES))
    return [UploadCall(upload_id, len(data), chunk.offset, chunk.data) for chunk in chunks]


@dataclass(slots=True)
class _Upload:
    """An upload in progress. last_chunk_at: when its last chunk arrived, ns."""

    total: int
    last_chunk_at: int
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


class Uploads:
    """The uploads to this process, bounded in number, size and idle time."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Upload] = {}

    def add(self, chunk: UploadCall, now: int) -> None:
        """Add a chunk; a repeated chunk is ignored.

        Parameters
        ----------
        now
            The current time, ns.

        Raises
        ------
        RejectedError
            The chunk does not follow the others, or too many uploads are in progress.
        """
        if not chunk.id:
            raise RejectedError("id: missing")
        self._discard_idle(now)
        data = _decoded_data(chunk, MAX_UPLOAD_BYTES)
        upload = self._by_id.get(chunk.id)
        if upload is None:
            if len(self._by_id) >= MAX_UPLOADS:
                raise RejectedError(f"{MAX_UPLOADS} uploads are in progress, the maximum; retry later")
            upload = self._by_id[chunk.id] = _Upload(chunk.total, now)
        if chunk.total != upload.total or chunk.offset > upload.size:
            raise RejectedError(
                f"offset: {chunk.offset} of {chunk.total}, and {upload.size} of {upload.total} are here"
            )
        upload.last_chunk_at = now
        if chunk.offset == upload.size:
            upload.parts.append(data)
            upload.size += len(data)

    def content(self, upload_id: str) -> bytes:
        """The content of a complete upload, which is kept until `discard`. RejectedError: not complete."""
        upload = self._by_id.get(upload_id)
        if upload is None or upload.size < upload.total:
            raise RejectedError(f"upload: {upload_id} is not here, or not whole")
        return b"".join(upload.parts)

    def discard(self, upload_id: str) -> None:
        """Remove an upload."""
        self._by_id.pop(upload_id, None)

    def _discard_idle(self, now: int) -> None:
        idle = [key for key, upload in self._by_id.items() if now - upload.last_chunk_at > UPLOAD_IDLE_NS]
        for upload_id in idle:
            del self._by_id[upload_id]
