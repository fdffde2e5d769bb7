"""A node's part of what all nodes of a tier use together: pure, and known to each from what all are told."""

from .budgets import Budgets
from .calls import Calls, first_call
from .census import Census
from .outliers import Shares
from .pressure import Pressure
from .reach import Reach
from .room import Room
from .shares import cold_gap, heed, place
from .told import Failures
from .worth import by_worth, deal

__all__ = [
    "Budgets", "Calls", "Census", "Failures", "Pressure", "Reach", "Room", "Shares", "by_worth", "cold_gap",
    "deal", "first_call", "heed", "place",
]  # fmt: skip
