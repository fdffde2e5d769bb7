"""A node's part of what all nodes of a tier use together: pure, and known to each from what all are told."""

from .reach import Reach
from .shares import cold_gap, heed, place
from .told import Failures

__all__ = ["Failures", "Reach", "cold_gap", "heed", "place"]
