"""Background tasks of a member of the replicated log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Starts tasks, holds references to them while they run, and reports the ones that fail.

    Parameters
    ----------
    on_failure : callable
        Called with the exception of each task that raises one.
    """

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task."""
        task = self._loop.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def cancel_all(self) -> None:
        """Cancel all running tasks."""
        for task in list(self.running):
            task.cancel()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_failure(error)
