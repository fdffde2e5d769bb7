"""Counters of a node's requests and configuration reloads, from the start of its process."""

from __future__ import annotations

__all__ = ["RequestCounters"]


class RequestCounters:
    """Counters of final responses by request class, and of configuration reloads by result.

    A request whose client disconnected before its final response is not counted.

    Parameters
    ----------
    class_count
        Number of request classes; the lists of counters are indexed by class.

    Attributes
    ----------
    served
        Requests that got the response of a server.
    rejected
        Requests that were rejected, so that a retry is harmless.
    failed
        Requests that got an error response although a server may have run them.
    stalled_clients
        Streamed responses that were aborted as their client read nothing.
    reloads_ok, reloads_failed
        Configuration reloads that were applied, and those that failed as the configuration was invalid.
    """

    __slots__ = ("failed", "rejected", "reloads_failed", "reloads_ok", "served", "stalled_clients")

    def __init__(self, class_count: int) -> None:
        self.served = [0] * class_count
        self.rejected = [0] * class_count
        self.failed = [0] * class_count
        self.stalled_clients = 0
        self.reloads_ok = 0
        self.reloads_failed = 0
