"""What the parts of a node ask of each other, as protocols: none of them imports another."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

from hollybay.balancing.interface import ServerId

from .flow_control import BodySource
from .http_messages import ForwardedResponse

__all__ = ["Client", "ClientPresence", "DiscoveryPort", "LoadReporter", "PolicyAgreement"]


class ClientPresence(Enum):
    """Whether a client still waits for its response, as the kernel tells it."""

    CONNECTED = 0
    GONE = 1  # it has closed, half-closed or reset its connection, whether or not the loop has read that
    UNKNOWN = 2  # so much of it lies unread that its close would not show


class Client(Protocol):
    """Where the response to a request goes.

    Exactly one of `respond`, `reject`, `fail`, or `start_response` with `finish_response` or `break_off` is
    called, unless the client has gone.
    """

    def presence(self) -> ClientPresence:
        """Ask the kernel whether the client is there, at the cost of a system call or two."""
        ...

    def abandon(self) -> None:
        """Close a connection whose client has gone, which its connection has not read yet."""
        ...

    def respond(self, response: ForwardedResponse) -> None:
        """Write a server's response, which is complete."""
        ...

    def reject(self, retry_after: int) -> None:
        """Answer that nothing ran and a retry is harmless, after a time (ns, 0: not stated)."""
        ...

    def fail(self, status: int) -> None:
        """Answer with an error status that a server may have run the request."""
        ...

    def start_response(self, response: ForwardedResponse, source: BodySource) -> None:
        """Begin to write a response that its source brings piece by piece."""
        ...

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response."""
        ...

    def finish_response(self) -> None:
        """End a streamed response that is complete."""
        ...

    def break_off(self) -> None:
        """End a response that cannot be completed so that the client can tell, whatever its framing."""
        ...


class DiscoveryPort(Protocol):
    """Discovery, as far as the balancer controls it."""

    def watch(self, active: bool) -> None:
        """Begin or stop to watch the server list."""
        ...

    def fetch(self) -> None:
        """Fetch the server list once."""
        ...


class LoadReporter(Protocol):
    """Exchange of load reports with the other nodes."""

    def attempt_started(self, server: ServerId) -> None:
        """Count one more attempt in flight at a server."""
        ...

    def attempt_finished(self, server: ServerId) -> None:
        """Count one attempt less in flight at a server."""
        ...

    def servers_changed(self, servers: Iterable[ServerId]) -> None:
        """Take over which servers there are."""
        ...

    def poll(self) -> None:
        """Read the reports that have come, before the next decision."""
        ...


class PolicyAgreement(Protocol):
    """Whether the policy that is set up at this node is what is in force at all nodes."""

    def begin_request(self) -> bool:
        """Tell whether a request may begin now, and take note that it does begin if it may."""
        ...

    def may_begin_request(self) -> bool:
        """Tell whether a request might begin now; none does."""
        ...
