"""Reports of leaseholders to a voter: their addresses, and the policies that they cannot serve."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from hollybay.units import SECOND

from .messages import LeaseCall
from .reasons import MemberReason, ReportedReason

__all__ = ["KnownMember", "MemberReports"]

FORGET_AFTER_NS = 600 * SECOND  # ns after its last request at which a process is removed from `members`
SWEEP_INTERVAL_NS = SECOND  # ns between removals
MAX_POLICIES = 16  # policies for which reports are kept

_T = TypeVar("_T")


@dataclass(slots=True)
class KnownMember:
    """A process that requests leases, as described by its last request.

    Attributes
    ----------
    name, address : str
    last_contact : int
        When the last request was received, ns.
    epoch : int
        The epoch that the process requested a lease on; -1 if none.
    serving_epoch : int
        The epoch that it served under; -1 if none.
    can_serve_new : bool
        Whether it could serve the new policy.
    """

    name: str
    address: str
    last_contact: int
    epoch: int
    serving_epoch: int
    can_serve_new: bool


class MemberReports:
    """The reports of all leaseholders.

    Attributes
    ----------
    members : dict
        The processes, by number.
    unserviceable : dict
        Why a process cannot serve a policy, by policy and name of the process.
    culprits : dict
        Why a process cannot serve a change, by policy and id of the change.
    cannot_serve_any : dict
        Why a process cannot serve any new policy, by the policy that it was asked to serve.
    """

    def __init__(self) -> None:
        self.members: dict[int, KnownMember] = {}
        self.unserviceable: dict[str, dict[str, list[ReportedReason]]] = {}
        self.culprits: dict[str, dict[str, list[MemberReason]]] = {}
        self.cannot_serve_any: dict[str, list[MemberReason]] = {}
        self._swept_at = 0  # ns

    def record(self, now: int, call: LeaseCall) -> None:
        """Record what a lease request reports. now: ns."""
        request = call.request
        epoch = request.state.epoch if request.state is not None else -1
        self.members[request.node] = KnownMember(
            call.name,
            call.address,
            now,
            epoch,
            request.serving_epoch,
            request.can_serve_new,
        )
        if request.state is not None and request.state.new and not request.can_serve_new:
            self._record_unserviceable(request.state.new, call)
        if now - self._swept_at > SWEEP_INTERVAL_NS:
            self._swept_at = now
            self._forget_members(now)

    def forget(self, policy: str) -> None:
        """Discard the reports on a policy, which is proposed again."""
        self.unserviceable.pop(policy, None)
        self.culprits.pop(policy, None)
        self.cannot_serve_any.pop(policy, None)

    def _record_unserviceable(self, policy: str, call: LeaseCall) -> None:
        """Record why a process cannot serve a policy, and which changes of the batch it names."""
        reported = [ReportedReason(text) for text in call.reasons]
        self.unserviceable.setdefault(policy, {})[call.name] = reported
        for change, texts in call.culprits.items():
            reasons = [MemberReason(call.name, ReportedReason(text)) for text in texts]
            self.culprits.setdefault(policy, {}).setdefault(change, reasons)
        if call.cannot_serve_any:
            reasons_for_all = [MemberReason(call.name, reason) for reason in reported]
            self.cannot_serve_any.setdefault(policy, reasons_for_all)
        _drop_oldest(self.culprits)
        _drop_oldest(self.cannot_serve_any)
        _drop_oldest(self.unserviceable)

    def _forget_members(self, now: int) -> None:
        """Remove processes whose last request is older than FORGET_AFTER_NS."""
        for process in [
            process for process, member in self.members.items() if now - member.last_contact > FORGET_AFTER_NS
        ]:
            del self.members[process]


def _drop_oldest(reports: dict[str, _T]) -> None:
    """Drop the oldest reports beyond MAX_POLICIES."""
    while len(reports) > MAX_POLICIES:
        del reports[next(iter(reports))]
