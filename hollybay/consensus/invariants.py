"""The invariants of a change of policy, checked over what all processes of a run observed. Pure.

A request begins under the policies of which it obeys the intersection. Alone means: under one policy.

1. Once a request has begun anywhere under a policy alone, none begins under policies that are all older: the
   old and the new policy are never in force at the same time.
2. A change that was reported as dropped or rejected was never in force alone, before or after.
3. Once a change is reported as in force everywhere, no request begins under an older policy.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .policy import version_of

__all__ = ["OutcomeReported", "ReportedOutcome", "RequestBegun", "Violation", "find_violations"]


class ReportedOutcome(Enum):
    """What an operator was told of a change."""

    IN_FORCE = "in force everywhere"
    NOWHERE = "refused or dropped"


@dataclass(frozen=True, slots=True)
class RequestBegun:
    """A request began at a node.

    Parameters
    ----------
    at
        When, ns.
    node
        The name of the node.
    policies
        The names of the policies that it began under.
    """

    at: int
    node: str
    policies: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OutcomeReported:
    """An operator was told the outcome of a change.

    Parameters
    ----------
    at
        When, ns.
    change
        The name of the policy that it makes.
    outcome
        What the operator was told.
    """

    at: int
    change: str
    outcome: ReportedOutcome


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant does not hold.

    Parameters
    ----------
    at
        When, ns.
    node
        Where; empty: not at one node.
    reason
        What contradicts what, for people.
    """

    at: int
    node: str
    reason: str


@dataclass(slots=True)
class _Observations:
    """What was observed up to a point in time.

    Parameters
    ----------
    newest_alone
        The newest policy under which alone a request has begun; empty: none has.
    newest_alone_at
        The node where one did first.
    reported_version
        The newest version that was reported as in force everywhere.
    dropped
        The changes that were reported as dropped or rejected.
    in_force_alone
        All policies under which alone a request has begun.
    """

    newest_alone: str = ""
    newest_alone_at: str = ""
    reported_version: int = 0
    dropped: set[str] = field(default_factory=set)
    in_force_alone: set[str] = field(default_factory=set)
    violations: list[Violation] = field(default_factory=list)

    def on_request_begun(self, event: RequestBegun) -> None:
        if not event.policies:
            self._violated(event.at, event.node, "a request begins though nothing is in force")
            return
        self._check_not_superseded(event)
        self._check_not_older_than_reported(event)
        if len(event.policies) == 1:
            self._note_alone(event, event.policies[0])

    def _check_not_superseded(self, event: RequestBegun) -> None:
        if not self.newest_alone or self.newest_alone in event.policies:
            return
        if max(map(version_of, event.policies)) <= version_of(self.newest_alone):
            earlier = f"one at {self.newest_alone_at} began under {self.newest_alone}"
            reason = f"a request begins under {' and '.join(event.policies)} after {earlier}"
            self._violated(event.at, event.node, reason)

    def _check_not_older_than_reported(self, event: RequestBegun) -> None:
        if min(map(version_of, event.policies)) < self.reported_version:
            reported = f"version {self.reported_version} was said to hold everywhere"
            reason = f"a request begins under {' and '.join(event.policies)}, and {reported}"
            self._violated(event.at, event.node, reason)

    def _note_alone(self, event: RequestBegun, policy: str) -> None:
        self.in_force_alone.add(policy)
        if policy in self.dropped:
            self._violated(event.at, event.node, f"{policy} is in force, and was said to be nowhere")
        if not self.newest_alone or version_of(policy) > version_of(self.newest_alone):
            self.newest_alone, self.newest_alone_at = policy, event.node

    def on_outcome_reported(self, event: OutcomeReported) -> None:
        if event.outcome is ReportedOutcome.IN_FORCE:
            self.reported_version = max(self.reported_version, version_of(event.change))
            if event.change in self.dropped:
                self._violated(event.at, "", f"{event.change} holds, and was said to be nowhere")
            return
        self.dropped.add(event.change)
        if event.change in self.in_force_alone:
            self._violated(event.at, "", f"{event.change} is said to be nowhere, and was in force")

    def _violated(self, at: int, node: str, reason: str) -> None:
        self.violations.append(Violation(at, node, reason))


def find_violations(events: Iterable[RequestBegun | OutcomeReported]) -> list[Violation]:
    """The violations of the invariants by what was observed, in order of time."""
    observations = _Observations()
    # What was reported at a point in time counts for the requests that begin after it.
    for event in sorted(events, key=lambda event: (event.at, isinstance(event, OutcomeReported))):
        if isinstance(event, OutcomeReported):
            observations.on_outcome_reported(event)
        else:
            observations.on_request_begun(event)
    return observations.violations
