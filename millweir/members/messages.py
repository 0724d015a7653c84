"""Messages between members, encoded as MessagePack arrays.

New fields are appended and have a default.  Version 1 has everything except `path_reports`, which version 2
adds.  A member uses the highest version that both sides support, and its own lowest version towards a member
that it does not know.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b

import msgspec

PROTOCOL_VERSIONS = (1, 2)  # lowest and highest supported
PATH_REPORTS_MIN_VERSION = 2
MAX_NAME_BYTES = 64  # of a name, an address or a place


class ReportedState(IntEnum):
    """State of a member that a record reports; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3  # only the member itself reports it


class Kind(IntEnum):
    """Purpose of a datagram."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks the recipient to ping the target
    NACK = 3  # answers a ping-req: the target has not answered in time
    GOSSIP = 4


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a member knows and gossips about one process run of a member."""

    name: str
    run_id: int  # random for each process run; distinguishes two processes of one name
    incarnation: int  # raised by the member itself only
    state: ReportedState
    host: str
    port: int
    reporter: str  # name of the member that reports this state
    min_version: int = 1  # protocol versions that the member supports
    max_version: int = 1
    place: str = ""  # building and machine, from the operator's file

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of the records of one name; the record with the greatest key is in force."""
        return self.incarnation, self.state, self.run_id

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    def with_state(self, state: ReportedState, reporter: str) -> MemberRecord:
        """Returns a copy of this record with another state, as reported by `reporter`."""
        return MemberRecord(
            self.name,
            self.run_id,
            self.incarnation,
            state,
            self.host,
            self.port,
            reporter,
            self.min_version,
            self.max_version,
            self.place,
        )

    def is_valid(self) -> bool:
        """Whether all fields are within bounds; other records are ignored."""
        texts = (self.name, self.host, self.reporter, self.place)
        return (
            all(len(text.encode()) <= MAX_NAME_BYTES for text in texts)
            and bool(self.name and self.host)
            and 0 < self.port < 65536
            and 0 <= self.incarnation < 1 << 62
            and 0 <= self.run_id < 1 << 63
            and 0 < self.min_version <= self.max_version < 256
        )


class PathReport(msgspec.Struct, array_like=True, frozen=True):
    """Report by one end of a path between two members that the path is down, or up again."""

    start: str
    end: str
    reporter: str
    sequence: int  # raised by the reporter only
    down: bool


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """A datagram as it is sent."""

    kind: Kind
    seq: int  # of the probe; drawn by the member that started it
    sender: MemberRecord  # the sender's own record
    target: str = ""  # PING: the intended recipient; PING_REQ: whom to ping; ACK, NACK: whom it is about
    host: str = ""  # PING_REQ: address of the target
    port: int = 0
    requester: str = ""  # PING: on whose behalf, if not the sender's; ACK: returned from the ping
    # ACK: milliseconds since the target last received a datagram from the requester itself; -1 if never.
    requester_last_seen_ms: int = -1
    lateness_ms: int = 0  # by which the sender's timer recently fired late
    digest: int = 0  # of the active members in the sender's view
    unchanged_ms: int = 0  # time since that digest changed
    records: tuple[msgspec.Raw | MemberRecord, ...] = ()
    path_reports: tuple[PathReport, ...] = ()


class ReceivedDatagram(Datagram, array_like=True, frozen=True):
    """A datagram as it is decoded."""

    records: tuple[MemberRecord, ...] = ()


class FullState(msgspec.Struct, array_like=True, frozen=True):
    """The whole member table of a member, sent over TCP."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]
    path_reports: tuple[PathReport, ...] = ()


encode = msgspec.msgpack.Encoder().encode
decode_datagram = msgspec.msgpack.Decoder(ReceivedDatagram).decode
decode_full_state = msgspec.msgpack.Decoder(FullState).decode


@lru_cache(maxsize=1 << 16)
def mark(name: str, incarnation: int, run_id: int) -> int:
    """Returns the contribution of a record to a digest: 63 bits, the same in every process."""
    text = f"{name}\0{incarnation}\0{run_id}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest()) >> 1
