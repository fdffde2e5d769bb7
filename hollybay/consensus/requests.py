"""The interface for requests to other processes, and fetching a policy by name. No I/O of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from . import messages
from .errors import RejectedError
from .policy import PolicyVersion

__all__ = ["NO_ANSWER", "CallFailedError", "Transport", "fetch_policy"]

NO_ANSWER = 0  # status of a request without a response


class CallFailedError(Exception):
    """A request had no response, or its response is an error, which may be a rejection.

    Parameters
    ----------
    reason
        Why there was no response, or the body of the response.
    status
        The HTTP status of the response; `NO_ANSWER` if there was none.
    """

    def __init__(self, reason: str, status: int = NO_ANSWER) -> None:
        super().__init__(reason)
        self.status = status


class Transport(Protocol):
    """Sends requests to other processes."""

    def __call__(self, address: str, path: str, body: bytes | None, limit: float, /) -> Awaitable[bytes]:
        """Send a request and return the body of the response.

        Parameters
        ----------
        address
            The address of the admin endpoint of the other process.
        path
            The path below `/-/policy/`.
        body
            The body of a POST request; None for GET.
        limit
            Time limit for the response, s.

        Raises
        ------
        CallFailedError
            There was no response in time, or it is an error.
        """
        ...


async def fetch_policy(
    call: Callable[[str, str, bytes | None], Awaitable[bytes]], addresses: Iterable[str], name: str
) -> PolicyVersion | None:
    """Fetch a policy, without its changes, from the first address that has it; None if none has.

    Parameters
    ----------
    call
        Sends a request, given address, path and body.
    """
    for address in addresses:
        try:
            answer = await call(address, f"entry/{name}", None)
            return messages.policy_from_text(answer.decode("ascii", "replace"), name)
        except (CallFailedError, RejectedError):
            continue
    return None
