"""What a leaseholder leaves on disk for the process after it: the epoch that it served under.

Voters count on its grace time also after a restart, so the next process may serve on in it.
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
        The id of the machine's boot, in which `grace_end` counts.
    state : EpochState
        The epoch that was served under.
    voter_sets : list
        The addresses of the voters of each policy that the epoch names.
    grace_end : int
        Until when it may be served on, ns.
    """

    boot_id: str
    state: EpochState
    voter_sets: list[list[str]]
    grace_end: int


class GraceStore:
    """Writes and reads that record."""

    def __init__(self, environment: Environment, log: PolicyLog) -> None:
        self.environment = environment
        self.log = log
        self.store = Store(environment.folder, "node", environment.before_disk_step)
        self._written_state: EpochState | None = None
        self._written_grace_end = 0  # ns

    def read(self) -> GraceRecord | None:
        """What the process before left, if it can be read; StoreError: the disk failed."""
        data = self.store.open()
        if data is None:
            return None
        try:
            found: GraceRecord = msgspec.msgpack.decode(data, type=GraceRecord)
        except msgspec.DecodeError:
            return None
        return found

    def record(self, holder: Leaseholder) -> bytes | None:
        """The record that is due for a leaseholder; None: the one on disk is recent enough.

        A write takes the disk a while, so one is due only when the epoch is another or half of the grace
        time has passed.
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
        """Bring a record to the disk; a disk that fails is logged."""
        try:
            await self.environment.disk(lambda: self.store.put(record))
        except StoreError as error:
            self.environment.data_plane.log_event(LogEvent.GRACE_STORE_FAILED, error=str(error))
