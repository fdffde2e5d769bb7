"""Requests of one process to others, one at a time or to many at once, and their replies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable, Iterator
from typing import TypeVar

from . import messages
from .core import VoterSets, has_quorum
from .errors import RejectedError
from .interfaces import Response
from .messages import voter_number
from .requests import CallFailedError, Transport

__all__ = ["CALL_LIMIT_S", "PeerClient"]

CALL_LIMIT_S = 1.0  # seconds that a call may take
FIRST_ERROR_STATUS = 400  # from this HTTP status on an answer is a refusal or a failure

_T = TypeVar("_T")


class PeerClient:
    """Sends requests to processes by their addresses (host:port); those to this process never leave it.

    Parameters
    ----------
    own_address : str
        Where this process is called.
    transport : Transport
        Carries a request to another process.
    local : callable
        Answers a request to this process, from its path and body.
    """

    def __init__(
        self,
        own_address: str,
        transport: Transport,
        local: Callable[[str, bytes | None], Awaitable[Response]],
    ) -> None:
        self.own_address = own_address
        self.transport = transport
        self.local = local
        self.calls = 0  # that left this process

    async def call(self, address: str, path: str, body: bytes | None, limit: float = CALL_LIMIT_S) -> bytes:
        """Send a request and return the body of the reply.

        Parameters
        ----------
        address, path : str
        body : bytes or None
            None for GET.
        limit : float
            How long it may take, seconds.

        Raises
        ------
        CallFailedError
            There was no reply, or one whose status is an error.
        """
        if address == self.own_address:
            answer = await self.local(path, body)
            if answer.status >= FIRST_ERROR_STATUS:
                raise CallFailedError(answer.body.decode("utf-8", "replace"), answer.status)
            return answer.body
        self.calls += 1
        return await self.transport(address, path, body, limit)

    async def reaches(self, address: str, path: str, body: bytes, limit: float = CALL_LIMIT_S) -> bool:
        """Whether a request is answered within `limit` seconds, and without an error."""
        try:
            await self.call(address, path, body, limit)
        except CallFailedError:
            return False
        return True

    async def all_answers(
        self, addresses: list[str], path: str, body: bytes | None, kind: type[_T], limit: float = CALL_LIMIT_S
    ) -> list[tuple[str, _T]]:
        """All replies of a kind that come within `limit` seconds, with the addresses they came from."""
        return [reply async for reply in self.answers(addresses, path, body, kind, limit)]

    async def answers(
        self,
        addresses: list[str],
        path: str,
        body: bytes | None,
        kind: type[_T],
        more: float,
        voter_sets: VoterSets = (),
    ) -> AsyncGenerator[tuple[str, _T]]:
        """Replies of a kind as they come, with the addresses they came from; failures are left out.

        Parameters
        ----------
        addresses : list of str
        path : str
        body : bytes or None
            None for GET.
        kind : type
            The message that a reply holds.
        more : float
            For how long replies are awaited, seconds; where there are voter sets, once a majority of each
            has replied.
        voter_sets : VoterSets
        """
        loop = asyncio.get_running_loop()
        waiting = {loop.create_task(self._decoded(address, path, body, kind)) for address in addresses}
        replied: set[int] = set()
        end: float | None = None if voter_sets else loop.time() + more
        try:
            while waiting:
                left = None if end is None else max(0.0, end - loop.time())
                done, waiting = await asyncio.wait(waiting, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    return
                for address, reply in _successes(done):
                    replied.add(voter_number(address))
                    yield address, reply
                if end is None and has_quorum(voter_sets, replied):
                    end = loop.time() + more
        finally:
            for task in waiting:
                task.cancel()

    async def _decoded(self, address: str, path: str, body: bytes | None, kind: type[_T]) -> tuple[str, _T]:
        return address, messages.decode(await self.call(address, path, body), kind)


def _successes(done: Iterable[asyncio.Task[tuple[str, _T]]]) -> Iterator[tuple[str, _T]]:
    """The replies of requests that have ended; those that failed are left out."""
    for task in done:
        try:
            reply = task.result()
        except (CallFailedError, RejectedError):
            continue
        yield reply
