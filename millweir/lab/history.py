"""What the stand-ins saw, in the order in which they saw it; all that the checker reads."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

steady = time.monotonic_ns


class Seen(msgspec.Struct, frozen=True, tag_field="seen", omit_defaults=True):
    """One thing seen, at a steady time in nanoseconds."""

    at: int


class Offered(Seen, frozen=True, tag="offered"):
    """A client wrote the last byte of a request."""

    id: str
    relay: str
    profile: str
    key: str
    left: int  # nanoseconds in which it may still be delivered


class Answered(Seen, frozen=True, tag="answered"):
    """The relay answered the client; status 0: the connection ended with no answer."""

    id: str
    status: int


class Called(Seen, frozen=True, tag="called"):
    """The last byte of a call came at a host."""

    id: str
    host: str
    call: int
    shared: int = 0  # number of the call that carried it with others, 0 for one of its own


class Returned(Seen, frozen=True, tag="returned"):
    """The host's answer was written, or its connection had ended (status 0)."""

    id: str
    call: int
    status: int
    ran: bool
    wait: int = 0  # nanoseconds told


class Noticed(Seen, frozen=True, tag="noticed"):
    """A notice came at the platform."""

    id: str
    result: str


class Listed(Seen, frozen=True, tag="listed"):
    """The list that says so of a host was written to the last relay that was there to be told."""

    host: str
    status: str


class Fallen(Seen, frozen=True, tag="fallen"):
    """A cold destination got more calls than it bears."""

    host: str
    calls: int


class Struck(Seen, frozen=True, tag="struck"):
    """A fault began or ended (`over`)."""

    kind: str
    who: str
    over: bool = False


class Ready(Seen, frozen=True, tag="ready"):
    """A relay's process answered that it may be used."""

    relay: str


KINDS = Offered | Answered | Called | Returned | Noticed | Listed | Fallen | Struck | Ready


class History:
    """Rows in memory, written as JSON lines at the end."""

    __slots__ = ("rows",)

    def __init__(self, rows: list[Seen] | None = None) -> None:
        self.rows: list[Seen] = rows if rows is not None else []

    def add(self, row: Seen) -> None:
        self.rows.append(row)

    def of(self, kind: type) -> Iterator[Seen]:
        return (row for row in self.rows if type(row) is kind)

    def write(self, path: Path) -> None:
        path.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in self.rows))

    @classmethod
    def read(cls, path: Path) -> History:
        read = msgspec.json.Decoder(KINDS).decode
        return cls([read(line) for line in path.read_bytes().splitlines()])
