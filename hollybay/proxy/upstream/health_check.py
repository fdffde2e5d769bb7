"""Health checks: an attempt that no client waits for, and what its response says of the server's load."""

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
    """Make the attempt that checks a server; its result goes to `feed` as an `api.ProbeResult`.

    Parameters
    ----------
    server, host
        Which server, and what it is called in the request.
    reports
        Whether the check asks for a load report in place of the liveness alone.
    names
        What the values of a load report are called.
    feed
        Takes the result.
    """
    path = LOAD_REPORT_PATH if reports else LIVENESS_PATH
    message = ForwardedRequest(b"GET", path, [(b"host", host)], (), 0)
    deadline = system.monotonic_ns() + HEALTH_CHECK_LIMIT_NS
    return UpstreamAttempt(message, server, deadline, _HealthCheckObserver(names, feed))


class _HealthCheckObserver:
    """Takes the result of a health check."""

    def __init__(self, names: NameTable, feed: Callable[[api.Event], None]) -> None:
        self.names = names
        self.feed = feed

    def is_awaited(self, _attempt: UpstreamAttempt) -> bool:
        return True

    def response_started(self, _attempt: UpstreamAttempt, _response: ForwardedResponse) -> None:
        return None

    def attempt_finished(self, attempt: UpstreamAttempt, response: ForwardedResponse | None) -> None:
        assert attempt.result is not None
        report = attempt.report
        if response is not None and response.body and not report:
            report = self.names.parse_load_report(b"".join(response.body).decode("latin-1"))
        round_trip = system.monotonic_ns() - attempt.sent_at
        self.feed(api.ProbeResult(attempt.server, attempt.result, round_trip, report))
