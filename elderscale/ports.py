"""What the two sides of the node ask of each other: where answers go, and where a long one comes from."""

from __future__ import annotations

from typing import Protocol

from .messages import Answer

__all__ = ["Client", "Source"]


class Source(Protocol):
    """What brings a long answer while it is passed on."""

    def read_on(self, reading: bool) -> None:
        """Back-pressure of the client that the answer is passed on to: go on reading, or pause."""


class Client(Protocol):
    """Where answers go. Exactly one of answer, refuse, fail, or start with finish or cut is called."""

    def answer(self, answer: Answer) -> None: ...
    def refuse(self, retry_after: int) -> None: ...
    def fail(self, status: int) -> None: ...
    def start(self, answer: Answer, source: Source) -> None: ...
    def write(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def cut(self) -> None: ...
