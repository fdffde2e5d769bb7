"""Health checks of servers: attempts without a client request, whose responses may carry a load report."""

from __future__ import annotations

from collections.abc import Callable

from hollybay.balancing import interface as api
from hollybay.units import SECOND

from .. import system
from ..http_messages import ForwardedRequest, ForwardedResponse
from ..name_table import NameTable
from .attempt import UpstreamAttempt

__all__ = ["HEALTH_CHECK_LIMIT_NS", "health_check"]

HEALTH_CHECK_LIMIT_NS = SECOND
LIVENESS_PATH = b"/health/live"
LOAD_REPORT_PATH = b"/stats"


def health_check(
    server: api.ServerId, host: bytes, reports: bool, names: NameTable, feed: Callable[[api.Event], None]
) -> UpstreamAttempt:
    """Create the attempt that checks a server; its result is passed to `feed` as an `api.ProbeResult`.

    Parameters
    ----------
    server, host
        The server, and the value of the Host header.
    reports
        Whether the check requests a load report instead of only the liveness.
    names
        Table of the names of a load report's fields.
    feed
        Called with the result.
    """
    path = LOAD_REPORT_PATH if reports else LIVENESS_PATH
    message = ForwardedRequest(b"GET", path, [(b"host", host)], (), 0)
    deadline = system.monotonic_ns() + HEALTH_CHECK_LIMIT_NS
    return UpstreamAttempt(message, server, deadline, _HealthCheckObserver(names, feed))


class _HealthCheckObserver:
    """Observer that reports the result of a health check."""

    def __init__(self, names: NameTable, feed: Callable[[api.Event], None]) -> None:
        self.names = names
        self.feed = feed

    def is_needed(self, _attempt: UpstreamAttempt) -> bool:
        return True

    def response_started(self, _attempt: UpstreamAttempt, _response: ForwardedResponse) -> None:
        return None

    def attempt_stalled(self, _attempt: UpstreamAttempt) -> None:
        pass

    def attempt_finished(self, attempt: UpstreamAttempt, response: ForwardedResponse | None) -> None:
        assert attempt.result is not None
        report = attempt.report
        if response is not None and response.body and not report:
            report = self.names.parse_load_report(b"".join(response.body).decode("latin-1"))
        round_trip = system.monotonic_ns() - attempt.sent_at
        self.feed(api.ProbeResult(attempt.server, attempt.result, round_trip, report))
