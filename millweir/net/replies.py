"""How messages of each service class ended, counted for the second address."""

from __future__ import annotations

from enum import IntEnum

CLASSES_MOST = 256  # counted, lest names that clients make up grow the table without end


class Reply(IntEnum):
    """What a client or the platform was told in the end."""

    SUCCESS = 0
    OVERLOAD = 1
    ERROR = 2


class Replies:
    """Counts of each reply by service class."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[bytes, list[int]] = {}

    def add(self, service_class: bytes, reply: Reply) -> None:
        """One more, of a class that the settings know."""
        counts = self._counts.get(service_class)
        if counts is None:
            counts = self._counts[service_class] = [0] * len(Reply)
        counts[reply] += 1

    def add_unknown(self, service_class: bytes) -> None:
        """An error for a class that the settings do not know; beyond `CLASSES_MOST` classes it is dropped."""
        if service_class in self._counts or len(self._counts) < CLASSES_MOST:
            self.add(service_class, Reply.ERROR)

    def figures(self) -> dict[str, dict[str, int]]:
        """As the second address tells them."""
        return {
            service_class.decode(errors="replace"): {reply.name.lower(): counts[reply] for reply in Reply}
            for service_class, counts in self._counts.items()
        }
