"""Entries and snapshots for others, in pieces; what is longer than one piece is kept for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from . import messages
from .log import PolicyLog, is_name
from .transfer import piece_of

__all__ = ["LogServer", "is_number"]

# Seconds for which an answer that is longer than a call is kept for its further pieces, and how many are.
TRANSFER_KEPT, MAX_TRANSFERS = 10.0, 2


def is_number(text: str) -> bool:
    """Whether a part of a path is a number, of a size that may be one."""
    return text.isascii() and text.isdecimal() and len(text) <= 12


class LogServer:
    """See above. disk: runs in a thread what touches the disk, or takes long."""

    def __init__(self, log: PolicyLog, disk: Callable[[Callable[[], None]], Awaitable[None]]) -> None:
        self.log = log
        self.disk = disk
        self._kept: dict[str, tuple[str, bytes]] = {}

    async def piece(self, path: str) -> messages.Chunk | None:
        """The piece of since/VERSION/NAME[/OFFSET], snapshot/NAME[/OFFSET] or draft/ID[/OFFSET].

        None: there is no such call, or no such draft any more. NotReached: the log does not reach so far
        here. Refused: no piece begins there.
        """
        kind, *parts = path.split("/")
        if kind == "since" and parts:
            if not is_number(parts[0]):
                return None
            kind = f"since/{int(parts.pop(0))}"
        if not 1 <= len(parts) <= 2 or not all(map(is_number, parts[1:])):
            return None
        offset = int(parts[1]) if len(parts) > 1 else 0
        kept = self._kept.get(f"{kind}/{parts[0]}")
        if kept is None and kind != "draft" and is_name(parts[0]):
            kept = await self._read(kind, parts[0])
        return piece_of(*kept, offset) if kept is not None else None

    async def _read(self, kind: str, name: str) -> tuple[str, bytes]:
        found: list[tuple[str, bytes]] = []

        def work() -> None:
            if kind == "snapshot":
                found.append(self.log.snapshot(name))
            else:
                found.append((name, self.log.since(int(kind.partition("/")[2]), name)))

        await self.disk(work)
        if len(found[0][1]) > messages.PIECE_BYTES:
            # The further pieces of a snapshot are asked for by its own name.
            self.keep(f"{kind}/{found[0][0]}", *found[0])
        return found[0]

    def keep(self, path: str, name: str, whole: bytes) -> None:
        """Keep something for its further pieces for a while."""
        while len(self._kept) >= MAX_TRANSFERS:
            del self._kept[next(iter(self._kept))]
        self._kept[path] = (name, whole)
        asyncio.get_running_loop().call_later(TRANSFER_KEPT, self._kept.pop, path, None)
