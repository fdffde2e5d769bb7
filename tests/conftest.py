"""Tests run on the loop that the node runs on. Hypothesis without chance: the same verdict every time."""

import asyncio

import uvloop
from hypothesis import settings

asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
