"""The ids of recent requests."""

from __future__ import annotations

__all__ = ["RecentRequestIds"]

MEMORY = 10.0  # seconds for which an id is remembered at least, unless there are too many
MAX_IDS = 20_000  # in each of the two generations


class RecentRequestIds:
    """Ids of recent requests, as hashes in two generations, so that memory is bounded.

    Every request has an id of its own, a client's retry included. An id that comes again while its first
    request is open, or soon after, belongs to another client, and servers would take its request for a repeat
    of the first. A client that repeats an id although the node has read its first request is rejected.
    """

    def __init__(self) -> None:
        self.current: set[int] = set()
        self.previous: set[int] = set()
        self.started_at = 0.0  # of the current generation

    def check_and_add(self, request_id: bytes, now: float) -> bool:
        """Tell whether an id came recently, and remember it.

        Parameters
        ----------
        now
            Monotonic time (s).
        """
        if now - self.started_at >= MEMORY or len(self.current) >= MAX_IDS:
            self.previous, self.current, self.started_at = self.current, set(), now
        number = hash(request_id)
        if number in self.current or number in self.previous:
            return True
        self.current.add(number)
        return False
