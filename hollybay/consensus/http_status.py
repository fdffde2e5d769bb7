"""HTTP status codes of the responses that this package sends."""

from __future__ import annotations

__all__ = [
    "ACCEPTED",
    "BAD_REQUEST",
    "CONFLICT",
    "GONE",
    "INSUFFICIENT_STORAGE",
    "NOT_FOUND",
    "OK",
    "UNAVAILABLE",
    "UNPROCESSABLE",
]

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410  # the log does not reach back to the requested version
UNPROCESSABLE = 422
UNAVAILABLE = 503
INSUFFICIENT_STORAGE = 507
