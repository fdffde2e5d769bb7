"""Responses to admin requests, free of I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

__all__ = ["JSON_CONTENT_TYPE", "TEXT_CONTENT_TYPE", "AdminResponse"]

TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
JSON_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Response to an admin request: status, body and content type."""

    status: int
    body: bytes
    content_type: str = TEXT_CONTENT_TYPE

    @classmethod
    def text(cls, status: int, line: str) -> AdminResponse:
        """Create a response of one line of text; a line feed is appended."""
        return cls(status, line.encode() + b"\n")

    @classmethod
    def json(cls, status: int, value: object) -> AdminResponse:
        """Create a response of a value encoded as JSON."""
        return cls(status, json.dumps(value).encode() + b"\n", JSON_CONTENT_TYPE)
