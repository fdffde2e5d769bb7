"""How long a server may pause within a response, and how much it may send before that is streamed."""

from __future__ import annotations

from ..message_limits import MAX_HEAD_BYTES, MAX_HELD_BODY_BYTES

__all__ = [
    "RESPONSE_READ_LIMIT_BYTES",
    "STALLED_SHARE",
    "STREAM_STALL_S",
    "response_limit_s",
    "stall_check_delay_s",
]

# Without a byte for so long a response that has begun is broken: a head without end, a length that does not
# fit. Servers write in pieces, but keep writing. The longer limit leaves room for a lost packet to be sent
# again, as taking a good response for a broken one costs more where a retry is not safe. A response that may
# be long and still comes by then is streamed from there.
RESPONSE_LIMIT_S = 0.25
RESPONSE_LIMIT_SAFE_S = 0.05
# A response has stalled where less than this share of its limit is left.
STALLED_SHARE = 0.2
# The most that one response can bring before it is streamed: informational responses ahead, framing and
# trailers.
RESPONSE_READ_LIMIT_BYTES = MAX_HELD_BODY_BYTES + 4 * MAX_HEAD_BYTES
# A stream that brings nothing for this long is taken for left unfinished.
STREAM_STALL_S = 8.0
MIN_STALL_CHECK_S = 0.1  # the shortest time between two looks at a stream


def response_limit_s(is_retry_safe: bool) -> float:
    """Return for how long (s) a response that has begun may bring no byte."""
    return RESPONSE_LIMIT_SAFE_S if is_retry_safe else RESPONSE_LIMIT_S


def stall_check_delay_s(silent_s: float) -> float:
    """Return when (s from now) to look again at a stream that has brought nothing for a time (s)."""
    return max(MIN_STALL_CHECK_S, STREAM_STALL_S - silent_s)
