"""What members tell each other, as MessagePack arrays; new fields go to the end and have a default.

Version 1 is all below but `cuts`; version 2 adds them.  A member speaks to another in the highest version
that both know, to a stranger in the lowest that it knows itself.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b

import msgspec

VERSIONS = (1, 2)  # lowest and highest spoken by this program
CUTS_SINCE = 2
NAME_MOST = 64  # bytes of a name, an address or a place


class Rank(IntEnum):
    """What is claimed of a member; at one incarnation the higher claim wins."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3  # by its own word


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 0
    ACK = 1
    ASK = 2  # probe the target for me
    NACK = 3  # asked, but the target has not answered me either
    NEWS = 4


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one life of a member."""

    name: str
    birth: int  # drawn by each process at its start, to tell two under one name apart
    incarnation: int  # only the member itself raises it
    rank: Rank
    host: str
    port: int
    by: str  # whose word it is
    low: int = 1  # versions that it speaks
    high: int = 1
    place: str = ""  # building and machine, as its operator wrote it

    @property
    def key(self) -> tuple[int, int, int]:
        """Claims on one name are ordered by this; the greatest holds."""
        return self.incarnation, self.rank, self.birth

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    def ranked(self, rank: Rank, by: str) -> Claim:
        return Claim(
            self.name,
            self.birth,
            self.incarnation,
            rank,
            self.host,
            self.port,
            by,
            self.low,
            self.high,
            self.place,
        )

    def usable(self) -> bool:
        """Within bounds; what is not is never taken in."""
        texts = (self.name, self.host, self.by, self.place)
        return (
            all(len(text.encode()) <= NAME_MOST for text in texts)
            and bool(self.name and self.host)
            and 0 < self.port < 65536
            and 0 <= self.incarnation < 1 << 62
            and 0 <= self.birth < 1 << 63
            and 0 < self.low <= self.high < 256
        )


class Cut(msgspec.Struct, array_like=True, frozen=True):
    """A path between two members that is down or up again, by the word of one of them."""

    start: str
    end: str
    by: str
    number: int  # only the one who says it raises it
    down: bool


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram."""

    kind: Kind
    seq: int  # the probe's, drawn by who began it
    me: Claim  # the sender of itself
    target: str = ""  # PING: who is meant; ASK: whom to probe; ACK and NACK: of whom it tells
    host: str = ""  # ASK: where the target is
    port: int = 0
    asker: str = ""  # PING: on whose behalf; ACK: passed back
    heard: int = -1  # ACK: ms since its target last heard the asker itself, -1 never
    late: int = 0  # ms by which the sender's turns ran late of late
    digest: int = 0  # of all whom the sender holds for alive
    settled: int = 0  # ms since that changed
    claims: tuple[msgspec.Raw | Claim, ...] = ()
    cuts: tuple[Cut, ...] = ()


class Told(Datagram, array_like=True, frozen=True):
    """A datagram as it is read."""

    claims: tuple[Claim, ...] = ()


class Whole(msgspec.Struct, array_like=True, frozen=True):
    """All that a member holds, over TCP."""

    me: Claim
    claims: tuple[Claim, ...]
    cuts: tuple[Cut, ...] = ()


encode = msgspec.msgpack.Encoder().encode
read_datagram = msgspec.msgpack.Decoder(Told).decode
read_whole = msgspec.msgpack.Decoder(Whole).decode


@lru_cache(maxsize=1 << 16)
def mark(name: str, incarnation: int, birth: int) -> int:
    """A claim's part of a digest: 63 bits, the same in every process."""
    text = f"{name}\0{incarnation}\0{birth}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest()) >> 1
