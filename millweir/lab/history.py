"""Defines the history: events recorded by the stand-ins in order, the only input of the checker."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

monotonic_ns = time.monotonic_ns


class Event(msgspec.Struct, frozen=True, tag_field="seen", omit_defaults=True):
    """One recorded event; `at` is monotonic time in nanoseconds."""

    at: int


class Offered(Event, frozen=True, tag="offered"):
    """A client wrote the last byte of a request."""

    id: str
    relay: str
    profile: str
    key: str
    left: int  # nanoseconds in which it may still be delivered


class Answered(Event, frozen=True, tag="answered"):
    """The relay answered the client; status 0: the connection ended with no answer."""

    id: str
    status: int


class Called(Event, frozen=True, tag="called"):
    """A host received the last byte of a call."""

    id: str
    host: str
    call: int
    shared: int = 0  # number of the batch call that carried it, 0 for a call of its own
    link: int = 0  # number of the connection that carried it


class Returned(Event, frozen=True, tag="returned"):
    """The host wrote its response, or the connection had ended (status 0).

    In the response to a batch, the status is that of the message's own state.
    """

    id: str
    call: int
    status: int
    ran: bool
    wait: int = 0  # retry-after in nanoseconds
    whole: bool = True  # every byte of the response was written


class Copied(Event, frozen=True, tag="copied"):
    """A stand-in (a host, `lists` or `notices`) is to write a copy of an answer after a delay in seconds."""

    source: str
    delay: float
    link: int = 0  # number of the connection


class LinkEnded(Event, frozen=True, tag="link-ended"):
    """A connection to a host has ended, from either side."""

    link: int


class Noticed(Event, frozen=True, tag="noticed"):
    """The platform received a notification."""

    id: str
    result: str


class Listed(Event, frozen=True, tag="listed"):
    """A host list with this status of the host was written to the last of the connected relays."""

    host: str
    status: str


class Fallen(Event, frozen=True, tag="fallen"):
    """A recovering host got more calls than it can serve, and failed again."""

    host: str
    calls: int


class Struck(Event, frozen=True, tag="struck"):
    """A fault began or ended (`over`)."""

    kind: str
    who: str
    over: bool = False


class Ready(Event, frozen=True, tag="ready"):
    """A relay's process reported that it is ready."""

    relay: str


class Ended(Event, frozen=True, tag="ended"):
    """A relay's process has ended: it reads nothing any more."""

    relay: str


class Started(Event, frozen=True, tag="started"):
    """A new process of a relay was started; its predecessor had ended."""

    relay: str


class Replaced(Event, frozen=True, tag="replaced"):
    """A relay's old process has ended, while the one that replaces it runs."""

    relay: str


class Cordoned(Event, frozen=True, tag="cordoned"):
    """A relay said yes to a cordon of a host, or was asked to lift it (`over`)."""

    relay: str
    host: str
    over: bool = False


KINDS = (
    Offered
    | Answered
    | Called
    | Returned
    | Copied
    | LinkEnded
    | Noticed
    | Listed
    | Fallen
    | Struck
    | Ready
    | Ended
    | Started
    | Replaced
    | Cordoned
)


class History:
    """Recorded events in memory; written as JSON lines at the end of a run."""

    __slots__ = ("rows",)

    def __init__(self, rows: list[Event] | None = None) -> None:
        self.rows: list[Event] = rows if rows is not None else []

    def add(self, row: Event) -> None:
        self.rows.append(row)

    def select(self, kind: type) -> Iterator[Event]:
        return (row for row in self.rows if type(row) is kind)

    def write(self, path: Path) -> None:
        path.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in self.rows))

    @classmethod
    def read(cls, path: Path) -> History:
        read = msgspec.json.Decoder(KINDS).decode
        return cls([read(line) for line in path.read_bytes().splitlines()])
