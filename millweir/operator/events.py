"""Structured events of the components: each is of a declared type and one JSON line on standard error.

Each type has a rate limit of its own; the next event that is written says how many were dropped before it.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import msgspec

SECOND_NS = 1_000_000_000


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """The base of all events; a component declares one type for each event, with its tag."""

    at: float  # Unix time
    dropped: int = 0  # events of this type dropped before this one


def index_event_types(*event_types: type[Event]) -> dict[str, type[Event]]:
    return {event_type.__struct_config__.tag: event_type for event_type in event_types}


class EventLog:
    """Writes events, a limited number of each type a second; watchers get all of them."""

    __slots__ = ("_event_types", "_max_per_second", "_windows", "watchers")

    def __init__(self, event_types: dict[str, type[Event]], max_per_second: int = 50) -> None:
        self._event_types, self._max_per_second = event_types, max_per_second
        self._windows: dict[str, list[int]] = {}  # by event: start of the second, events remaining, dropped
        self.watchers: set[Callable[[bytes], None]] = set()

    def emit(self, event: str, **fields: object) -> None:
        now = time.monotonic_ns()
        window = self._windows.setdefault(event, [now, self._max_per_second, 0])
        if now - window[0] >= SECOND_NS:
            window[0], window[1] = now, self._max_per_second
        record = self._event_types[event](
            at=round(time.time(), 3), dropped=window[2] if window[1] > 0 else 0, **fields
        )
        raw = msgspec.json.encode(record) + b"\n"
        for watcher in list(self.watchers):
            watcher(raw)
        if window[1] <= 0:
            window[2] += 1
            return
        window[1], window[2] = window[1] - 1, 0
        try:
            sys.stderr.write(raw.decode())
            sys.stderr.flush()
        except OSError:
            window[2] += 1
