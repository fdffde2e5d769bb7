"""The state and the components of one node's decisions, which its event handlers share."""

from __future__ import annotations

from random import Random

from .cross_zone import CrossZoneRouter
from .endpoints import Endpoints
from .estimates import Estimates
from .hedging import Hedging
from .interface import Action, Settings
from .load_shedding import LoadShedder
from .retries import RetryPolicy
from .server_selection import ServerSelector
from .state import TrackedRequest
from .wakeups import WakeupQueue

__all__ = ["DecisionContext"]


class DecisionContext:
    """The components of one node's decisions, and the event being handled.

    Parameters
    ----------
    settings
        The node's settings.
    seed
        Seed of its random numbers.
    now
        The time (ns).

    Attributes
    ----------
    now
        The time (ns) of the event.
    actions
        The actions that have resulted from the event so far, in order.
    requests
        Requests by id that have no final response yet, or have attempts in flight.
    wakeups
        Scheduled work: reviews, polls, hedges and waits for a server.
    """

    __slots__ = (
        "actions",
        "cross_zone",
        "endpoints",
        "estimates",
        "hedging",
        "load_shedder",
        "now",
        "random",
        "requests",
        "retry_policy",
        "selector",
        "settings",
        "wakeups",
    )

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = now
        self.actions: list[Action] = []
        self.requests: dict[int, TrackedRequest] = {}
        self.wakeups = WakeupQueue()
        self.endpoints = Endpoints(settings, now)
        self.estimates = Estimates(settings, now)
        self.retry_policy = RetryPolicy(settings)
        self.cross_zone = CrossZoneRouter(settings, self.estimates, now)
        self.load_shedder = LoadShedder(settings, self.estimates, self.random, now)
        self.selector = ServerSelector(
            settings, self.endpoints, self.cross_zone, self.load_shedder, self.random
        )
        self.hedging = Hedging(settings, self.estimates, self.retry_policy, self.selector)
