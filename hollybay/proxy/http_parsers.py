"""Parsers for the messages of clients and of servers."""

from __future__ import annotations

from functools import partial

import h11

from .memory_budget import RESPONSE_HEAD_BYTES
from .message_parser import MessageParser

__all__ = ["new_request_parser", "new_response_parser"]

# A parser is created for each message; a partial object avoids the call of a Python function.

new_request_parser = partial(MessageParser, h11.SERVER)
"""Return a parser for a client's request, which also encodes the response."""

new_response_parser = partial(MessageParser, h11.CLIENT, free_bytes=RESPONSE_HEAD_BYTES)
"""Return a parser for a server's response, which also encodes the request."""
