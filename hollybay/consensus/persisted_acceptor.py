"""What an acceptor keeps on disk: its votes and promises, and the history of epochs."""

from __future__ import annotations

import msgspec

from .acceptor import Acceptor
from .core import Ballot, EpochState
from .messages import HistoryEntry
from .store import StoreError

__all__ = ["PersistedAcceptor"]


class PersistedAcceptor(msgspec.Struct, frozen=True, array_like=True):
    """The record on disk.

    Encoded as an array: the order of the fields is fixed.

    Attributes
    ----------
    decided, promised, accepted, last_barred_epoch
        As in `acceptor.Acceptor`.
    longest_lease : int
        The longest lease that it may have granted, with its grace time, ns.
    history : list of HistoryEntry
        The last epochs that it learned.
    """

    decided: EpochState
    promised: Ballot
    accepted: tuple[Ballot, EpochState] | None
    last_barred_epoch: int
    longest_lease: int
    history: list[HistoryEntry]

    @classmethod
    def of(cls, acceptor: Acceptor, longest_lease: int, history: list[HistoryEntry]) -> PersistedAcceptor:
        """What must outlive the process of an acceptor."""
        return cls(
            acceptor.decided,
            acceptor.promised,
            acceptor.accepted,
            acceptor.last_barred_epoch,
            longest_lease,
            history,
        )

    @classmethod
    def decode(cls, data: bytes, where: str) -> PersistedAcceptor:
        """The record from its bytes; `where` they come from. StoreError: they are none."""
        try:
            persisted: PersistedAcceptor = msgspec.msgpack.decode(data, type=cls)
        except msgspec.DecodeError as error:
            raise StoreError(f"{where}: {error}") from None
        return persisted

    def encode(self) -> bytes:
        """The bytes of the record."""
        return msgspec.msgpack.encode(self)

    def acceptor(self, number: int) -> Acceptor:
        """The acceptor as it was, without its leases: these are not on disk."""
        return Acceptor(
            number, self.decided, self.promised, self.accepted, last_barred_epoch=self.last_barred_epoch
        )
