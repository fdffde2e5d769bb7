"""What the operators' calls ask of the node's part in an accord, so that neither side imports the other.

Imported only where the configuration gives operators an address.
"""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol

from hollybay.admin.requests import Call

from .admin_server import Reply

__all__ = ["PolicyCalls"]


class PolicyCalls(Protocol):
    """Answers the calls about the policy that all nodes agree on."""

    def answer(self, call: Call) -> Awaitable[Reply]:
        """Carry out a call of kind POLICY, whether it comes from an operator or from another node."""
        ...
