"""Serves entries and snapshots of the log to other processes in chunks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .log import PolicyLog
from .log_entry import is_policy_name
from .messages import CHUNK_BYTES, Chunk
from .transfer import chunk_at

__all__ = ["LogServer", "is_number"]

# How long a reply of several chunks is cached, so that the later chunks come from the same data.
TRANSFER_CACHE_S = 10.0
MAX_CACHED_TRANSFERS = 2
MAX_NUMBER_DIGITS = 12

_DRAFT = "draft"
_SINCE = "since"
_SNAPSHOT = "snapshot"


def is_number(text: str) -> bool:
    """Whether a path segment is a decimal number of at most MAX_NUMBER_DIGITS digits."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


@dataclass(frozen=True, slots=True)
class _Request:
    """A request for a chunk.

    Parameters
    ----------
    kind
        `since/VERSION`, `snapshot` or `draft`.
    name
        The name of the entry, or the id of the draft.
    offset
        The offset of the chunk, in bytes.
    """

    kind: str
    name: str
    offset: int

    @property
    def cache_key(self) -> str:
        """The key under which the complete reply is cached."""
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class _Reply:
    """A complete reply. name: of the last entry, of the snapshot, or the id of the draft."""

    name: str
    data: bytes


def _parse_path(path: str) -> _Request | None:
    """Parse the path of a request; None if it is not a valid one."""
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
        The log to serve.
    run_blocking
        Runs a function that uses the disk or takes long in a thread.
    """

    def __init__(self, log: PolicyLog, run_blocking: Callable[[Callable[[], None]], Awaitable[None]]) -> None:
        self.log = log
        self.run_blocking = run_blocking
        self._cached: dict[str, _Reply] = {}

    async def chunk(self, path: str) -> Chunk | None:
        """The chunk at since/VERSION/NAME[/OFFSET], snapshot/NAME[/OFFSET] or draft/ID[/OFFSET].

        Returns
        -------
        Chunk or None
            None if there is no such path, or if the draft has expired.

        Raises
        ------
        LogTruncatedError
            The log no longer holds the requested entries.
        RejectedError
            No chunk begins at the offset.
        """
        request = _parse_path(path)
        if request is None:
            return None
        reply = self._cached.get(request.cache_key)
        if reply is None and request.kind != _DRAFT and is_policy_name(request.name):
            reply = await self._read(request)
        return chunk_at(reply.name, reply.data, request.offset) if reply is not None else None

    async def _read(self, request: _Request) -> _Reply:
        """Read the complete reply from disk; cache it if it is longer than one chunk."""
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
            # The later chunks of a snapshot are requested by the name of the snapshot itself.
            self.cache(f"{request.kind}/{reply.name}", reply.name, reply.data)
        return reply

    def cache(self, path: str, name: str, data: bytes) -> None:
        """Cache a reply for `TRANSFER_CACHE_S`, so that its later chunks can be served."""
        while len(self._cached) >= MAX_CACHED_TRANSFERS:
            del self._cached[next(iter(self._cached))]
        self._cached[path] = _Reply(name, data)
        asyncio.get_running_loop().call_later(TRANSFER_CACHE_S, self._cached.pop, path, None)
