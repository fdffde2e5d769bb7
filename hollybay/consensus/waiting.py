"""Waiting for an event with a timeout."""

from __future__ import annotations

import asyncio
from contextlib import suppress

__all__ = ["wait_at_most"]


async def wait_at_most(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set, for at most `timeout_s` seconds."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
