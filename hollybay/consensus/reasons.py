"""Reasons why a policy is not served, a vote is withheld, or a proposal does not begin.

Each kind of reason is a class. Its text, `str(reason)`, is published: it is sent over the wire, logged and
printed by the command line. The texts are defined only here, and tests/golden pins them byte for byte.

A reason from another process is a `ReportedReason`, which is text only, as that process may run another
version of this code. `hollybay.resources.rejection_reasons` defines why changes of resources are rejected.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

__all__ = [
    "Barred",
    "DoesNotCompile",
    "MemberReason",
    "MissingPolicies",
    "NotPersisted",
    "PrunedSinceFetch",
    "Reason",
    "ReportedReason",
    "Superseded",
    "SupersededOrDropped",
    "Uninitialized",
    "bounded",
    "texts_of",
]

# Text of a reason that another process reported.
ReportedReason = NewType("ReportedReason", str)


class Reason(ABC):
    """A reason; `str` returns its published text."""

    __slots__ = ()

    @abstractmethod
    def __str__(self) -> str: ...

    def shortened(self, max_length: int) -> Reason:
        """The reason with a text of at most `max_length` characters."""
        text = str(self)
        return self if len(text) <= max_length else _Shortened(text[:max_length])


@dataclass(frozen=True, slots=True)
class _Shortened(Reason):
    """A reason whose text was cut to the maximum length in a message."""

    text: str

    def __str__(self) -> str:
        return self.text


# Why a node cannot serve a policy


@dataclass(frozen=True, slots=True)
class DoesNotCompile(Reason):
    """The data plane cannot compile the policy.

    Parameters
    ----------
    problem
        One problem, as the data plane describes it.
    """

    problem: str

    def __str__(self) -> str:
        return self.problem


@dataclass(frozen=True, slots=True)
class NotPersisted(Reason):
    """A record could not be written to disk.

    Parameters
    ----------
    error
        The error of the store.
    """

    error: str

    def __str__(self) -> str:
        return f"cannot be kept: {self.error}"


@dataclass(frozen=True, slots=True)
class PrunedSinceFetch(Reason):
    """The log was pruned after the policy was fetched. Its published text is empty."""

    def __str__(self) -> str:
        return ""


@dataclass(frozen=True, slots=True)
class MemberReason(Reason):
    """A reason that a node reported to a voter with a lease request.

    Parameters
    ----------
    member
        The name of the node.
    reason
        The reason that it reported.
    """

    member: str
    reason: ReportedReason

    def __str__(self) -> str:
        return f"{self.member}: {self.reason}"


# Why a voter withholds its vote


@dataclass(frozen=True, slots=True)
class Uninitialized(Reason):
    """The voter has no state: it was not bootstrapped, or it lost its disk and has not recovered yet."""

    def __str__(self) -> str:
        return "it knows nothing yet"


@dataclass(frozen=True, slots=True)
class MissingPolicies(Reason):
    """The voter does not have all policies that the epoch names.

    Parameters
    ----------
    policies
        The names of all policies that the epoch names.
    """

    policies: tuple[str, ...]

    def __str__(self) -> str:
        return f"it has not all of {' and '.join(self.policies)}"


@dataclass(frozen=True, slots=True)
class Barred(Reason):
    """The voter lost its disk, on which a vote for the epoch may have been recorded.

    Parameters
    ----------
    last_barred_epoch
        The last epoch that it must not vote for.
    """

    last_barred_epoch: int

    def __str__(self) -> str:
        return f"mute up to epoch {self.last_barred_epoch}"


# Why the change to a proposed policy never began


@dataclass(frozen=True, slots=True)
class Superseded(Reason):
    """Another policy was proposed first.

    Parameters
    ----------
    policy
        The name of the other policy.
    """

    policy: str

    def __str__(self) -> str:
        return f"{self.policy} came first"


@dataclass(frozen=True, slots=True)
class SupersededOrDropped(Reason):
    """A later epoch, which does not name the policy, is decided."""

    def __str__(self) -> str:
        return "another change came first, or it was dropped"


def bounded(reasons: Iterable[Reason], max_reasons: int, max_length: int) -> tuple[Reason, ...]:
    """The first `max_reasons` reasons, each with a text of at most `max_length` characters."""
    return tuple(reason.shortened(max_length) for reason in reasons)[:max_reasons]


def texts_of(reasons: Iterable[Reason]) -> list[str]:
    """The published texts of reasons."""
    return [str(reason) for reason in reasons]
