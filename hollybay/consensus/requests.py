"""How a process calls another one, and a policy that is asked for by its name. No I/O of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from . import messages
from .policy import Policy, RejectedError

__all__ = ["Transport", "UnreachableError", "policy_from"]


class UnreachableError(Exception):
    """A call had no answer (status 0), or one that says no, and why."""

    def __init__(self, reason: str, status: int = 0) -> None:
        super().__init__(reason)
        self.status = status


class Transport(Protocol):
    """How a process calls another one at its address; UnreachableError: no answer within so many seconds."""

    def __call__(self, address: str, path: str, body: bytes | None, limit: float, /) -> Awaitable[bytes]: ...


async def policy_from(
    call: Callable[[str, str, bytes | None], Awaitable[bytes]], addresses: Iterable[str], name: str
) -> Policy | None:
    """A policy by its name, without its changes, from the first of these addresses that has it; None:
    nobody does.
    """
    for address in addresses:
        try:
            return messages.unpacked(
                (await call(address, f"entry/{name}", None)).decode("ascii", "replace"), name
            )
        except (UnreachableError, RejectedError):
            continue
    return None
