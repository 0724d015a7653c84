"""What a membership scale test and its hollow processes tell each other: JSON lines on pipes."""

from __future__ import annotations

import msgspec

REGIONS = 4
ZONES = 11
RACK = 20  # members of one rack
SEEDS = 2  # the first members
LOST_RACK_ZONE = 2  # it has none of the seeds
LOST_ZONE = 3
CUT_REGION = 1  # three of the zones, and the second seed


class Plan(msgspec.Struct, frozen=True, tag=True):
    """The first line to a hollow process: which members it runs, and when they start."""

    size: int  # members of the fleet
    processes: int
    index: int  # of this process: it runs the members whose number leaves this rest
    seed: int
    port: int  # all members listen on it, each on a loopback address of its own
    start_at: int  # monotonic nanoseconds, the same clock in all processes

    def own(self) -> range:
        """Numbers of the members that this process runs."""
        return range(self.index, self.size, self.processes)


class Kill(msgspec.Struct, frozen=True, tag=True):
    """These members end without a word."""

    members: tuple[int, ...]


class Restart(msgspec.Struct, frozen=True, tag=True):
    """This member leaves in order and comes back with what its folder kept."""

    member: int


class Cut(msgspec.Struct, frozen=True, tag=True):
    """Nothing passes between the region `CUT_REGION` and the others."""


class Heal(msgspec.Struct, frozen=True, tag=True):
    """The cut is over."""


class Begin(msgspec.Struct, frozen=True, tag=True):
    """Samples before this count no more."""


class End(msgspec.Struct, frozen=True, tag=True):
    """Tell the samples since `Begin`."""


Command = Plan | Kill | Restart | Cut | Heal | Begin | End


class Built(msgspec.Struct, frozen=True, tag=True):
    """All members of this process are made."""

    late: float  # seconds after the time at which they should have started; negative where before
    resident_before: int  # bytes held before the members were made
    resident: int  # and after


class View(msgspec.Struct, frozen=True, tag=True):
    """How far the living members of this process agree, several times a second."""

    at: int  # monotonic nanoseconds
    digests: tuple[int, ...]  # of who is held for there: the different ones, a few at the most
    truth: int  # this process's part of the digest that is right


class Samples(msgspec.Struct, frozen=True, tag=True):
    """What a window cost: one sample for each living member and second, in the same order in both lists."""

    sent_bytes: list[int]
    processor: list[int]  # nanoseconds in the member's own calls
    members: list[tuple[int, int]]  # for each member: bytes and nanoseconds of the whole window
    process_time: int  # nanoseconds of the whole process, its loop and kernel's work with it
    seconds: float
    counts: dict[str, int]  # of all members together


Report = Built | View | Samples


def zone_of(member: int) -> int:
    return member % ZONES


def region_of(member: int) -> int:
    return zone_of(member) % REGIONS


def name_of(member: int) -> str:
    return f"m{member}"


def address_of(member: int, port: int) -> tuple[str, int]:
    """A loopback address of the member's own."""
    return f"127.88.{member >> 8}.{member & 255}", port


def hole_address(port: int) -> tuple[str, int]:
    """What is sent there is never read."""
    return "127.88.255.254", port


def zone_members(size: int, zone: int) -> tuple[int, ...]:
    return tuple(member for member in range(size) if zone_of(member) == zone)


def rack_members(size: int) -> tuple[int, ...]:
    """About twenty members of one zone; all of the zone where it has fewer."""
    return zone_members(size, LOST_RACK_ZONE)[:RACK]
