"""Limits against the four rules, the platform's caps and each other: what may not take effect, and why.

Rule 1 (no request is lost): no time-out past the promised answer time or the deadline. Rule 2 (no effect
twice): no repeat or copy of an unsafe class, none of a keyed one outside its group or window. The platform:
attempts, copies, Retry-After and body sizes within what the settings and the node allow.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from hollybay.balancing import interface as api

from .limits import GROUPS, Sourced
from .problems import Problem

__all__ = ["DURATIONS", "MAX_BODY", "REACH", "Checked", "faults", "shown"]

MS = 1_000_000
# The longest body that a file may allow, bytes; the node itself takes a little more.
MAX_BODY = 32 << 20
# The limits that are durations, in ns.
DURATIONS = frozenset(("attempt_timeout", "request_timeout", "copy_delay", "repeat_window"))
# How far a repeat may go: a larger number reaches more servers.
REACH = {api.DeduplicationScope.CELL: 0, api.DeduplicationScope.ZONE: 1, api.DeduplicationScope.ALL: 2}


def shown(ns: int) -> str:
    """A duration in the file's words."""
    return f"{ns / 1e9:g}s" if ns >= 1_000_000_000 else f"{ns / 1e6:g}ms"


@dataclass(frozen=True, slots=True)
class Checked:
    """One pair of route and class whose limits are checked; table: the route's or class's table."""

    table: str
    cls: api.RequestClass
    words: Sourced


def faults(pair: Checked, settings: api.Settings) -> Iterator[Problem]:
    """Everything in these limits that may not take effect."""
    yield from _rule_two(pair)
    yield from _rule_one(pair)
    yield from _platform(pair, settings)
    yield from _contradictions(pair, settings)


def _problem(pair: Checked, key: str, reason: str) -> Problem:
    """A problem at the table that states the value, with the pair that it meets where that is another."""
    value = getattr(pair.words, key)
    table = pair.words.source[key]
    if table != pair.table:
        reason = f"{reason} (in force for [{pair.table}])"
    if key in DURATIONS:
        value = shown(value)
    return Problem(table, key, value, reason)


def _own(pair: Checked, key: str) -> bool:
    """Whether a value is stated for this class or route, and not for all."""
    return pair.words.source.get(key, "defaults") != "defaults"


def _rule_two(pair: Checked) -> Iterator[Problem]:
    words, cls = pair.words, pair.cls
    if cls.effect == api.Effect.UNSAFE:
        why = f"class {cls.name!r} must never run twice, and what seems lost may have run (rule 2)"
        if words.attempts is not None and words.attempts > 1:
            yield _problem(
                pair,
                "attempts",
                f"permits a repeat: {why}; leave it out: the node tries again only where nothing ran",
            )
        if words.copies:
            yield _problem(pair, "copies", f"permits a second copy: {why}")
        for key in ("repeat_window", "repeat_group"):
            if getattr(words, key) is not None and _own(pair, key):
                yield _problem(pair, key, f"permits a repeat: {why}")
        return
    if cls.effect == api.Effect.SAFE:
        for key in ("repeat_window", "repeat_group"):
            if getattr(words, key) is not None and _own(pair, key):
                yield _problem(pair, key, f"class {cls.name!r} is safe to repeat anywhere: nothing to narrow")
        return
    if words.repeat_window is not None and words.repeat_window > cls.deduplication_window:
        yield _problem(
            pair,
            "repeat_window",
            f"repeats of {cls.name!r} past its window of {shown(cls.deduplication_window)} "
            "run a second time (rule 2)",
        )
    if words.repeat_group is not None and REACH[GROUPS[words.repeat_group]] > REACH[cls.deduplication_scope]:
        yield _problem(
            pair,
            "repeat_group",
            f"repeats of {cls.name!r} outside its {cls.deduplication_scope.name.lower()} "
            "run a second time (rule 2)",
        )
    window = min(cls.deduplication_window, words.repeat_window or cls.deduplication_window)
    if words.attempts is not None and words.attempts > 1 and words.attempt_timeout is not None:
        last = (words.attempts - 1) * words.attempt_timeout
        if last >= window:
            yield _problem(
                pair,
                "attempts",
                f"the last would begin after {shown(last)}, past the window of {shown(window)} in which a "
                f"repeat of {cls.name!r} is dropped (rule 2)",
            )
    if words.copies and words.copy_delay is not None and words.copy_delay >= window:
        yield _problem(
            pair,
            "copy_delay",
            f"a copy of {cls.name!r} past its window of {shown(window)} runs a second time (rule 2)",
        )


def _rule_one(pair: Checked) -> Iterator[Problem]:
    words, cls = pair.words, pair.cls
    if words.attempt_timeout is not None and words.attempt_timeout > cls.latency_objective:
        yield _problem(
            pair,
            "attempt_timeout",
            f"longer than the {shown(cls.latency_objective)} within which an answer of {cls.name!r} "
            "is promised (rule 1)",
        )
    if words.request_timeout is not None and words.request_timeout > cls.deadline:
        yield _problem(
            pair,
            "request_timeout",
            f"longer than the {shown(cls.deadline)} that clients of {cls.name!r} wait: "
            "such an answer is lost (rule 1)",
        )


def _platform(pair: Checked, settings: api.Settings) -> Iterator[Problem]:
    words = pair.words
    if words.attempts is not None and words.attempts > settings.max_attempts:
        yield _problem(pair, "attempts", f"the platform allows {settings.max_attempts}")
    if words.copies and not settings.hedging_allowed:
        yield _problem(pair, "copies", "the platform allows no second copies")
    if words.body is not None and words.body > MAX_BODY:
        yield _problem(pair, "body", f"the node takes bodies of {MAX_BODY} bytes at most")
    if words.retry_after is not None:
        least, most = words.retry_after
        if not settings.max_retry_after:
            yield _problem(pair, "retry_after", "the platform allows no Retry-After")
        elif most > settings.max_retry_after:
            yield _problem(
                pair, "retry_after", f"most: the platform allows {shown(settings.max_retry_after)} at most"
            )
        if least > most:
            yield _problem(pair, "retry_after", "least is more than most")


def _contradictions(pair: Checked, settings: api.Settings) -> Iterator[Problem]:
    words, cls = pair.words, pair.cls
    whole = words.request_timeout
    if words.attempt_timeout is not None and whole is not None and words.attempt_timeout > whole:
        yield _problem(
            pair, "attempt_timeout", f"longer than the request_timeout of {shown(whole)} for all attempts"
        )
    if words.copies:
        if words.attempts is not None and words.attempts < 2:
            yield _problem(pair, "copies", "a second copy is an attempt, and only one is allowed")
        if words.retry_budget == 0:
            yield _problem(pair, "copies", "a retry_budget of 0 allows none")
    if words.copy_delay is not None:
        if words.copies == 0 and _same(words, "copies", "copy_delay"):
            yield _problem(pair, "copy_delay", "there is no copy to delay: copies is 0")
        if not settings.hedging_allowed and _own(pair, "copy_delay"):
            yield _problem(pair, "copy_delay", "there is no copy to delay: the platform allows none")
        if cls.effect == api.Effect.UNSAFE and _own(pair, "copy_delay"):
            yield _problem(pair, "copy_delay", f"there is no copy to delay: {cls.name!r} is unsafe")
        first = min(words.attempt_timeout or cls.deadline, whole or cls.deadline)
        if words.copies != 0 and cls.effect != api.Effect.UNSAFE and words.copy_delay >= first:
            yield _problem(
                pair, "copy_delay", f"the first attempt ends after {shown(first)}: no copy would go"
            )
    if words.attempts is not None and words.attempts > 1 and words.retry_budget == 0:
        yield _problem(pair, "attempts", "a retry_budget of 0 allows one")


def _same(words: Sourced, first: str, second: str) -> bool:
    return words.source.get(first) == words.source.get(second)
