"""Interface through which the admin service passes policy requests to the consensus member of the node.

It is a separate module so that neither side imports the other. Imported only with the admin service.
"""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol

from hollybay.admin.requests import AdminRequest
from hollybay.admin.responses import AdminResponse

__all__ = ["PolicyRequestHandler"]


class PolicyRequestHandler(Protocol):
    """Handles requests about the replicated policy."""

    def handle_policy_request(self, request: AdminRequest) -> Awaitable[AdminResponse]:
        """Handle a request with the operation POLICY from an operator or from another node."""
        ...
