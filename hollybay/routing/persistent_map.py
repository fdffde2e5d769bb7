"""Maps as persistent values: a change returns a new map and leaves the old one as it was.

Small maps are dicts, copied when one changes; larger ones are hash tries, which share structure.
"""

from __future__ import annotations

from typing import TypeVar

from immutables import Map

__all__ = ["MAX_COPIED", "PersistentMap", "with_entry", "without_entry"]

# Entries beyond which a dict becomes a hash trie. A look-up in a dict is faster; copying a large one is not.
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
        # At half the bound, so that a map near it is not converted again and again.
        return remaining if len(remaining) > MAX_COPIED // 2 else dict(remaining.items())
    copied = entries.copy()
    del copied[key]
    return copied
