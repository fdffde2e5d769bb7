"""What a process lacks of the log, from others: a delta, or a snapshot and what follows it.

Whatever comes is verified before anything of it is taken in: it must end with the entry that was asked for,
each entry must hold the digest of the one before it, and the first must follow what is here. So a delta over
a gap, a digest that does not fit and an answer that is too long are refused with a reason, and the next
keeper is asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any, TypeVar

import msgspec

from hollybay.resources.state import ResourceState
from hollybay.resources.wire import MAX_BATCH_BYTES, MAX_SNAPSHOT_BYTES

from .log import PolicyLog, Snapshot
from .policy import Policy, RejectedError, parse, version_of
from .requests import UnreachableError
from .store import StoreError
from .transfer import download

__all__ = ["MAX_DELTA_BYTES", "NOT_REACHED", "FetchResult", "Fetcher", "parse_delta"]

MAX_DELTA_BYTES = 2 * MAX_BATCH_BYTES
NOT_REACHED = 410  # the status that says: the log does not reach back so far
# Deltas that are asked for, from older and older entries, before a snapshot is.
DELTA_TRIES = 2
MAX_REASONS = 16

T = TypeVar("T")
Call = Callable[[str, str], Awaitable[bytes]]  # door, path


@dataclass(frozen=True, slots=True)
class FetchResult:
    """An entry that was asked for. policy: None: nobody gave it; problem: why it is not on this disk."""

    policy: Policy | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class _Chain:
    """What was fetched and holds together: a snapshot, or none, and the entries after it or after what is
    here.
    """

    entries: list[Policy]
    snapshot: bytes = b""
    parsed: tuple[Policy, ResourceState] | None = None

    @property
    def last(self) -> Policy:
        if self.entries:
            return self.entries[-1]
        assert self.parsed is not None
        return self.parsed[0]

    def take(self, log: PolicyLog) -> None:
        """Bring it to the disk. StoreError: that failed; RejectedError: an entry does not make what it
        states.
        """
        if self.parsed is not None:
            log.install(self.snapshot, self.parsed)
        for policy in self.entries:
            log.put(policy)


def parse_delta(data: bytes) -> list[Policy]:
    """Entries from their bytes. RejectedError: they hold none."""
    try:
        pieces: list[msgspec.Raw] = msgspec.msgpack.decode(data, type=list[msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        raise RejectedError(f"no entries: {error}") from None
    return [parse(bytes(piece)) for piece in pieces]


def check_links(entries: list[Policy], name: str) -> None:
    """Whether entries follow each other up to one of this name. RejectedError: they do not."""
    if not entries or entries[-1].name != name:
        raise RejectedError(
            f"a delta that ends with {entries[-1].name if entries else 'nothing'}, and not {name}"
        )
    for before, after in pairwise(entries):
        if after.version != before.version + 1 or after.parent != before.digest:
            raise RejectedError(f"a gap: {after.name} does not follow {before.name}")


@dataclass
class Fetcher:
    """Fetches entries for one process. call: by door and path; spawn: begins a task that ends with the
    process.

    disk: runs in a thread what touches the disk, or takes long. reasons: by door, why its last answer was
    refused.
    """

    log: PolicyLog
    call: Call
    disk: Callable[[Callable[[], None]], Awaitable[None]]
    spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]
    reasons: dict[str, str] = field(default_factory=dict)
    _going: dict[str, asyncio.Task[FetchResult]] = field(default_factory=dict)

    async def bring(self, name: str, doors: Iterable[str]) -> FetchResult:
        """An entry, on this disk if possible, from whichever of these doors gives it first."""
        known = self.log.get(name)
        if known is not None:
            return FetchResult(known)
        going = self._going.get(name)
        if going is not None:
            found = await asyncio.shield(going)
            if found.policy is not None:
                return found
        task: asyncio.Task[FetchResult] = self.spawn(self._bring(name, list(doors)))
        self._going[name] = task
        try:
            return await asyncio.shield(task)
        finally:
            if self._going.get(name) is task:
                del self._going[name]

    async def _bring(self, name: str, doors: list[str]) -> FetchResult:
        for door in doors:
            try:
                chain = await self._chain(door, name)
                await self.disk(lambda chain=chain: chain.take(self.log))  # type: ignore[misc]
            except StoreError as error:
                return FetchResult(chain.last.without_changes(), f"cannot be kept: {error}")
            except (UnreachableError, RejectedError) as error:
                self._note(door, f"{name}: {error}")
                continue
            return FetchResult(self.log.get(name))
        return FetchResult(None)

    def _note(self, door: str, reason: str) -> None:
        self.reasons.pop(door, None)
        self.reasons[door] = reason[:400]
        while len(self.reasons) > MAX_REASONS:
            del self.reasons[next(iter(self.reasons))]

    async def _chain(self, door: str, name: str) -> _Chain:
        """What is lacking for an entry, from one door. UnreachableError, RejectedError: it does not give
        that.
        """
        for version in self._versions_before(name):
            try:
                entries = await self._delta(door, version, name)
            except UnreachableError as error:
                if error.status != NOT_REACHED:
                    raise
                break
            if self._follows_here(entries[0]):
                return _Chain(entries)
        return await self._snapshot(door, name)

    def _versions_before(self, name: str) -> list[int]:
        """The newest versions that are here of what may be before an entry; 0 where there is none."""
        target = version_of(name)
        here = {
            policy.version
            for one in self.log.names()
            if (policy := self.log.get(one)) is not None
            and policy.version < target
            and self.log.state(one) is not None
        }
        return sorted(here, reverse=True)[:DELTA_TRIES] or [0]

    def _follows_here(self, entry: Policy) -> bool:
        if entry.version == 1:
            return True
        parent = self.log.get(entry.parent_name)
        return (
            parent is not None
            and parent.digest == entry.parent
            and self.log.state(entry.parent_name) is not None
        )

    async def _delta(self, door: str, version: int, name: str) -> list[Policy]:
        path = f"since/{version}/{name}"
        _, data = await download(lambda part: self.call(door, part), path, lambda _: path, MAX_DELTA_BYTES)
        entries = await self._worked_out(lambda: parse_delta(data))
        check_links(entries, name)
        return entries

    async def _snapshot(self, door: str, name: str) -> _Chain:
        _, data = await download(
            lambda part: self.call(door, part),
            f"snapshot/{name}",
            lambda found: f"snapshot/{found}",
            MAX_SNAPSHOT_BYTES,
        )
        parsed = await self._worked_out(lambda: Snapshot.parse(data))
        policy = parsed[0]
        if policy.name == name:
            return _Chain([], data, parsed)
        entries = await self._delta(door, policy.version, name)
        if entries[0].parent != policy.digest:
            raise RejectedError(f"a gap: {entries[0].name} does not follow the snapshot {policy.name}")
        return _Chain(entries, data, parsed)

    async def _worked_out(self, work: Callable[[], T]) -> T:
        """The result of what takes long, worked out in a thread."""
        found: list[T] = []
        await self.disk(lambda: found.append(work()))
        return found[0]
