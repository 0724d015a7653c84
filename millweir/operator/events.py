"""Structured events of the parts: one JSON line each on standard error, of types that are declared.

Each event is limited by itself; the next one that has room says how many were dropped before it.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import msgspec

SECOND = 1_000_000_000


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """What every event is built on; a part declares one type for each, with its tag."""

    at: float  # Unix time
    dropped: int = 0  # events of this kind dropped before this one


def table(*kinds: type[Event]) -> dict[str, type[Event]]:
    return {kind.__struct_config__.tag: kind for kind in kinds}


class Events:
    """Says events, so many of each a second; watchers see them all."""

    __slots__ = ("_kinds", "_left", "_rate", "watchers")

    def __init__(self, kinds: dict[str, type[Event]], rate: int = 50) -> None:
        self._kinds, self._rate = kinds, rate
        self._left: dict[str, list[int]] = {}  # event: since when, left, dropped
        self.watchers: set[Callable[[bytes], None]] = set()

    def say(self, event: str, **fields: object) -> None:
        now = time.monotonic_ns()
        left = self._left.setdefault(event, [now, self._rate, 0])
        if now - left[0] >= SECOND:
            left[0], left[1] = now, self._rate
        line = self._kinds[event](at=round(time.time(), 3), dropped=left[2] if left[1] > 0 else 0, **fields)
        raw = msgspec.json.encode(line) + b"\n"
        for watcher in list(self.watchers):
            watcher(raw)
        if left[1] <= 0:
            left[2] += 1
            return
        left[1], left[2] = left[1] - 1, 0
        try:
            sys.stderr.write(raw.decode())
            sys.stderr.flush()
        except OSError:
            left[2] += 1
