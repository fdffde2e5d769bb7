"""Updates of the servers and the pools: server lists, polls for them, and periodic reviews."""

from __future__ import annotations

from .decision_context import DecisionContext
from .discovery_polling import PollSchedule
from .estimates import REVIEW_INTERVAL_NS
from .interface import ListKind, ServerList, WatchServers
from .rendezvous import rendezvous_rank
from .wakeups import WakeupKind

__all__ = ["ServerUpdates"]


class ServerUpdates:
    """Applies server lists, polls discovery, and runs the periodic reviews.

    Parameters
    ----------
    context
        The node's state and components, and the event being handled.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.settings = context.settings
        self.wakeups = context.wakeups
        self.endpoints = context.endpoints
        self.estimates = context.estimates
        self.cross_zone = context.cross_zone
        self.load_shedder = context.load_shedder
        self.selector = context.selector
        self.random = context.random
        rank = rendezvous_rank("calls", context.settings.node, context.settings.nodes)
        self.poll_schedule = PollSchedule(rank, context.settings.nodes, context.settings.poll_within)
        self.list_received = False

    def on_server_list(self, event: ServerList) -> None:
        """Handle a server list or a failed poll."""
        if not self.list_received:
            self.list_received = True
            self._first_list(event.kind)
        if event.kind == ListKind.FAILED:
            self._poll_failed()
            return
        if event.kind != ListKind.CACHED:
            self.poll_schedule.list_received()
        now = self.context.now
        self.endpoints.apply(event, now)
        self.selector.rebuild(now)
        self._update_cross_zone()

    def _first_list(self, kind: ListKind) -> None:
        """Schedule the first review, and the first poll if the list may be outdated."""
        now = self.context.now
        self.wakeups.schedule(now + REVIEW_INTERVAL_NS, WakeupKind.REVIEW)
        if self.settings.poll_required and kind == ListKind.CACHED:
            self.wakeups.schedule(now + self.poll_schedule.first_delay(), WakeupKind.POLL)

    def _poll_failed(self) -> None:
        now = self.context.now
        delay = self.poll_schedule.poll_failed(now, self.random.random())
        self.wakeups.schedule(now + delay, WakeupKind.POLL)

    def poll(self) -> None:
        """Poll discovery for the list."""
        self.poll_schedule.poll_started(self.context.now)
        self.context.actions.append(WatchServers(True))

    def review(self) -> None:
        """Update estimates, shares and pools, and schedule the next review."""
        now = self.context.now
        if self.estimates.review(now):
            self._update_cross_zone()
            self.load_shedder.update(now)
        self.selector.rebuild(now)
        self.wakeups.schedule(now + REVIEW_INTERVAL_NS, WakeupKind.REVIEW)

    def _update_cross_zone(self) -> None:
        self.cross_zone.update(self.context.now, self.endpoints.stale, self.selector.has_remote)
