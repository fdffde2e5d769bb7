"""What a node counts of its requests, from its start on."""

from __future__ import annotations

__all__ = ["Tally"]


class Tally:
    """Final answers by class, and reloads. A request whose client has left is in none of the first three."""

    __slots__ = ("failed", "refused", "reloads_failed", "reloads_ok", "served")

    def __init__(self, classes: int) -> None:
        self.served = [0] * classes
        self.refused = [0] * classes
        self.failed = [0] * classes
        self.reloads_ok = 0
        self.reloads_failed = 0
