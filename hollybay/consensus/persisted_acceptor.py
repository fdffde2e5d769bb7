"""The durable part of an acceptor: its decided epoch, promise and vote, and the history of epochs."""

from __future__ import annotations

import msgspec

from .acceptor import Acceptor
from .core import Ballot, EpochState
from .messages import HistoryEntry
from .store import StoreError

__all__ = ["PersistedAcceptor"]


class PersistedAcceptor(msgspec.Struct, frozen=True, array_like=True):
    """The record of an acceptor on disk.

    It is encoded as an array, so the order of the fields must not change.

    Attributes
    ----------
    decided, promised, accepted, last_barred_epoch
        As in `acceptor.Acceptor`.
    longest_lease : int
        The longest lease that it may have granted, with its grace time, ns.
    history : list of HistoryEntry
        The last epochs that the acceptor learned.
    """

    decided: EpochState
    promised: Ballot
    accepted: tuple[Ballot, EpochState] | None
    last_barred_epoch: int
    longest_lease: int
    history: list[HistoryEntry]

    @classmethod
    def of(cls, acceptor: Acceptor, longest_lease: int, history: list[HistoryEntry]) -> PersistedAcceptor:
        """The record for an acceptor."""
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
        """Decode a record; `where` names its origin in errors. StoreError: the data is not a record."""
        try:
            persisted: PersistedAcceptor = msgspec.msgpack.decode(data, type=cls)
        except msgspec.DecodeError as error:
            raise StoreError(f"{where}: {error}") from None
        return persisted

    def encode(self) -> bytes:
        """Encode the record."""
        return msgspec.msgpack.encode(self)

    def acceptor(self, number: int) -> Acceptor:
        """The acceptor with the recorded state, without its leases, which are not durable."""
        return Acceptor(
            number, self.decided, self.promised, self.accepted, last_barred_epoch=self.last_barred_epoch
        )
