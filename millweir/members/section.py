"""`[members]` of the operator's file."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import ClassVar

from millweir.members.messages import NAME_MOST, VERSIONS
from millweir.members.rules import BYTES_SECOND, Rules
from millweir.operator.file import Section
from millweir.operator.units import ByteSize, Duration, SocketAddress, address

SECOND = 1_000_000_000


class Members(Section, frozen=True, kw_only=True, rename="kebab"):
    """All off without the section; `cluster` and `listen` are needed, the rest has defaults."""

    RANGES: ClassVar[dict[str, tuple[int, int]]] = {
        "interval": (SECOND // 20, 60 * SECOND),
        "timeout": (SECOND // 100, 30 * SECOND),
        "suspicion": (2, 100),
        "helpers": (0, 8),
        "members_most": (2, 65536),
        "contact_every": (SECOND // 10, 600 * SECOND),
        "doubt_most": (SECOND, 3600 * SECOND),
        "datagram_most": (576, 8192),
        "bytes_most": (4096, 1 << 30),
        "protocol": VERSIONS,
    }

    cluster: str
    listen: SocketAddress
    advertise: SocketAddress | None = None  # where others reach this member, if not at `listen`
    name: str = ""  # the relay's own where it is empty
    seeds: tuple[SocketAddress, ...] = ()
    key_file: str = ""  # one key a line, the first one signs
    place: str = ""  # building/machine
    interval: Duration = Duration(SECOND)
    timeout: Duration = Duration(SECOND // 2)
    suspicion: float = 5.0  # intervals from suspicion to gone, at the least
    helpers: int = 3
    members_most: int = 4096
    contact_every: Duration = Duration(5 * SECOND)
    doubt_most: Duration = Duration(120 * SECOND)
    datagram_most: ByteSize = ByteSize(1200)
    bytes_most: ByteSize = ByteSize(256 << 10)  # a second, sent; and read of datagrams
    protocol: int = VERSIONS[1]  # the highest version spoken
    socket: str = ""  # `members.sock` in the relay's folder where it is empty
    via: dict[str, SocketAddress] = {}  # addresses that this member reaches by another way

    def faults(self) -> list[tuple[str, str]]:
        found = []
        if not self.cluster or len(self.cluster.encode()) > NAME_MOST:
            found.append(("cluster", f"want 1 to {NAME_MOST} bytes"))
        for key in ("name", "place"):
            if len(getattr(self, key).encode()) > NAME_MOST:
                found.append((key, f"want {NAME_MOST} bytes at most"))
        if self.timeout >= self.interval:
            found.append(("timeout", "must be shorter than the interval"))
        places = [("listen", self.listen), ("advertise", self.advertise or self.listen)]
        for key, text in places + [("seeds", seed) for seed in self.seeds]:
            if not _literal(address(text)[0]):
                found.append((key, f"want an IP address, not {text!r}"))
        for start in self.via:
            try:
                address(start)
            except ValueError as fault:
                found.append(("via", str(fault)))
        if self.advertise is None and address(self.listen)[0] in ("0.0.0.0", "::"):
            found.append(("advertise", "is needed where listen is no address that others could use"))
        if self.key_file and not _readable(self.key_file):
            found.append(("key-file", f"{self.key_file!r} can't be read or holds no key"))
        return found

    def keys(self) -> tuple[bytes, ...]:
        if not self.key_file:
            return ()
        return tuple(line.strip() for line in Path(self.key_file).read_bytes().splitlines() if line.strip())

    def rules(self) -> Rules:
        return Rules(
            interval=self.interval,
            timeout=self.timeout,
            helpers=self.helpers,
            suspicion=float(self.suspicion),
            contact_every=self.contact_every,
            doubt_most=self.doubt_most,
            members_most=self.members_most,
            datagram_most=self.datagram_most,
            bytes_second=max(BYTES_SECOND, BYTES_SECOND * SECOND // self.interval),  # probes take their part
            news_every=min(SECOND // 5, self.interval // 5),
            settle=3 * self.interval,
            whole_rest=10 * self.interval,
        )


def _literal(host: str) -> bool:
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def _readable(path: str) -> bool:
    try:
        return bool(Path(path).read_bytes().strip())
    except OSError:
        return False
