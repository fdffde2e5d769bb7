"""The invariants of a policy change, checked over the events that all processes of a run observed. Pure.

A request begins under one policy or several; it must obey the intersection of them. A policy is in force
alone where a request begins under that policy only.

1. Once a request has begun anywhere under one policy alone, no request begins under older policies only: the
   old and the new policy are never in force at the same time.
2. A change that was reported as dropped or rejected is never in force alone, before or after the report.
3. Once a change is reported as in force everywhere, no request begins under an older policy.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .policy import version_of

__all__ = ["OutcomeReported", "ReportedOutcome", "RequestBegun", "Violation", "find_violations"]


class ReportedOutcome(Enum):
    """The outcome of a change as reported to an operator."""

    IN_FORCE = "in force everywhere"
    NOT_IN_FORCE = "refused or dropped"


@dataclass(frozen=True, slots=True)
class RequestBegun:
    """A request began at a node.

    Parameters
    ----------
    at
        Time, ns.
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
    """The outcome of a change was reported to an operator.

    Parameters
    ----------
    at
        Time, ns.
    change
        The name of the policy that the change creates.
    outcome
        The reported outcome.
    """

    at: int
    change: str
    outcome: ReportedOutcome


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant.

    Parameters
    ----------
    at
        Time, ns.
    node
        The name of the node; empty if it concerns no single node.
    reason
        The observations that contradict each other, as readable text.
    """

    at: int
    node: str
    reason: str


@dataclass(slots=True)
class _Observations:
    """The observations up to a point in time.

    Parameters
    ----------
    newest_alone
        The newest policy that was in force alone; empty if none was.
    newest_alone_at
        The first node where it was.
    reported_version
        The newest version that was reported as in force everywhere.
    dropped
        The changes that were reported as dropped or rejected.
    in_force_alone
        All policies that were in force alone.
    """

    newest_alone: str = ""
    newest_alone_at: str = ""
    reported_version: int = 0
    dropped: set[str] = field(default_factory=set)
    in_force_alone: set[str] = field(default_factory=set)
    violations: list[Violation] = field(default_factory=list)

    def on_request_begun(self, event: RequestBegun) -> None:
        if not event.policies:
            self._violated(event.at, event.node, "a request begins although no policy is in force")
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
            reported = f"version {self.reported_version} was reported as in force everywhere"
            reason = f"a request begins under {' and '.join(event.policies)} although {reported}"
            self._violated(event.at, event.node, reason)

    def _note_alone(self, event: RequestBegun, policy: str) -> None:
        self.in_force_alone.add(policy)
        if policy in self.dropped:
            self._violated(event.at, event.node, f"{policy} is in force, but was reported as dropped")
        if not self.newest_alone or version_of(policy) > version_of(self.newest_alone):
            self.newest_alone, self.newest_alone_at = policy, event.node

    def on_outcome_reported(self, event: OutcomeReported) -> None:
        if event.outcome is ReportedOutcome.IN_FORCE:
            self.reported_version = max(self.reported_version, version_of(event.change))
            if event.change in self.dropped:
                self._violated(event.at, "", f"{event.change} is reported as both in force and dropped")
            return
        self.dropped.add(event.change)
        if event.change in self.in_force_alone:
            self._violated(event.at, "", f"{event.change} is reported as dropped, but was in force")

    def _violated(self, at: int, node: str, reason: str) -> None:
        self.violations.append(Violation(at, node, reason))


def find_violations(events: Iterable[RequestBegun | OutcomeReported]) -> list[Violation]:
    """Find all violations of the invariants in observed events, in order of time."""
    observations = _Observations()
    # A report counts only for requests that begin at a later time, so it sorts after requests of equal time.
    for event in sorted(events, key=lambda event: (event.at, isinstance(event, OutcomeReported))):
        if isinstance(event, OutcomeReported):
            observations.on_outcome_reported(event)
        else:
            observations.on_request_begun(event)
    return observations.violations
