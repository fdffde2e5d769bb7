"""Decisions of a reverse proxy that spreads requests over HTTP servers of several speeds."""

from .balancer import Balancer
from .interface import *

__version__ = "0.1.0"
__all__ = ["Balancer"]
