"""What the servers' side of the node asks of the clients' side: where answers go."""

from __future__ import annotations

from typing import Protocol

from .flow import Source
from .messages import Answer

__all__ = ["Agreed", "Client"]


class Agreed(Protocol):
    """Whether the policy that is set up here is what is in force at all nodes."""

    def look(self) -> bool:
        """Whether a request may begin now; one does."""
        ...

    def sure(self) -> bool:
        """Whether one might."""
        ...


class Client(Protocol):
    """Where answers go. Exactly one of answer, refuse, fail, or start with finish or cut is called."""

    def answer(self, answer: Answer) -> None: ...
    def refuse(self, retry_after: int) -> None: ...
    def fail(self, status: int) -> None: ...
    def start(self, answer: Answer, source: Source) -> None: ...
    def write(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def cut(self) -> None: ...
