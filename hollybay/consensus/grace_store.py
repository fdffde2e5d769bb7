"""Durable record of the grace time of a leaseholder, for the process that replaces it after a restart.

Voters wait for the end of a grace time whether or not the process restarts, so the next process may serve
under the recorded epoch until then.
"""

from __future__ import annotations

import msgspec

from .core import EpochState, policies_named
from .environment import Environment
from .leaseholder import Leaseholder
from .log import PolicyLog
from .log_events import LogEvent
from .store import Store, StoreError

__all__ = ["GraceRecord", "GraceStore"]


class GraceRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record on disk.

    Attributes
    ----------
    boot_id : str
        The boot of the machine whose clock `grace_end` refers to.
    state : EpochState
        The epoch that the process served under.
    voter_sets : list
        The addresses of the voters of each policy that the epoch names.
    grace_end : int
        When the grace time ends, ns.
    """

    boot_id: str
    state: EpochState
    voter_sets: list[list[str]]
    grace_end: int


class GraceStore:
    """Reads and writes the record."""

    def __init__(self, environment: Environment, log: PolicyLog) -> None:
        self.environment = environment
        self.log = log
        self.store = Store(environment.folder, "node", environment.before_disk_step)
        self._written_state: EpochState | None = None
        self._written_grace_end = 0  # ns

    def read(self) -> GraceRecord | None:
        """The record of the previous process; None if there is no valid one. StoreError: the disk failed."""
        data = self.store.open()
        if data is None:
            return None
        try:
            found: GraceRecord = msgspec.msgpack.decode(data, type=GraceRecord)
        except msgspec.DecodeError:
            return None
        return found

    def record(self, holder: Leaseholder) -> bytes | None:
        """The record to write for a leaseholder; None if the one on disk is recent enough.

        To limit disk writes, the record is written only if the epoch has changed or the recorded grace time
        ends at least half a grace time before the current one.
        """
        state = holder.effective_epoch
        grace = self.environment.settings.grace_ns
        if not grace or state is None:
            return None
        recent = self.store.data and self._written_grace_end > holder.grace_end - grace // 2
        if recent and self._written_state == state:
            return None
        self._written_state = state
        self._written_grace_end = holder.grace_end
        policies = [self.log.policy(name) for name in policies_named(state)]
        voter_sets = [list(policy.voters) for policy in policies if policy is not None]
        return msgspec.msgpack.encode(
            GraceRecord(self.environment.boot_id, state, voter_sets, holder.grace_end)
        )

    async def write(self, record: bytes) -> None:
        """Write a record; a disk failure is logged."""
        try:
            await self.environment.disk(lambda: self.store.put(record))
        except StoreError as error:
            self.environment.data_plane.log_event(LogEvent.GRACE_STORE_FAILED, error=str(error))
