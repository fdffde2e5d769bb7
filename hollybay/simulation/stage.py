"""What the models see of the run that they are part of."""

from __future__ import annotations

import random
from typing import Any, Protocol

from .loop import SimLoop
from .network import Network
from .plan import Ask, Plan
from .watch import Watch

__all__ = ["Stage"]


class Stage(Protocol):
    """A run, as servers, clients, agents and nodes use it. Times are ns where now() is meant."""

    loop: SimLoop
    plan: Plan
    net: Network
    ledger: Watch
    asks: dict[str, Ask]  # what was asked, by request
    made: dict[str, dict[bytes, bytes]]  # bodies that servers made, by request and by first line
    # By node and server's address: whether its list holds it, and else since when (ns) it does not.
    told: dict[tuple[str, str], tuple[bool, int | None]]
    addresses: dict[tuple[str, str], str]  # by node and id: the address that it was told
    restarts: int  # of nodes, in mid-run

    def now(self) -> int:
        """The time, ns."""

    def chance_of(self, name: str) -> random.Random:
        """A source of chance for one thing, whatever else happens."""

    def make(self, rid: str, host: str, size: int) -> bytes:
        """The body of an answer to a request: its first line names both and how often it was made."""

    def was_told(self, node: str, listing: dict[str, Any]) -> None:
        """A node has been told a list."""
