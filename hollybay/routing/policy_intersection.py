"""The narrower of two policies, while one gives way to the other: what both allow, and nothing else.

Each request is resolved under both. It is turned away if either turns it away, or if they take it for two
classes; else the lesser of every limit holds, and it counts under the limits of both. Pure. What two sound
policies allow never breaks one of the four rules here: their limits are brought into one that `checks.faults`
finds nothing in.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from hollybay.balancing import interface as api

from .checks import REACH
from .limits import GROUPS, Effective, Sourced, effective
from .route_table import Denied, Plan

__all__ = ["Narrow", "apart", "narrower"]

# A request that two policies take for two classes: which of them it is will be known in a moment.
BETWEEN = 503


def _lesser(one: int | None, other: int | None, least: Callable[[int, int], int] = min) -> int | None:
    """The lesser of two limits; one that nothing is said of does not bound."""
    if one is None or other is None:
        return one if other is None else other
    return least(one, other)


def _copies(words: Sourced) -> int:
    """The second copies that these words allow: without a word on copies or their delay, none."""
    return words.copies if words.copies is not None else int(words.copy_delay is not None)


def _words(one: Sourced, other: Sourced, cls: api.RequestClass) -> Sourced:
    """The words of the lesser of both, without contradiction."""
    whole = _lesser(one.request_timeout, other.request_timeout)
    # An attempt that would outlast the whole ends with it.
    attempt = _lesser(one.attempt_timeout, other.attempt_timeout)
    attempt = attempt if attempt is None or whole is None else min(attempt, whole)
    attempts = _lesser(one.attempts, other.attempts)
    share = (
        other.retry_budget
        if one.retry_budget is None
        else one.retry_budget
        if other.retry_budget is None
        else min(one.retry_budget, other.retry_budget)
    )
    window = _lesser(one.repeat_window, other.repeat_window)
    groups = [g for g in (one.repeat_group, other.repeat_group) if g is not None]
    group = min(groups, key=lambda g: REACH[GROUPS[g]]) if groups else None
    if share == 0 and attempts is not None:
        attempts = 1
    if cls.effect == api.Effect.KEYED and attempts is not None and attempts > 1 and attempt:
        # The last must begin within the window in which a repeat is dropped; both together may ask for more
        # attempts, in shorter time, than either alone.
        within = min(cls.deduplication_window, window or cls.deduplication_window)
        attempts = max(1, min(attempts, 1 + (within - 1) // attempt))
    copies = min(_copies(one), _copies(other))
    delay = _lesser(one.copy_delay, other.copy_delay, max)  # the later, the less
    if copies:
        first = min(attempt or cls.deadline, whole or cls.deadline)
        within = (
            min(cls.deduplication_window, window or cls.deduplication_window)
            if cls.effect == api.Effect.KEYED
            else cls.deadline
        )
        late = delay is not None and (delay >= first or delay >= within)
        if late or share == 0 or (attempts is not None and attempts < 2):
            copies = 0
    if not copies:
        delay = None
    if one.retry_after is None or other.retry_after is None:
        after = other.retry_after if one.retry_after is None else one.retry_after
    else:  # the later, as that is the lesser right to come back
        after = max(one.retry_after[0], other.retry_after[0]), max(one.retry_after[1], other.retry_after[1])
    said = copies or one.copies is not None or other.copies is not None
    return Sourced(
        attempt_timeout=attempt,
        request_timeout=whole,
        attempts=attempts,
        # Where neither says anything of copies, nothing is said.
        copies=copies if said or one.copy_delay is not None or other.copy_delay is not None else None,
        copy_delay=delay,
        repeat_window=window,
        repeat_group=group,
        retry_budget=share,
        body=_lesser(one.body, other.body),
        in_flight=_lesser(one.in_flight, other.in_flight),
        rate=None,  # each counts under its own, see Effective.parts
        retry_after=after,
        source={**one.source, **other.source},
    )


def apart(parts: tuple[Effective, ...]) -> tuple[Effective, ...]:
    """Limits of two policies, each under a name of its own, so that a request counts once under each.

    Under one name they become one: the fewer in flight, the lower rate. Rates that share their buckets in
    different ways cannot be compared, and the second goes under another name.
    """
    one, other = parts
    if one.scope != other.scope:
        return parts
    counts = [part.in_flight for part in parts if part.in_flight]
    rate, second = one.rate, other.rate
    rest: tuple[Effective, ...] = ()
    if rate is None or second is None:
        rate = rate or second
    elif (rate.header, rate.tenant) == (second.header, second.tenant):
        rate = replace(
            rate,
            per_second=min(rate.per_second, second.per_second),
            burst=min(rate.burst, second.burst),
            most_keys=min(rate.most_keys, second.most_keys),
        )
    else:
        rest = (replace(other, scope=f"{other.scope} (its successor)", in_flight=0),)
    return (replace(one, rate=rate, in_flight=min(counts, default=0)), *rest)


def narrower(one: Effective, other: Effective, cls: api.RequestClass) -> Effective:
    """What both limits allow a request of a class. ValueError: they are of two classes."""
    if one.cls != other.cls:
        raise ValueError(f"limits of class {one.cls} and of class {other.cls}")
    words = _words(one.words, other.words, cls)
    # Repeats are saved up under a name, and go on to be under that of the lesser share.
    shares = [2.0 if e.words.retry_budget is None else e.words.retry_budget for e in (one, other)]
    scope = one.scope if shares[0] <= shares[1] else other.scope
    both = effective(scope, one.cls, words)
    return Effective(
        scope,
        one.cls,
        both.request_timeout,
        both.body,
        both.in_flight,
        None,
        both.retry_after,
        both.module,
        words,
        apart((one, other)),
    )


class Narrow:
    """Two plans at once, as one; it resolves requests as a Plan does."""

    def __init__(self, one: Plan, other: Plan, settings: api.Settings) -> None:
        self.one, self.other = one, other
        self.settings = settings
        # Few names: the cost goes with those on which anything decides, not with the routes.
        self.headers = one.headers if one.headers is other.headers else one.headers | other.headers
        self.peers = one.peers  # which takes a restart in any case
        self.tenanted = one.tenanted or other.tenanted
        self._known: dict[tuple[int, int], Effective] = {}

    def apply(self, method: bytes, target: bytes, given: Mapping[bytes, bytes]) -> Effective | Denied | None:
        """What both allow the request; turned away if either does. None: it names no class."""
        one = self.one.apply(method, target, given)
        other = self.other.apply(method, target, given)
        if isinstance(one, Denied) or isinstance(other, Denied):
            return one if isinstance(one, Denied) else other
        if one is None or other is None:
            return None
        if one is other:
            return one  # what lies between the two plans does not touch it
        if one.cls != other.cls:
            return Denied(BETWEEN, "two policies take it for two classes, and one gives way now")
        # Limits are as many as routes and classes, and live as long as their plans.
        key = (id(one), id(other))
        found = self._known.get(key)
        if found is None:
            found = self._known[key] = narrower(one, other, self.settings.classes[one.cls])
        return found

    def scopes(self) -> frozenset[str]:
        """The names under which limits are counted, of both; looks at all of them."""
        return self.one.scopes() | self.other.scopes()

    def has_scope(self, scope: str) -> bool:
        """Whether limits are counted under a name, by either."""
        return self.one.has_scope(scope) or self.other.has_scope(scope)

    def tenant(self, name: str) -> tuple[Effective, ...]:
        """The limits over all requests of a tenant, of both, so that a request counts once under each."""
        found = (*self.one.tenant(name), *self.other.tenant(name))
        return apart((found[0], found[1])) if len(found) > 1 else found

    def plans(self) -> tuple[Plan, ...]:
        """Both."""
        return (self.one, self.other)
