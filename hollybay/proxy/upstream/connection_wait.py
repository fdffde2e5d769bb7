"""When requests to a server are held for its connections for so long that another connection is cheaper."""

from __future__ import annotations

__all__ = ["HoldAccount"]

# Part of the price of a connection that the account forgets each second: requests that are held now and then
# never add up to one.
FORGOTTEN = 1.0


class HoldAccount:
    """How long the requests to one server were held lately, against the price of a connection.

    The rule of ski rental: a connection is opened when the holds, with the one that is due, would have cost
    more than it, and the account begins anew. Not thread-safe.
    """

    __slots__ = ("at", "held")

    def __init__(self) -> None:
        self.held = 0.0  # s, as of `at`
        self.at = 0.0

    def allows(self, hold: float, price: float, now: float) -> bool:
        """Whether a request is to be held, which is then counted; False: a connection is to be opened.

        hold: for how long it would be; price: the hold that is worth a connection; now: a monotonic clock.
        All in s.
        """
        forgotten = FORGOTTEN * price * max(0.0, now - self.at)
        self.held = max(0.0, self.held - forgotten) + hold
        self.at = now
        if self.held <= price:
            return True
        self.held = 0.0
        return False
