"""Fetching missing log entries from other processes: as a delta, or as a snapshot and the entries after it.

A reply is verified completely before any part of it is stored: it must end with the requested entry, each
entry must hold the digest of its predecessor, and the first one must follow an entry in the local log. A
reply with a gap or a wrong digest, or one that is too long, is rejected with a reason, and the next address
is asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from typing import Any, TypeVar

import msgspec

from hollybay.resources.state import ResourceState
from hollybay.resources.wire import MAX_BATCH_BYTES, MAX_SNAPSHOT_BYTES

from .errors import LogGapError, MalformedDataError, RejectedError
from .http_status import GONE
from .log import PolicyLog
from .log_entry import Snapshot
from .policy import PolicyVersion, decode_policy, version_of
from .reasons import NotPersisted
from .requests import CallFailedError
from .store import StoreError
from .transfer import download

__all__ = ["LOG_TRUNCATED_STATUS", "MAX_DELTA_BYTES", "FetchResult", "Fetcher", "parse_delta"]

# The longest delta that is accepted, in bytes.
MAX_DELTA_BYTES = 2 * MAX_BATCH_BYTES
# HTTP status of a reply to a request for entries that the other log no longer holds.
LOG_TRUNCATED_STATUS = GONE
# Number of deltas that are requested, each from an older version, before a snapshot is requested.
MAX_DELTA_REQUESTS = 2
# Number of addresses whose last failure is kept, and the longest text of a failure in characters.
MAX_FAILURES = 16
MAX_FAILURE_LENGTH = 400

T = TypeVar("T")
# Requests a path from an address; returns the body of the reply.
Call = Callable[[str, str], Awaitable[bytes]]


@dataclass(frozen=True, slots=True)
class FetchResult:
    """The result of a fetch.

    Parameters
    ----------
    policy
        The requested entry; None if no address had it.
    problem
        Why a fetched entry could not be stored on disk; None if it was stored, or if no address had it.
    """

    policy: PolicyVersion | None
    problem: NotPersisted | None = None


@dataclass(frozen=True, slots=True)
class _FetchedChain:
    """Verified entries that follow a snapshot or an entry of the local log.

    Parameters
    ----------
    entries
        In order; may be empty if there is a snapshot.
    snapshot
        The encoded snapshot; empty if there is none.
    parsed_snapshot
        The policy and the resources of the snapshot.
    """

    entries: list[PolicyVersion]
    snapshot: bytes = b""
    parsed_snapshot: tuple[PolicyVersion, ResourceState] | None = None

    @property
    def last(self) -> PolicyVersion:
        """The requested entry."""
        if self.entries:
            return self.entries[-1]
        assert self.parsed_snapshot is not None
        policy, _ = self.parsed_snapshot
        return policy

    def store(self, log: PolicyLog) -> None:
        """Add the entries to a log. StoreError, RejectedError: as for `PolicyLog.append`."""
        if self.parsed_snapshot is not None:
            log.install_snapshot(self.snapshot, self.parsed_snapshot)
        for policy in self.entries:
            log.append(policy)


def parse_delta(data: bytes) -> list[PolicyVersion]:
    """Decode a delta. MalformedDataError: the bytes are not a list of entries."""
    try:
        encoded: list[msgspec.Raw] = msgspec.msgpack.decode(data, type=list[msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedDataError(f"not a list of entries: {error}") from None
    return [decode_policy(bytes(entry)) for entry in encoded]


def check_links(entries: list[PolicyVersion], name: str) -> None:
    """Check that the entries form a chain that ends with `name`. LogGapError: they do not."""
    if not entries or entries[-1].name != name:
        last = entries[-1].name if entries else "nothing"
        raise LogGapError(f"the delta ends with {last} instead of {name}")
    for before, after in pairwise(entries):
        if after.version != before.version + 1 or after.parent != before.digest:
            raise LogGapError(f"a gap: {after.name} does not follow {before.name}")


@dataclass
class Fetcher:
    """Fetches entries for one process; concurrent requests for the same entry share one fetch.

    Parameters
    ----------
    log
        The local log, in which entries are stored.
    call
        Requests a path from an address.
    run_blocking
        Runs a function that uses the disk or takes long in a thread.
    spawn
        Starts a task that is cancelled when the process ends.
    failures
        By address: why the last fetch from it failed. The oldest are dropped, see MAX_FAILURES.
    """

    log: PolicyLog
    call: Call
    run_blocking: Callable[[Callable[[], None]], Awaitable[None]]
    spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]
    failures: dict[str, str] = field(default_factory=dict)
    _in_flight: dict[str, asyncio.Task[FetchResult]] = field(default_factory=dict)

    async def fetch(self, name: str, addresses: Iterable[str]) -> FetchResult:
        """Get an entry from the local log, or fetch and store it from the first address that has it."""
        policy = self.log.policy(name)
        if policy is not None:
            return FetchResult(policy)
        in_flight = self._in_flight.get(name)
        if in_flight is not None:
            result = await asyncio.shield(in_flight)
            if result.policy is not None:
                return result
        task: asyncio.Task[FetchResult] = self.spawn(self._fetch_from_any(name, list(addresses)))
        self._in_flight[name] = task
        try:
            return await asyncio.shield(task)
        finally:
            if self._in_flight.get(name) is task:
                del self._in_flight[name]

    async def _fetch_from_any(self, name: str, addresses: list[str]) -> FetchResult:
        for address in addresses:
            try:
                chain = await self._fetch_chain(address, name)
                await self.run_blocking(partial(chain.store, self.log))
            except StoreError as error:
                return FetchResult(chain.last.without_changes(), NotPersisted(str(error)))
            except (CallFailedError, RejectedError) as error:
                self._record_failure(address, f"{name}: {error}")
                continue
            return FetchResult(self.log.policy(name))
        return FetchResult(None)

    def _record_failure(self, address: str, reason: str) -> None:
        self.failures.pop(address, None)
        self.failures[address] = reason[:MAX_FAILURE_LENGTH]
        while len(self.failures) > MAX_FAILURES:
            del self.failures[next(iter(self.failures))]

    async def _fetch_chain(self, address: str, name: str) -> _FetchedChain:
        """Fetch the missing entries up to the named one.

        CallFailedError, RejectedError: the address has no usable chain.
        """
        for version in self._versions_before(name):
            try:
                entries = await self._fetch_delta(address, version, name)
            except CallFailedError as error:
                if error.status != LOG_TRUNCATED_STATUS:
                    raise
                break
            if self._has_parent(entries[0]):
                return _FetchedChain(entries)
        return await self._fetch_snapshot(address, name)

    def _versions_before(self, name: str) -> list[int]:
        """The newest local versions before an entry that have resources, newest first; [0] if none has."""
        target = version_of(name)
        versions: set[int] = set()
        for other in self.log.names():
            policy = self.log.policy(other)
            if policy is None or policy.version >= target or self.log.state(other) is None:
                continue
            versions.add(policy.version)
        return sorted(versions, reverse=True)[:MAX_DELTA_REQUESTS] or [0]

    def _has_parent(self, entry: PolicyVersion) -> bool:
        """Whether the resources that an entry is based on are in memory."""
        if entry.version == 1:
            return True
        parent = self.log.policy(entry.parent_name)
        return (
            parent is not None
            and parent.digest == entry.parent
            and self.log.state(entry.parent_name) is not None
        )

    async def _fetch_delta(self, address: str, version: int, name: str) -> list[PolicyVersion]:
        path = f"since/{version}/{name}"
        _, data = await download(partial(self.call, address), path, lambda _: path, MAX_DELTA_BYTES)
        entries = await self._compute(lambda: parse_delta(data))
        check_links(entries, name)
        return entries

    async def _fetch_snapshot(self, address: str, name: str) -> _FetchedChain:
        _, data = await download(
            partial(self.call, address),
            f"snapshot/{name}",
            lambda snapshot_name: f"snapshot/{snapshot_name}",
            MAX_SNAPSHOT_BYTES,
        )
        parsed = await self._compute(lambda: Snapshot.decode(data))
        policy, _ = parsed
        if policy.name == name:
            return _FetchedChain([], data, parsed)
        entries = await self._fetch_delta(address, policy.version, name)
        if entries[0].parent != policy.digest:
            raise LogGapError(f"a gap: {entries[0].name} does not follow the snapshot {policy.name}")
        return _FetchedChain(entries, data, parsed)

    async def _compute(self, work: Callable[[], T]) -> T:
        """Run a slow function in a thread and return its result."""
        results: list[T] = []
        await self.run_blocking(lambda: results.append(work()))
        return results[0]
