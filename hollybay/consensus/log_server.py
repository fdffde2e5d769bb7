"""Serving entries and snapshots of the log in chunks; long replies are cached for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .log import PolicyLog
from .log_entry import is_name
from .messages import CHUNK_BYTES, Chunk
from .transfer import chunk_at

__all__ = ["LogServer", "is_number"]

# How long a reply that is longer than one chunk is cached for its further chunks.
TRANSFER_CACHE_S = 10.0
MAX_CACHED_TRANSFERS = 2
MAX_NUMBER_DIGITS = 12

_DRAFT = "draft"
_SINCE = "since"
_SNAPSHOT = "snapshot"


def is_number(text: str) -> bool:
    """Whether a segment of a path is a number of a permitted size."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


@dataclass(frozen=True, slots=True)
class _Request:
    """A request for a chunk.

    Parameters
    ----------
    kind
        `since/VERSION`, `snapshot` or `draft`.
    name
        The entry or the draft.
    offset
        Of the chunk, in bytes.
    """

    kind: str
    name: str
    offset: int

    @property
    def cache_key(self) -> str:
        """Where the whole reply is cached."""
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class _Reply:
    """A whole reply, under its own name."""

    name: str
    data: bytes


def _parse_path(path: str) -> _Request | None:
    """The request of a path; None: it is none."""
    kind, *segments = path.split("/")
    if kind == _SINCE and segments:
        version = segments.pop(0)
        if not is_number(version):
            return None
        kind = f"{_SINCE}/{int(version)}"
    if not 1 <= len(segments) <= 2 or not all(map(is_number, segments[1:])):
        return None
    offset = int(segments[1]) if len(segments) > 1 else 0
    return _Request(kind, segments[0], offset)


class LogServer:
    """Serves the log of one process.

    Parameters
    ----------
    log
        What is served.
    run_blocking
        Runs a function in a thread: what uses the disk or takes long.
    """

    def __init__(self, log: PolicyLog, run_blocking: Callable[[Callable[[], None]], Awaitable[None]]) -> None:
        self.log = log
        self.run_blocking = run_blocking
        self._cached: dict[str, _Reply] = {}

    async def chunk(self, path: str) -> Chunk | None:
        """The chunk of since/VERSION/NAME[/OFFSET], snapshot/NAME[/OFFSET] or draft/ID[/OFFSET].

        Returns
        -------
        Chunk or None
            None: there is no such path, or the draft has expired.

        Raises
        ------
        LogTruncatedError
            The log does not reach back so far.
        RejectedError
            No chunk begins at the offset.
        """
        request = _parse_path(path)
        if request is None:
            return None
        reply = self._cached.get(request.cache_key)
        if reply is None and request.kind != _DRAFT and is_name(request.name):
            reply = await self._read(request)
        return chunk_at(reply.name, reply.data, request.offset) if reply is not None else None

    async def _read(self, request: _Request) -> _Reply:
        """The whole reply, from the disk."""
        replies: list[_Reply] = []

        def read() -> None:
            if request.kind == _SNAPSHOT:
                replies.append(_Reply(*self.log.newest_snapshot(request.name)))
            else:
                version = int(request.kind.partition("/")[2])
                replies.append(_Reply(request.name, self.log.encoded_delta(version, request.name)))

        await self.run_blocking(read)
        reply = replies[0]
        if len(reply.data) > CHUNK_BYTES:
            # The further chunks of a snapshot are requested by its own name.
            self.cache(f"{request.kind}/{reply.name}", reply.name, reply.data)
        return reply

    def cache(self, path: str, name: str, data: bytes) -> None:
        """Cache a reply for its further chunks, for `TRANSFER_CACHE_SECONDS`."""
        while len(self._cached) >= MAX_CACHED_TRANSFERS:
            del self._cached[next(iter(self._cached))]
        self._cached[path] = _Reply(name, data)
        asyncio.get_running_loop().call_later(TRANSFER_CACHE_S, self._cached.pop, path, None)
