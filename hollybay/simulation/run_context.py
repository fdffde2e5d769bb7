"""The interface of a simulated run for the models that take part in it."""

from __future__ import annotations

import random
from typing import Any, Protocol

from .loop import SimLoop
from .network import Network
from .oracles import OracleLedger
from .plan import Plan, RequestPlan

__all__ = ["RunContext"]


class RunContext(Protocol):
    """A run as servers, clients, agents and nodes use it. Times of now() are in ns."""

    loop: SimLoop
    plan: Plan
    net: Network
    ledger: OracleLedger
    requests: dict[str, RequestPlan]  # the planned request, by request ID
    # Response bodies that servers made, by request and first line.
    served_bodies: dict[str, dict[bytes, bytes]]
    # By node and server address: whether the node's list has it, and if not, since when (ns).
    listed_addresses: dict[tuple[str, str], tuple[bool, int | None]]
    addresses: dict[tuple[str, str], str]  # by node and server ID: the listed address
    restarts: int  # of nodes, during the run

    def now(self) -> int:
        """The virtual time (ns)."""

    def rng_for(self, name: str) -> random.Random:
        """Return a random generator, seeded by the plan's seed and a name."""

    def make_body(self, rid: str, host: str, size: int) -> bytes:
        """Make a response body; its first line has request, server and the number of earlier bodies."""

    def on_list_delivered(self, node: str, listing: dict[str, Any]) -> None:
        """Record a server list, or a change of one, that has been sent to a node."""
