"""Messages between a membership scale test and its hollow processes: JSON lines on pipes."""

from __future__ import annotations

import msgspec

REGION_COUNT = 4
ZONE_COUNT = 11
RACK_MEMBERS = 20
SEED_COUNT = 2  # seed members, which have the lowest numbers
LOST_RACK_ZONE = 2  # contains no seed
LOST_ZONE = 3
CUT_REGION = 1  # contains three of the zones and the second seed


class Plan(msgspec.Struct, frozen=True, tag=True):
    """First line sent to a hollow process: the members that it runs, and when they start."""

    size: int  # members of the fleet
    processes: int
    index: int  # of this process, which runs the members whose number modulo `processes` equals it
    seed: int
    port: int  # of all members; each listens on a loopback address of its own
    start_at: int  # monotonic nanoseconds, the same clock in all processes

    def list_own_members(self) -> range:
        """Returns the numbers of the members that this process runs."""
        return range(self.index, self.size, self.processes)


class Kill(msgspec.Struct, frozen=True, tag=True):
    """Command: these members crash."""

    members: tuple[int, ...]


class Restart(msgspec.Struct, frozen=True, tag=True):
    """Command: this member leaves gracefully and restarts with its stored state."""

    member: int


class Cut(msgspec.Struct, frozen=True, tag=True):
    """Command: partition the network between the region `CUT_REGION` and the others."""


class Heal(msgspec.Struct, frozen=True, tag=True):
    """Command: end the network partition."""


class Begin(msgspec.Struct, frozen=True, tag=True):
    """Command: discard the samples taken so far."""


class End(msgspec.Struct, frozen=True, tag=True):
    """Command: report the samples taken since `Begin`."""


Command = Plan | Kill | Restart | Cut | Heal | Begin | End


class Built(msgspec.Struct, frozen=True, tag=True):
    """Report: all members of this process have been created."""

    late: float  # seconds after the planned start time; negative if before it
    resident_before: int  # resident bytes before the members were created
    resident: int  # and afterwards


class View(msgspec.Struct, frozen=True, tag=True):
    """Report: how far the living members of this process agree; sent several times a second."""

    at: int  # monotonic nanoseconds
    digests: tuple[int, ...]  # distinct digests of the members' alive sets, a few at most
    truth: int  # this process's part of the expected digest


class Samples(msgspec.Struct, frozen=True, tag=True):
    """Report: cost of a window; one sample per living member and second, in the same order in both lists."""

    sent_bytes: list[int]
    processor: list[int]  # nanoseconds in the member's own calls
    members: list[tuple[int, int]]  # for each member: bytes and nanoseconds of the whole window
    process_time: int  # nanoseconds of the whole process, with its event loop and system calls
    seconds: float
    counts: dict[str, int]  # of all members together


Report = Built | View | Samples


def get_zone(member: int) -> int:
    return member % ZONE_COUNT


def get_region(member: int) -> int:
    return get_zone(member) % REGION_COUNT


def format_name(member: int) -> str:
    return f"m{member}"


def get_address(member: int, port: int) -> tuple[str, int]:
    """Returns the member's own loopback address."""
    return f"127.88.{member >> 8}.{member & 255}", port


def get_black_hole_address(port: int) -> tuple[str, int]:
    """Returns the address of sockets that nobody reads."""
    return "127.88.255.254", port


def list_zone_members(size: int, zone: int) -> tuple[int, ...]:
    return tuple(member for member in range(size) if get_zone(member) == zone)


def list_rack_members(size: int) -> tuple[int, ...]:
    """Returns twenty members of one zone, or all of them if it has fewer."""
    return list_zone_members(size, LOST_RACK_ZONE)[:RACK_MEMBERS]
