"""Ids of the requests that are open at this node, and of those that ended recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Imported at run time only by nodes with an admin address, whose processes may replace each other.
    from .shared_request_ids import SharedRequestIds

__all__ = ["NOT_CLAIMED", "RequestIds"]

RETENTION_S = 10.0  # minimum time (s) for which an ended id is remembered, unless there are more than MAX_IDS
MAX_IDS = 20_000  # ended ids per generation

NOT_CLAIMED = -1
"""Number of a request that has claimed no id; `hash` never returns it."""


class RequestIds:
    """Hashes of the ids of open requests, and of those that ended recently.

    Every request has its own id, including a client's retry. If an id is seen again while the first request
    with it is open, or soon after, it was reused by another client, and servers would take that client's
    request for a duplicate of the first one. Such a request is therefore rejected.

    A request claims its id with its head. The id stays claimed until the request has its final response and
    no attempt in flight, however long that takes and however many other requests there are. Ended ids are
    remembered in two generations, which bounds their memory.

    Attributes
    ----------
    open
        Ids of the open requests.
    current, previous
        Ids that ended recently, in two generations.
    started_at
        Start of the current generation (s).
    shared
        Open ids of all processes of the node during a hand-over; None if there is only one process.
    """

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.current: set[int] = set()
        self.previous: set[int] = set()
        self.started_at = 0.0
        self.shared: SharedRequestIds | None = None

    def claim(self, request_id: bytes, now: float) -> int:
        """Claim an id, and return its number, or `NOT_CLAIMED` if it is in use or was recently.

        Parameters
        ----------
        request_id
            The id as the client sent it.
        now
            Monotonic time (s).
        """
        self._start_generation_if_due(now)
        number = hash(request_id)
        if number in self.open or number in self.current or number in self.previous:
            return NOT_CLAIMED
        if self.shared is not None and not self.shared.claim(number, request_id):
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
            self._remove(number)
            self._start_generation_if_due(now)
            self.current.add(number)

    def _remove(self, number: int) -> None:
        self.open.remove(number)
        if self.shared is not None:
            self.shared.release(number)

    def _start_generation_if_due(self, now: float) -> None:
        if now - self.started_at >= RETENTION_S or len(self.current) >= MAX_IDS:
            self.previous, self.current, self.started_at = self.current, set(), now
