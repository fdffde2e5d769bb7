"""Calls from one process of an accord to others, one at a time or to many at once, and their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

from . import messages
from .core import VoterSets, has_quorum
from .interfaces import Response
from .messages import number_of
from .policy import RejectedError
from .requests import Transport, UnreachableError

__all__ = ["CALL_LIMIT", "PeerClient"]

CALL_LIMIT = 1.0  # seconds that a call may take
FIRST_ERROR_STATUS = 400  # from this HTTP status on an answer is a refusal or a failure

_T = TypeVar("_T")


class PeerClient:
    """Calls to processes by their addresses (host:port); those to this process itself never leave it.

    own_address: where this process is called; transport: carries a call to another process; local: answers
    a call to this one, from its path and body.
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

    async def call(self, address: str, path: str, body: bytes | None, limit: float = CALL_LIMIT) -> bytes:
        """The body of the answer; body: None for GET; limit: seconds.

        UnreachableError: no answer, or one whose status is an error.
        """
        if address == self.own_address:
            answer = await self.local(path, body)
            if answer.status >= FIRST_ERROR_STATUS:
                raise UnreachableError(answer.body.decode("utf-8", "replace"), answer.status)
            return answer.body
        self.calls += 1
        return await self.transport(address, path, body, limit)

    async def reaches(self, address: str, path: str, body: bytes, limit: float = CALL_LIMIT) -> bool:
        """Whether a call was answered, and without an error; limit: seconds."""
        try:
            await self.call(address, path, body, limit)
        except UnreachableError:
            return False
        return True

    async def all_answers(
        self, addresses: list[str], path: str, body: bytes | None, kind: type[_T], limit: float = CALL_LIMIT
    ) -> list[tuple[str, _T]]:
        """All answers of a kind that come within `limit` seconds, with the addresses they came from."""
        return [one async for one in self.answers(addresses, path, body, kind, limit)]

    async def answers(
        self,
        addresses: list[str],
        path: str,
        body: bytes | None,
        kind: type[_T],
        more: float,
        boards: VoterSets = (),
    ) -> AsyncGenerator[tuple[str, _T]]:
        """Answers of a kind as they come, with the addresses they came from; calls that fail are left out.

        It ends after `more` seconds; where boards are given, `more` seconds after a majority of each board
        has answered.
        """
        loop = asyncio.get_running_loop()
        waiting = {loop.create_task(self._decoded(address, path, body, kind)) for address in addresses}
        heard: set[int] = set()
        end: float | None = None if boards else loop.time() + more
        try:
            while waiting:
                left = None if end is None else max(0.0, end - loop.time())
                done, waiting = await asyncio.wait(waiting, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    return
                for task in done:
                    try:
                        address, answer = task.result()
                    except (UnreachableError, RejectedError):
                        continue
                    heard.add(number_of(address))
                    yield address, answer
                if end is None and has_quorum(boards, heard):
                    end = loop.time() + more
        finally:
            for task in waiting:
                task.cancel()

    async def _decoded(self, address: str, path: str, body: bytes | None, kind: type[_T]) -> tuple[str, _T]:
        return address, messages.decode(await self.call(address, path, body), kind)
