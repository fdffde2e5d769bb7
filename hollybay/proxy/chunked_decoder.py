"""Decoder of the chunked transfer coding (RFC 9112, section 7.1), which joins small chunks.

A parser event for each chunk would cost some ten times the chunk's own bytes where chunks are small. The
decoder takes many chunks at a time instead, and returns their content as one part of the body.
"""

from __future__ import annotations

import re

import h11

from .message_limits import MAX_HEAD_BYTES

__all__ = ["MAX_CHUNKS_PER_PART", "ChunkedDecoder"]

MAX_CHUNKS_PER_PART = 32
"""Number of chunks that are joined into one part of the body at most."""

_LINE_END = b"\r\n"
# The size and the extensions of a chunk, which are ignored. The size has at most 20 digits, as in h11.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")
# The sizes of the most frequent lines of small chunks, which saves to parse them.
_SMALL_SIZES = {
    digits: int(digits, 16)
    for size in range(256)
    for digits in (b"%x" % size, b"%X" % size, b"%02x" % size, b"%02X" % size)
}


class ChunkedDecoder:
    """Decodes a chunked body up to its last chunk, which is left to the caller.

    Attributes
    ----------
    is_at_last_chunk
        Whether all content was returned, and the last chunk with the trailers comes next.
    chunks
        Number of chunks whose first line was decoded.
    """

    __slots__ = ("_left", "chunks", "is_at_last_chunk")

    def __init__(self) -> None:
        self.is_at_last_chunk = False
        self.chunks = 0
        self._left = 0  # number of bytes of the current chunk that have not come, with its line end

    def decode(self, buffer: bytearray) -> bytes:
        """Remove chunks from the beginning of a buffer and return their content; empty if none is there.

        Raises
        ------
        h11.RemoteProtocolError
            The coding is malformed, or the first line of a chunk is too long.
        """
        data = bytes(buffer)
        parts: list[bytes] = []
        position = self._take_content(data, 0, parts) if self._left else 0
        last = self.chunks + MAX_CHUNKS_PER_PART
        while not self._left and self.chunks < last:
            line_end = data.find(_LINE_END, position)
            if line_end < 0:
                if len(data) - position > MAX_HEAD_BYTES:
                    raise h11.RemoteProtocolError("chunk header too long")
                break
            line = data[position:line_end]
            size = _SMALL_SIZES.get(line)
            if size is None:
                size = _parse_size(line)
            if not size:
                self.is_at_last_chunk = True
                break
            self.chunks += 1
            position = line_end + 2
            content_end = position + size
            if data[content_end : content_end + 2] == _LINE_END:
                parts.append(data[position:content_end])
                position = content_end + 2
            else:
                self._left = size + len(_LINE_END)
                position = self._take_content(data, position, parts)
        del buffer[:position]
        return b"".join(parts)

    def _take_content(self, data: bytes, position: int, parts: list[bytes]) -> int:
        """Take what has come of the current chunk, and return the position behind it."""
        end = position + self._left
        content_end = end - len(_LINE_END)
        if position < content_end:
            parts.append(data[position:content_end])
        if end <= len(data):
            if data[max(position, content_end) : end] != _LINE_END[-self._left :]:
                raise h11.RemoteProtocolError("malformed end of a chunk")
            self._left = 0
            return end
        # The line end is taken only once it is whole.
        taken_to = min(max(position, content_end), len(data))
        self._left = end - taken_to
        return taken_to


def _parse_size(line: bytes) -> int:
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise h11.RemoteProtocolError("malformed chunk header")
    return int(match[1], 16)
