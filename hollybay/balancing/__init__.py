"""Decisions of a reverse proxy that balances requests over HTTP servers of different speeds.

Settings, events and actions are in `hollybay.balancing.interface`.
"""

from .balancer import Balancer

__version__ = "0.1.0"
__all__ = ["Balancer"]
