"""Detection of request ids that were used recently."""

from __future__ import annotations

__all__ = ["RecentRequestIds"]

RETENTION_S = 10.0  # minimum time (s) for which an id is remembered, unless there are more than MAX_IDS
MAX_IDS = 20_000  # per generation


class RecentRequestIds:
    """Hashes of the ids of recent requests, in two generations, which bounds the memory.

    Every request has its own id, including a client's retry. If an id is seen again while the first request
    with it is in progress, or soon after, it was reused by another client, and servers would take that
    client's request for a duplicate of the first one. Such a request is therefore rejected.
    """

    def __init__(self) -> None:
        self.current: set[int] = set()
        self.previous: set[int] = set()
        self.started_at = 0.0  # of the current generation

    def check_and_add(self, request_id: bytes, now: float) -> bool:
        """Return whether an id was seen recently, and remember it.

        Parameters
        ----------
        request_id
            The id as the client sent it.
        now
            Monotonic time (s).
        """
        if now - self.started_at >= RETENTION_S or len(self.current) >= MAX_IDS:
            self.previous, self.current, self.started_at = self.current, set(), now
        number = hash(request_id)
        if number in self.current or number in self.previous:
            return True
        self.current.add(number)
        return False
