"""Fetching the part of the log that a process lacks: a delta, or a snapshot and the entries after it.

Every reply is verified before any of it is stored: it must end with the requested entry, each entry must hold
the digest of the one before it, and the first must follow an entry that is here. A delta with a gap, a digest
that does not match and a reply that is too long are rejected with a reason, and the next voter is asked.
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

# The longest delta.
MAX_DELTA_BYTES = 2 * MAX_BATCH_BYTES
# HTTP status of a reply that the log does not reach back so far.
LOG_TRUNCATED_STATUS = GONE
# How many deltas are requested, from ever older entries, before a snapshot is.
MAX_DELTA_REQUESTS = 2
# How many addresses' failures are remembered, and the longest text of one in characters.
MAX_FAILURES = 16
MAX_FAILURE_LENGTH = 400

T = TypeVar("T")
# Makes a call, by address and path.
Call = Callable[[str, str], Awaitable[bytes]]


@dataclass(frozen=True, slots=True)
class FetchResult:
    """The result of a fetch.

    Parameters
    ----------
    policy
        The requested entry; None: nobody had it.
    problem
        Why the entry is not on this disk; None: it is, or nobody had it.
    """

    policy: PolicyVersion | None
    problem: NotPersisted | None = None


@dataclass(frozen=True, slots=True)
class _FetchedChain:
    """Verified entries, after a snapshot or after an entry that is here.

    Parameters
    ----------
    entries
        In order; may be empty where there is a snapshot.
    snapshot
        An encoded snapshot; empty: there is none.
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
    """The entries of an encoded delta. MalformedDataError: it holds none."""
    try:
        encoded: list[msgspec.Raw] = msgspec.msgpack.decode(data, type=list[msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedDataError(f"no entries: {error}") from None
    return [decode_policy(bytes(entry)) for entry in encoded]


def check_links(entries: list[PolicyVersion], name: str) -> None:
    """Check that entries form a chain that ends with the one of this name. LogGapError: they do not."""
    if not entries or entries[-1].name != name:
        last = entries[-1].name if entries else "nothing"
        raise LogGapError(f"a delta that ends with {last}, and not {name}")
    for before, after in pairwise(entries):
        if after.version != before.version + 1 or after.parent != before.digest:
            raise LogGapError(f"a gap: {after.name} does not follow {before.name}")


@dataclass
class Fetcher:
    """Fetches entries for one process; concurrent requests for one entry share a fetch.

    Parameters
    ----------
    log
        Where entries are stored.
    call
        Makes a call, by address and path.
    run_blocking
        Runs a function in a thread: what uses the disk or takes long.
    spawn
        Starts a task that is cancelled when the process ends.
    failures
        Why the last reply of an address was rejected.
    """

    log: PolicyLog
    call: Call
    run_blocking: Callable[[Callable[[], None]], Awaitable[None]]
    spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]
    failures: dict[str, str] = field(default_factory=dict)
    _in_flight: dict[str, asyncio.Task[FetchResult]] = field(default_factory=dict)

    async def fetch(self, name: str, addresses: Iterable[str]) -> FetchResult:
        """An entry, stored here if possible, from the first of these addresses that has it."""
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
        """What this log lacks for an entry. CallFailedError, RejectedError: the address does not give it."""
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
        """The newest versions here that may precede an entry, the newest first; [0] where there is none."""
        target = version_of(name)
        versions: set[int] = set()
        for other in self.log.names():
            policy = self.log.policy(other)
            if policy is None or policy.version >= target or self.log.state(other) is None:
                continue
            versions.add(policy.version)
        return sorted(versions, reverse=True)[:MAX_DELTA_REQUESTS] or [0]

    def _has_parent(self, entry: PolicyVersion) -> bool:
        """Whether the resources that an entry was made on are here."""
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
        """The result of a function that takes long, computed in a thread."""
        results: list[T] = []
        await self.run_blocking(lambda: results.append(work()))
        return results[0]
