"""What the servers' side of the node asks of the clients' side: where answers go."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from .flow_control import Source
from .http_messages import Answer

__all__ = ["Agreed", "Client", "Presence"]


class Presence(Enum):
    """Whether a client still waits for its answer, as the kernel tells it."""

    HERE = 0
    GONE = 1  # it has closed, half-closed or reset its connection, whether or not the loop has read that
    UNKNOWN = 2  # so much of it lies unread that its close would not show


class Agreed(Protocol):
    """Whether the policy that is set up here is what is in force at all nodes."""

    def look(self) -> bool:
        """Whether a request may begin now; one does."""
        ...

    def sure(self) -> bool:
        """Whether one might."""
        ...


class Client(Protocol):
    """Where answers go. Exactly one of answer, refuse, fail, or start with finish or cut is called, unless it
    has departed."""

    def presence(self) -> Presence:
        """Whether it is there, at the cost of a system call or two."""
        ...

    def depart(self) -> None:
        """It has gone, which its connection has not read yet: nothing is owed to it any more."""
        ...

    def answer(self, answer: Answer) -> None: ...
    def refuse(self, retry_after: int) -> None: ...
    def fail(self, status: int) -> None: ...
    def start(self, answer: Answer, source: Source) -> None: ...
    def write(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def cut(self) -> None: ...
