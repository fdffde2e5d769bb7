"""How a process calls another one, and a policy that is fetched by its name. No I/O of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from . import messages
from .errors import RejectedError
from .policy import PolicyVersion

__all__ = ["NO_ANSWER", "CallFailedError", "Transport", "fetch_policy"]

NO_ANSWER = 0  # the status of a call that was not answered


class CallFailedError(Exception):
    """A call had no answer, or its answer is an error, which may be a rejection.

    Parameters
    ----------
    reason
        Why there was no answer, or what the answer says.
    status
        The HTTP status of the answer; `NO_ANSWER`: there was none.
    """

    def __init__(self, reason: str, status: int = NO_ANSWER) -> None:
        super().__init__(reason)
        self.status = status


class Transport(Protocol):
    """Makes calls to other processes."""

    def __call__(self, address: str, path: str, body: bytes | None, limit: float, /) -> Awaitable[bytes]:
        """Make a call; the body of its answer.

        Parameters
        ----------
        address
            Of the admin endpoint of the other process.
        path
            Below `/-/policy/`.
        body
            Of a POST; None: it is a GET.
        limit
            How long the answer is awaited, s.

        Raises
        ------
        CallFailedError
            No answer in time, or an error.
        """
        ...


async def fetch_policy(
    call: Callable[[str, str, bytes | None], Awaitable[bytes]], addresses: Iterable[str], name: str
) -> PolicyVersion | None:
    """A policy without its changes, from the first of these addresses that has it; None: none has.

    Parameters
    ----------
    call
        Makes a call, by address, path and body.
    """
    for address in addresses:
        try:
            answer = await call(address, f"entry/{name}", None)
            return messages.policy_from_text(answer.decode("ascii", "replace"), name)
        except (CallFailedError, RejectedError):
            continue
    return None
