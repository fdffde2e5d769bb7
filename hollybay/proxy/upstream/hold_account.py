"""When requests to a server are held for its connections for so long that another connection is cheaper."""

from __future__ import annotations

__all__ = ["HoldAccount"]

# Prices of a connection by which the account decays each second: requests that are held now and then never
# add up to one.
DECAY_PER_S = 1.0


class HoldAccount:
    """How long the requests to one server were held lately, against the price of a connection.

    A connection is opened once the holds lately, with the one that is due, add up to more than its price (the
    ski-rental algorithm), and the account begins anew. Not thread-safe.
    """

    __slots__ = ("at", "held")

    def __init__(self) -> None:
        self.held = 0.0  # s, as of `at`
        self.at = 0.0

    def allows(self, hold: float, price: float, now: float) -> bool:
        """Whether a request is to be held, which is then counted; False: a connection is to be opened.

        Parameters
        ----------
        hold
            For how long (s) it would be held.
        price
            The hold (s) that is worth a connection.
        now
            The time (s) of a monotonic clock.
        """
        decay = DECAY_PER_S * price * max(0.0, now - self.at)
        self.held = max(0.0, self.held - decay) + hold
        self.at = now
        if self.held <= price:
            return True
        self.held = 0.0
        return False
