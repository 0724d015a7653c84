"""The `[members]` section of the operator's file: settings of membership and their checks."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import ClassVar

from millweir.members.messages import MAX_NAME_BYTES, PROTOCOL_VERSIONS
from millweir.members.rules import BASE_BYTES_PER_SECOND, Rules
from millweir.operator.file import Section
from millweir.operator.units import ByteSize, Duration, SocketAddress, address

SECOND = 1_000_000_000


class Members(Section, frozen=True, kw_only=True, rename="kebab"):
    """Settings of membership, which is off without this section; `cluster` and `listen` are required."""

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
        "protocol": PROTOCOL_VERSIONS,
    }

    cluster: str
    listen: SocketAddress
    advertise: SocketAddress | None = None  # where others reach this member, if not at `listen`
    name: str = ""  # the relay's name if empty
    seeds: tuple[SocketAddress, ...] = ()
    key_file: str = ""  # one key per line; the first one signs, all verify
    place: str = ""  # building/machine
    interval: Duration = Duration(SECOND)
    timeout: Duration = Duration(SECOND // 2)
    suspicion: float = 5.0  # minimum time from suspected to gone, in intervals
    helpers: int = 3  # members asked to probe indirectly
    members_most: int = 4096
    contact_every: Duration = Duration(5 * SECOND)  # between pings to a seed or a gone member
    doubt_most: Duration = Duration(120 * SECOND)  # how long an isolated member withholds verdicts
    datagram_most: ByteSize = ByteSize(1200)
    bytes_most: ByteSize = ByteSize(256 << 10)  # per second, for sending and for receiving datagrams
    protocol: int = PROTOCOL_VERSIONS[1]  # highest protocol version to use
    socket: str = ""  # `members.sock` in the relay's folder if empty
    via: dict[str, SocketAddress] = {}  # by address of a member: where to reach it instead

    def faults(self) -> list[tuple[str, str]]:
        found = []
        if not self.cluster or len(self.cluster.encode()) > MAX_NAME_BYTES:
            found.append(("cluster", f"want 1 to {MAX_NAME_BYTES} bytes"))
        for key in ("name", "place"):
            if len(getattr(self, key).encode()) > MAX_NAME_BYTES:
                found.append((key, f"want at most {MAX_NAME_BYTES} bytes"))
        if self.timeout >= self.interval:
            found.append(("timeout", "must be shorter than the interval"))
        addresses = [("listen", self.listen), ("advertise", self.advertise or self.listen)]
        for key, text in addresses + [("seeds", seed) for seed in self.seeds]:
            if not _is_ip_address(address(text)[0]):
                found.append((key, f"want an IP address, not {text!r}"))
        for start in self.via:
            try:
                address(start)
            except ValueError as fault:
                found.append(("via", str(fault)))
        if self.advertise is None and address(self.listen)[0] in ("0.0.0.0", "::"):
            found.append(("advertise", "is required if listen is a wildcard address"))
        if self.key_file and not _contains_key(self.key_file):
            found.append(("key-file", f"{self.key_file!r} can't be read or contains no key"))
        return found

    def keys(self) -> tuple[bytes, ...]:
        """Returns the keys of the key file; none if no file is set."""
        if not self.key_file:
            return ()
        return tuple(line.strip() for line in Path(self.key_file).read_bytes().splitlines() if line.strip())

    def rules(self) -> Rules:
        """Returns the protocol parameters for these settings."""
        return Rules(
            interval=self.interval,
            timeout=self.timeout,
            indirect_probe_count=self.helpers,
            suspicion_multiplier=float(self.suspicion),
            contact_interval=self.contact_every,
            max_isolation=self.doubt_most,
            max_members=self.members_most,
            max_datagram_bytes=self.datagram_most,
            # Probes spend from the same budget, and shorter intervals mean more of them.
            bytes_per_second=max(BASE_BYTES_PER_SECOND, BASE_BYTES_PER_SECOND * SECOND // self.interval),
            gossip_interval=min(SECOND // 5, self.interval // 5),
            sync_delay=3 * self.interval,
            min_full_state_interval=10 * self.interval,
        )


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def _contains_key(path: str) -> bool:
    try:
        return bool(Path(path).read_bytes().strip())
    except OSError:
        return False
