"""What is longer than one call goes in pieces: answers that are fetched, and calls that are uploaded.

Each piece but the last has exactly PIECE_BYTES, and the size of the whole stands in the first: so a transfer
ends, within its bound, however the other side answers.
"""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from . import messages
from .policy import RejectedError

__all__ = ["MAX_UPLOADS", "MAX_UPLOAD_BYTES", "Uploads", "download", "piece_of", "pieces_up"]

# One upload: an operator file, or a change made of one, of the largest size that the tier is built for.
MAX_UPLOAD_BYTES = 64 << 20
MAX_UPLOADS = 2
UPLOAD_IDLE = 60_000_000_000  # ns after which an upload that does not go on gives its place away


def piece_of(name: str, whole: bytes, offset: int) -> messages.Chunk:
    """One piece of an answer. RejectedError: it is not so long."""
    if offset % messages.PIECE_BYTES or not 0 <= offset <= len(whole):
        raise RejectedError(f"offset: {offset} of {len(whole)} bytes begins no piece")
    data = whole[offset : offset + messages.PIECE_BYTES]
    return messages.Chunk(name, len(whole), offset, base64.b64encode(data).decode())


def _data_of(piece: messages.Chunk | messages.UploadCall, most: int) -> bytes:
    """What a piece holds. RejectedError: the whole is too long, or the piece is not as long as it must be."""
    if piece.total > most:
        raise RejectedError(f"total: {piece.total} bytes, {most} at most")
    try:
        data = base64.b64decode(piece.data, validate=True)
    except ValueError as error:
        raise RejectedError(f"data: {error}") from None
    wanted = min(messages.PIECE_BYTES, piece.total - piece.offset)
    if len(data) != wanted:
        raise RejectedError(f"data: {len(data)} bytes at {piece.offset} of {piece.total}, and not {wanted}")
    return data


async def download(
    call: Callable[[str], Awaitable[bytes]], path: str, again: Callable[[str], str], most: int
) -> tuple[str, bytes]:
    """Fetch an answer piece by piece; its name and the whole.

    call: makes a call by its path; path: of the first piece; again: the path of the others, by the name that
    the first gave; most: bytes. RejectedError: the answer is too long, or its pieces do not fit each other.
    """
    first = messages.decode(await call(path), messages.Chunk)
    if first.offset:
        raise RejectedError(f"offset: {first.offset} in the first piece")
    pieces = [_data_of(first, most)]
    offset = len(pieces[0])
    while offset < first.total:
        piece = messages.decode(await call(f"{again(first.name)}/{offset}"), messages.Chunk)
        if (piece.name, piece.total, piece.offset) != (first.name, first.total, offset):
            raise RejectedError(
                f"offset: a piece at {piece.offset} of {piece.total} where {offset} was asked for"
            )
        pieces.append(_data_of(piece, most))
        offset += len(pieces[-1])
    return first.name, b"".join(pieces)


def pieces_up(upload: str, whole: bytes) -> list[messages.UploadCall]:
    """The calls by which something is uploaded under an id."""
    return [
        messages.UploadCall(upload, len(whole), piece.offset, piece.data)
        for piece in (piece_of("", whole, at) for at in range(0, max(1, len(whole)), messages.PIECE_BYTES))
    ]


@dataclass(slots=True)
class _Upload:
    total: int
    touched: int
    pieces: list[bytes] = field(default_factory=list)
    size: int = 0


class Uploads:
    """What is being uploaded to this process; bounded in number, bytes and time (ns)."""

    def __init__(self) -> None:
        self._open: dict[str, _Upload] = {}

    def take(self, piece: messages.UploadCall, now: int) -> None:
        """One more piece; one that came before is passed over. RejectedError: it does not fit, or no room
        is.
        """
        if not piece.id:
            raise RejectedError("id: missing")
        self._forget(now)
        data = _data_of(piece, MAX_UPLOAD_BYTES)
        upload = self._open.get(piece.id)
        if upload is None:
            if len(self._open) >= MAX_UPLOADS:
                raise RejectedError(f"{MAX_UPLOADS} uploads are under way; come again later")
            upload = self._open[piece.id] = _Upload(piece.total, now)
        if piece.total != upload.total or piece.offset > upload.size:
            raise RejectedError(
                f"offset: {piece.offset} of {piece.total}, and {upload.size} of {upload.total} are here"
            )
        upload.touched = now
        if piece.offset == upload.size:
            upload.pieces.append(data)
            upload.size += len(data)

    def whole(self, upload: str) -> bytes:
        """What was uploaded; it may be asked for again for a while. RejectedError: it is not all here."""
        found = self._open.get(upload)
        if found is None or found.size < found.total:
            raise RejectedError(f"upload: {upload} is not here, or not whole")
        return b"".join(found.pieces)

    def done(self, upload: str) -> None:
        """Let an upload go."""
        self._open.pop(upload, None)

    def _forget(self, now: int) -> None:
        for upload in [one for one, found in self._open.items() if now - found.touched > UPLOAD_IDLE]:
            del self._open[upload]
