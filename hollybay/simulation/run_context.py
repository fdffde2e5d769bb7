"""What the models see of the run that they are part of."""

from __future__ import annotations

import random
from typing import Any, Protocol

from .loop import SimLoop
from .network import Network
from .oracles import OracleLedger
from .plan import Plan, RequestPlan

__all__ = ["RunContext"]


class RunContext(Protocol):
    """A run, as servers, clients, agents and nodes use it. Times are ns where now() is meant."""

    loop: SimLoop
    plan: Plan
    net: Network
    ledger: OracleLedger
    requests: dict[str, RequestPlan]  # what was asked, by request
    served_bodies: dict[str, dict[bytes, bytes]]  # bodies that servers made, by request and by first line
    # By node and server's address: whether its list holds it, and else since when (ns) it does not.
    listed_addresses: dict[tuple[str, str], tuple[bool, int | None]]
    addresses: dict[tuple[str, str], str]  # by node and id: the address that it was told
    restarts: int  # of nodes, in mid-run

    def now(self) -> int:
        """The time, ns."""

    def rng_for(self, name: str) -> random.Random:
        """A source of chance for one thing, whatever else happens."""

    def make_body(self, rid: str, host: str, size: int) -> bytes:
        """The body of an answer to a request: its first line names both and how often it was made."""

    def on_list_delivered(self, node: str, listing: dict[str, Any]) -> None:
        """A node has been told a list."""
