"""h11 parsers for the messages of clients and of servers, with the limit on the size of a head."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import h11

from .message_limits import MAX_HEAD_BYTES

__all__ = ["new_request_parser", "new_response_parser"]

# A parser is created for each message; a partial object avoids the call of a Python function.

new_request_parser: Callable[[], h11.Connection] = partial(
    h11.Connection, h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
)
"""Return a parser for a client's request, which also encodes the response."""

new_response_parser: Callable[[], h11.Connection] = partial(
    h11.Connection, h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
)
"""Return a parser for a server's response, which also encodes the request."""
