"""One endpoint's connections that carry no call, and which of them a call is written to."""

from __future__ import annotations

from millweir.answers.policy import is_next_answer_proven
from millweir.answers.trust import HostTrust
from millweir.net.address_owners import Endpoint
from millweir.net.links import Connection


class ConnectionPool:
    """One endpoint, this relay's idle connections to it, and how far its answers are trusted."""

    __slots__ = ("endpoint", "idle", "observed", "trust")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.idle: list[Connection] = []
        self.trust = HostTrust()
        self.observed: Connection | None = None  # kept open for bytes that were not asked for

    @property
    def name(self) -> str:
        """The host's name."""
        return self.endpoint.name

    def choose(self, now: int, idle_cutoff: int, needs_proof: bool) -> Connection | None:
        """Choose an idle connection for a call; None if it is to open a new one.

        It is the most recently used one that has rested; if the call needs proof, the most recently used one
        whose next answer is proven, if there is one.  If none has rested, it is the one that will have first:
        the caller waits for that, which takes a small part of the time that the host takes.
        """
        usable = self._find_usable(now, idle_cutoff)
        proven = [connection for connection in usable if needs_proof and _proves_next_answer(connection, now)]
        rested = [connection for connection in usable if self.remaining_rest(connection, now) <= 0]
        chosen = proven or rested or sorted(usable, key=lambda connection: connection.idle_since)
        return chosen[0] if chosen else None

    def remaining_rest(self, connection: Connection, now: int) -> int:
        """How long a connection rests before it may carry a call; not above 0 if it may now."""
        return connection.idle_since + self.trust.rest - now

    def _find_usable(self, now: int, idle_cutoff: int) -> list[Connection]:
        """Find the connections that may carry a call now or after their rest, most recently used first.

        Those whose answers a message waits for come last.
        """
        max_unproven_age = self.trust.max_unproven_age
        usable = [
            connection
            for connection in reversed(self.idle)
            if connection.idle_since > idle_cutoff
            and connection.unproven.may_carry_call(now, max_unproven_age)
        ]
        return sorted(usable, key=lambda connection: connection.unproven.waited_for)


def _proves_next_answer(connection: Connection, now: int) -> bool:
    return is_next_answer_proven(
        connection.request_count + 1, connection.in_step, now - connection.idle_since
    )
