"""Counts of final replies by service class, for the control address."""

from __future__ import annotations

from enum import IntEnum

from millweir.net.heads import MAX_ID_BYTES

MAX_CLASSES = 256  # bounds the table against class names that clients make up


class Reply(IntEnum):
    """Final reply to a client or the platform."""

    SUCCESS = 0
    OVERLOAD = 1
    ERROR = 2


class ReplyCounts:
    """Counts of each reply by service class."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[bytes, list[int]] = {}

    def add(self, service_class: bytes, reply: Reply) -> None:
        """Count a reply of a class that is in the settings."""
        counts = self._counts.get(service_class)
        if counts is None:
            counts = self._counts[service_class] = [0] * len(Reply)
        counts[reply] += 1

    def add_unknown(self, service_class: bytes) -> None:
        """Count an error of a class that is not in the settings; not counted beyond `MAX_CLASSES` classes."""
        is_bounded = len(service_class) <= MAX_ID_BYTES and len(self._counts) < MAX_CLASSES
        if service_class in self._counts or is_bounded:
            self.add(service_class, Reply.ERROR)

    def counts_by_class(self) -> dict[str, dict[str, int]]:
        """Return the counts by class and reply name, as the control address returns them."""
        return {
            service_class.decode(errors="replace"): {reply.name.lower(): counts[reply] for reply in Reply}
            for service_class, counts in self._counts.items()
        }
