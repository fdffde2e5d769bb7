"""Parsing of network addresses."""

from __future__ import annotations

__all__ = ["Address", "parse_address"]

Address = tuple[str, int]  # host and port

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parse HOST:PORT, with an IPv6 host in brackets, into host and port.

    Raises
    ------
    ValueError
        The text has another form, or the port is not in 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address, expected HOST:PORT")
    return host.strip("[]"), int(port)
