"""A node's part of what all nodes of a tier use together: pure, and known to each from what all are told."""

from .calls import first_call, next_call
from .pressure import Pressure
from .reach import Reach
from .shares import cold_gap, heed, place
from .told import Failures

__all__ = ["Failures", "Pressure", "Reach", "cold_gap", "first_call", "heed", "next_call", "place"]
