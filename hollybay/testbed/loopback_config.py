"""The configuration of a node on loopback sockets, and requests to it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from hollybay.units import SECOND

from .listener import Listener

__all__ = ["CLASSES", "request", "settings", "write_config"]

# Class settings in the platform's format, durations in ns.
CLASSES = [
    {"name": "view", "effect": "retryable", "slo": 5 * SECOND, "give-up": 10 * SECOND, "worth": 3.0},
    {"name": "send", "effect": "fragile", "slo": 5 * SECOND, "give-up": 10 * SECOND, "worth": 2.0},
    {
        "name": "book",
        "effect": "dedup",
        "slo": 5 * SECOND,
        "give-up": 10 * SECOND,
        "worth": 9.0,
        "group": "cell",
        "window": 4 * SECOND,
    },
]


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a node's configuration, with some keys changed."""
    return {
        "balancers": 1,
        "zones": ["a"],
        "kinds": ["m"],
        "categories": CLASSES,
        "caps": {
            "most-tries": 3,
            "cancel": True,
            "may-duplicate": False,
            "connect-timeout": SECOND,
            "conn-idle": 5 * SECOND,
        },
        "rules": {"drain-grace": 2 * SECOND},
        "report": {"via": "piggyback", "fields": ["q"]},
        **changes,
    }


def write_config(path: Path, discovery: Listener, **changes: Any) -> None:
    """Write the configuration of a node that uses this discovery, with some keys changed."""
    data = {
        "name": "n0",
        "listen": "127.0.0.1:9000",
        "discovery": discovery.address,
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": settings(),
        **changes,
    }
    path.write_text(json.dumps(data))


def request(cls: str = "view", rid: str = "r-1", body: bytes = b"", extra: bytes = b"") -> bytes:
    """Encode a request.

    Parameters
    ----------
    cls
        The class, which is the first segment of the target: ``view`` is a GET, ``book`` has a key.
    rid
        The id.
    body
        The body, unless it is a GET.
    extra
        Additional header lines, each with its line end.
    """
    key = b"Idempotency-Key: k-" + rid.encode() + b"\r\n" if cls == "book" else b""
    if cls == "view":
        method, length = b"GET", b""
    else:
        method, length = b"POST", b"Content-Length: %d\r\n" % len(body)
    return (
        b"%s /%s HTTP/1.1\r\nHost: service.internal\r\n" % (method, cls.encode())
        + b"X-Correlation-Id: %s\r\n" % rid.encode()
        + key
        + length
        + extra
        + b"\r\n"
        + body
    )
