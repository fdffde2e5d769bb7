"""Persistent maps: a change returns a new map and leaves the old one unchanged.

Small maps are dicts, copied when one changes; larger ones are hash tries, which share structure.
"""

from __future__ import annotations

from typing import TypeVar

from immutables import Map

__all__ = ["MAX_COPIED", "PersistentMap", "with_entry", "without_entry"]

# Maximum number of entries of a dict; larger maps are hash tries. Look-ups in a dict are faster, but copying
# a large dict is slower.
MAX_COPIED = 256

K = TypeVar("K")
V = TypeVar("V")
PersistentMap = dict[K, V] | Map[K, V]


def with_entry(entries: PersistentMap[K, V], key: K, value: V) -> PersistentMap[K, V]:
    """Return a map with an entry added or replaced."""
    if not isinstance(entries, dict):
        return entries.set(key, value)
    if len(entries) >= MAX_COPIED and key not in entries:
        return Map(entries).set(key, value)
    copied = entries.copy()
    copied[key] = value
    return copied


def without_entry(entries: PersistentMap[K, V], key: K) -> PersistentMap[K, V]:
    """Return a map without one of its entries."""
    if not isinstance(entries, dict):
        remaining = entries.delete(key)
        # Converted back only at half the bound, so that a map near the bound does not alternate between both.
        return remaining if len(remaining) > MAX_COPIED // 2 else dict(remaining.items())
    copied = entries.copy()
    del copied[key]
    return copied
