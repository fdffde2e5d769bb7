"""Interfaces between the parts of a node, which therefore need not import each other."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

from hollybay.balancing.interface import ServerId

from .flow_control import BodySource
from .http_messages import ForwardedResponse

__all__ = ["Client", "ClientPresence", "DiscoveryControl", "LoadReporter", "PolicyAgreement"]


class ClientPresence(Enum):
    """Whether a client is still connected, by the state of the kernel."""

    CONNECTED = 0
    GONE = 1  # it has closed, half-closed or reset its connection; the event loop may not know it yet
    UNKNOWN = 2  # there are so many unread bytes that they may hide a close


class Client(Protocol):
    """Client that waits for the response to a request.

    Exactly one of `respond`, `reject`, `fail`, or `start_response` with `finish_response` or
    `abort_response` is called, unless the client disconnects.
    """

    def presence(self) -> ClientPresence:
        """Ask the kernel whether the client is connected, which takes one or two system calls."""
        ...

    def abandon(self) -> None:
        """Close the connection of a client that has disconnected before the event loop has seen that."""
        ...

    def respond(self, response: ForwardedResponse) -> None:
        """Write a complete response of a server."""
        ...

    def reject(self, retry_after: int) -> None:
        """Reject the request, which was not run: a retry is harmless (after `retry_after` ns, unless 0)."""
        ...

    def fail(self, status: int) -> None:
        """Respond with an error status; a server may have run the request."""
        ...

    def start_response(self, response: ForwardedResponse, source: BodySource) -> None:
        """Begin to write a streamed response; back-pressure is applied to its source."""
        ...

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed response."""
        ...

    def finish_response(self) -> None:
        """End a streamed response that is complete."""
        ...

    def abort_response(self) -> None:
        """Abort a response that cannot be completed, in a way that the client detects with any framing."""
        ...


class DiscoveryControl(Protocol):
    """Discovery, as far as the balancer controls it."""

    def watch(self, active: bool) -> None:
        """Start or stop watching the server list."""
        ...

    def fetch(self) -> None:
        """Fetch the server list once."""
        ...


class LoadReporter(Protocol):
    """Exchange of load reports with the other nodes."""

    def attempt_started(self, server: ServerId) -> None:
        """Count the start of an attempt at a server."""
        ...

    def attempt_finished(self, server: ServerId) -> None:
        """Count the end of an attempt at a server."""
        ...

    def servers_changed(self, servers: Iterable[ServerId]) -> None:
        """Set the servers of the current server list."""
        ...

    def poll(self) -> None:
        """Read the received reports, before the next decision."""
        ...


class PolicyAgreement(Protocol):
    """Tells whether the policy of this node is the one that is in force at all nodes."""

    def begin_request(self) -> bool:
        """Return whether a request may begin now; if it may, record that it begins."""
        ...

    def may_begin_request(self) -> bool:
        """Return whether a request could begin now, without recording one."""
        ...
