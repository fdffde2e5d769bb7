"""Limits on pauses within a server's response, and on its size before it is streamed."""

from __future__ import annotations

from ..message_limits import MAX_HEAD_BYTES

__all__ = [
    "HEADS_LIMIT_BYTES",
    "STALLED_SHARE",
    "STREAM_MARGIN_S",
    "STREAM_STALL_S",
    "response_limit_s",
    "stall_check_delay_s",
]

# A response that has begun and then receives no byte for this long has stalled. The longer limit leaves time
# to retransmit a lost packet, as another attempt costs more where it is not safe. A response that may be
# long, and is still being received after this time, is streamed from then on.
RESPONSE_LIMIT_S = 0.25
RESPONSE_LIMIT_SAFE_S = 0.05
# A response counts as stalled if less than this share of its limit is left.
STALLED_SHARE = 0.2
# Maximum number of bytes of the head of a response and of all informational responses before it.
HEADS_LIMIT_BYTES = 8 * MAX_HEAD_BYTES
# How long (s) before the deadline a stalled response is passed on, if no other attempt has an answer.
STREAM_MARGIN_S = 0.02
# A stream that receives nothing for this long counts as abandoned by its server.
STREAM_STALL_S = 8.0
MIN_STALL_CHECK_S = 0.1  # minimum time between two checks of a stream


def response_limit_s(is_retry_safe: bool) -> float:
    """Return for how long (s) a response that has begun may receive no byte."""
    return RESPONSE_LIMIT_SAFE_S if is_retry_safe else RESPONSE_LIMIT_S


def stall_check_delay_s(silent_s: float) -> float:
    """Return the time (s) until the next check of a stream that has been silent for a time (s)."""
    return max(MIN_STALL_CHECK_S, STREAM_STALL_S - silent_s)
