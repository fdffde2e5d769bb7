"""Waiting for an event no longer than a time."""

from __future__ import annotations

import asyncio

__all__ = ["wait_at_most"]


async def wait_at_most(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, for so many seconds at most."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
