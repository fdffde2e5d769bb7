"""Requests that may take longer than a client waits: the client repeats the request to get the result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from hashlib import blake2b
from typing import Any

from .background_tasks import BackgroundTasks
from .interfaces import Response
from .replies import busy, respond

__all__ = ["LongRequests"]

RESPONSE_LIMIT_S = 1.0  # seconds after which the client is told to repeat the request
RETRY_AFTER_S = 0.5  # seconds
MAX_LONG_REQUESTS = 4
KEY_BYTES = 16


class LongRequests:
    """Requests in progress, by a digest of their bodies."""

    def __init__(self, tasks: BackgroundTasks) -> None:
        self.tasks = tasks
        self._under_way: dict[bytes, asyncio.Task[Response]] = {}

    async def answer(self, body: bytes, work: Callable[[], Coroutine[Any, Any, Response]]) -> Response:
        """Start a request or wait for it; returns its response, or one that asks the client to repeat it."""
        key = blake2b(body, digest_size=KEY_BYTES).digest()
        task = self._under_way.get(key)
        if task is None:
            self._discard_finished()
            if len(self._under_way) >= MAX_LONG_REQUESTS:
                return busy(f"{MAX_LONG_REQUESTS} other long requests are in progress", RETRY_AFTER_S)
            # All long requests are in CHANGING_PATHS, so any of these paths gives the same status codes.
            task = self._under_way[key] = self.tasks.spawn(respond("found", work()))
        await asyncio.wait({task}, timeout=RESPONSE_LIMIT_S)
        if not task.done():
            return busy("the request is in progress", RETRY_AFTER_S)
        self._under_way.pop(key, None)
        return task.result()

    def _discard_finished(self) -> None:
        for key in [key for key, task in self._under_way.items() if task.done()]:
            del self._under_way[key]
