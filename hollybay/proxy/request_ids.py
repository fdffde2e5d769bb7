"""Ids of the requests that are open at this node, and of those that ended recently."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from .ended_ids import DIGEST_BYTES, EndedIds
from .memory_budget import MemoryBudget

if TYPE_CHECKING:
    # Imported at run time only by nodes with an admin address, whose processes may replace each other.
    from .shared_ended_ids import SharedEndedIds
    from .shared_request_ids import SharedRequestIds

__all__ = ["NOT_CLAIMED", "RequestIds", "ended_ids_bytes"]

MAX_ENDED_IDS_BYTES = 512 << 10
MIN_ENDED_IDS_BYTES = 32 << 10
# The ended ids take one part in this many of the memory budget at most.
MEMORY_DIVISOR = 16

NOT_CLAIMED = -1
"""Number of a request that has claimed no id, which no id has."""


def ended_ids_bytes(memory_total: int) -> int:
    """Return the size (bytes) of the tables of ended ids for a memory budget, which is a power of two."""
    size = MAX_ENDED_IDS_BYTES
    while size > MIN_ENDED_IDS_BYTES and size * MEMORY_DIVISOR > memory_total:
        size //= 2
    return size


def _number_of(request_id: bytes) -> int:
    digest = blake2b(request_id, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "little") or 1  # 0 marks an empty entry


class RequestIds:
    """Hashes of the ids of open requests, and of those that ended recently.

    Every request has its own id, including a client's retry. If an id is seen again while the first request
    with it is open, or soon after, it was reused by another client, and servers would take that client's
    request for a duplicate of the first one. Such a request is therefore rejected.

    A request claims its id with its head. The id stays claimed until the request has its final response and
    no attempt in flight, however long that takes and however many other requests there are.

    Parameters
    ----------
    memory
        Memory budget of the node, out of which the tables of ended ids are taken.

    Attributes
    ----------
    open
        Ids of the open requests.
    ended
        Ids that ended recently.
    reserved_bytes
        Size of the tables of ended ids.
    shared, shared_ended
        Open and ended ids of all processes of the node during a hand-over; None if there is only one process.
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self.open: set[int] = set()
        self.reserved_bytes = ended_ids_bytes(memory.total)
        memory.set_aside(self.reserved_bytes)
        self.ended = EndedIds(memoryview(bytearray(self.reserved_bytes)))
        self.shared: SharedRequestIds | None = None
        self.shared_ended: SharedEndedIds | None = None

    def claim(self, request_id: bytes, now: float) -> int:
        """Claim an id, and return its number, or `NOT_CLAIMED` if it is in use or was recently.

        Parameters
        ----------
        request_id
            The id as the client sent it.
        now
            Monotonic time (s).
        """
        if self.ended.start_generation_if_due(now) and self.shared_ended is not None:
            self.shared_ended.forget_dead(now)
        number = _number_of(request_id)
        if number in self.open or number in self.ended:
            return NOT_CLAIMED
        if self.shared_ended is not None and number in self.shared_ended:
            return NOT_CLAIMED
        if self.shared is not None and not self.shared.claim(number):
            return NOT_CLAIMED
        self.open.add(number)
        return number

    def forget(self, number: int) -> None:
        """Release the id of a request that was never complete, so that nothing can have run for it."""
        if number in self.open:
            self._remove(number)

    def retire(self, number: int, now: float) -> None:
        """Release the id of a request that has ended at a monotonic time (s), and remember it for a while."""
        if number in self.open:
            # Entered before it is removed, so that another process finds it in one of the tables.
            self.ended.add(number, now)
            self._remove(number)

    def share_ended(self, shared: SharedEndedIds) -> None:
        """Keep ended ids in a table that other processes can read; none may have ended before."""
        self.shared_ended = shared
        self.ended = EndedIds(shared.memory)

    def _remove(self, number: int) -> None:
        self.open.remove(number)
        if self.shared is not None:
            self.shared.release(number)
