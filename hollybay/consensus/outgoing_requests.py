"""Requests of one process to others, individually or to many at once, and their replies."""

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

CALL_LIMIT_S = 1.0  # default time limit of a request, seconds
FIRST_ERROR_STATUS = 400  # HTTP statuses from this one on are errors

_T = TypeVar("_T")


class PeerClient:
    """Sends requests to addresses (host:port) of processes; those to its own address are handled locally.

    Parameters
    ----------
    own_address : str
        The admin address of this process.
    transport : Transport
        Sends a request to another process.
    local : callable
        Handles a request to this process, given its path and body.
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
        self.calls = 0  # requests sent to other processes

    async def call(self, address: str, path: str, body: bytes | None, limit: float = CALL_LIMIT_S) -> bytes:
        """Send a request and return the body of the reply.

        Parameters
        ----------
        address, path : str
        body : bytes or None
            None for GET.
        limit : float
            Time limit for the reply, seconds.

        Raises
        ------
        CallFailedError
            There was no reply in time, or its status is an error.
        """
        if address == self.own_address:
            answer = await self.local(path, body)
            if answer.status >= FIRST_ERROR_STATUS:
                raise CallFailedError(answer.body.decode("utf-8", "replace"), answer.status)
            return answer.body
        self.calls += 1
        return await self.transport(address, path, body, limit)

    async def reaches(self, address: str, path: str, body: bytes, limit: float = CALL_LIMIT_S) -> bool:
        """Send a request; returns whether there is a reply without an error within `limit` seconds."""
        try:
            await self.call(address, path, body, limit)
        except CallFailedError:
            return False
        return True

    async def all_answers(
        self, addresses: list[str], path: str, body: bytes | None, kind: type[_T], limit: float = CALL_LIMIT_S
    ) -> list[tuple[str, _T]]:
        """Send a request to several processes; returns the replies within `limit` seconds, with addresses."""
        return [reply async for reply in self.answers(addresses, path, body, kind, limit)]

    async def answers(
        self,
        addresses: list[str],
        path: str,
        body: bytes | None,
        kind: type[_T],
        gather_s: float,
        voter_sets: VoterSets = (),
    ) -> AsyncGenerator[tuple[str, _T]]:
        """Send a request to several processes; yields replies with their addresses as they arrive.

        Failed requests are left out.

        Parameters
        ----------
        addresses : list of str
        path : str
        body : bytes or None
            None for GET.
        kind : type
            The type of the message in a reply.
        gather_s : float
            How long to wait for replies, seconds. With voter sets, this time begins when a majority of each
            voter set has replied.
        voter_sets : VoterSets
        """
        loop = asyncio.get_running_loop()
        waiting = {loop.create_task(self._decoded(address, path, body, kind)) for address in addresses}
        replied: set[int] = set()
        end: float | None = None if voter_sets else loop.time() + gather_s
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
                    end = loop.time() + gather_s
        finally:
            for task in waiting:
                task.cancel()

    async def _decoded(self, address: str, path: str, body: bytes | None, kind: type[_T]) -> tuple[str, _T]:
        return address, messages.decode(await self.call(address, path, body), kind)


def _successes(done: Iterable[asyncio.Task[tuple[str, _T]]]) -> Iterator[tuple[str, _T]]:
    """The replies to finished requests, without those that failed."""
    for task in done:
        try:
            reply = task.result()
        except (CallFailedError, RejectedError):
            continue
        yield reply
