"""Counters of a node's requests and configuration reloads, from the start of its process."""

from __future__ import annotations

__all__ = ["RequestCounters"]


class RequestCounters:
    """Final answers by request class, and configuration reloads by result.

    A request whose client disconnected before its final answer is in none of the counters.

    Parameters
    ----------
    class_count
        Number of request classes; the lists of counters are indexed by class.

    Attributes
    ----------
    served
        Requests answered with the response of a server.
    rejected
        Requests rejected so that trying again is harmless.
    failed
        Requests answered with an error although a server may have run them.
    reloads_ok, reloads_failed
        Configuration reloads that were applied, and those whose configuration was invalid.
    """

    __slots__ = ("failed", "rejected", "reloads_failed", "reloads_ok", "served")

    def __init__(self, class_count: int) -> None:
        self.served = [0] * class_count
        self.rejected = [0] * class_count
        self.failed = [0] * class_count
        self.reloads_ok = 0
        self.reloads_failed = 0
