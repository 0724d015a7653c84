"""Rows of the relays that take on what a lost one held: copies before, take-over after."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Calculation,
    Resource,
    Role,
    Row,
    SlopeKey,
    Trouble,
)
from millweir.lab.capacity.rows_data import event_memory

COPY_PROCESSOR = SlopeKey("copies", "processor-per-copy")  # no scale test yet: comes with issue 32

_taker = functools.partial(Row, Role.TAKER)


TAKER = (
    _taker(
        "memory of the events held and of copies, if a copy takes as much",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.held_relay * (1 + c.fleet.assumptions.copies.value) * event_memory(c),
        mechanisms.TAKE_OVER,
    ),
    _taker(
        "copies sent and taken",
        Resource.MESSAGES,
        "messages/s",
        lambda c: 2 * c.fleet.events_relay * c.fleet.assumptions.copies.value,
        mechanisms.TAKE_OVER,
    ),
    _taker(
        "copies sent and taken",
        Resource.PROCESSOR,
        "cores",
        lambda c: 2 * c.fleet.events_relay * c.measured(COPY_PROCESSOR, c.fleet.events_relay),
        mechanisms.TAKE_OVER,
    ),
    _taker(
        "bytes of copies, sent and taken",
        Resource.BYTES,
        "B/s",
        lambda c: (
            2
            * c.fleet.events_relay
            * c.fleet.assumptions.copies.value
            * c.fleet.assumptions.message_bytes.value
        ),
        mechanisms.TAKE_OVER,
        budget=mechanisms.RELAY_NETWORK,
    ),
    _taker(
        "take-overs a day, of an ordinary one",
        Resource.STATE,
        "take-overs",
        lambda c: c.fleet.machines_lost_day,
        mechanisms.TAKE_OVER,
        trouble=Trouble.MACHINE,
    ),
    _taker(
        "owners' leases run out and go to others",
        Resource.TIME,
        "s",
        lambda c: (
            c.fleet.assumptions.lease.value
            + c.measured(keys.register_trouble("change-commit-time", Trouble.MACHINE), c.fleet.relays)
        ),
        mechanisms.TAKE_OVER,
        trouble=Trouble.MACHINE,
    ),
)


def _taken_on(calculation: Calculation, lost: float) -> float:
    """Events that each relay left takes on, if the lost relays' are spread over all."""
    fleet = calculation.fleet
    return fleet.held_relay * lost / max(1.0, fleet.relays - lost)


def _taken_time(calculation: Calculation, lost: float) -> float:
    """Seconds until these are sent, beside the relay's own."""
    spare = calculation.fleet.events_relay * calculation.fleet.assumptions.spare_share.value
    return _taken_on(calculation, lost) / spare


LOST = {
    Trouble.MACHINE: lambda c: min(1.0, c.fleet.relays / 2),
    Trouble.RACK: lambda c: min(c.fleet.rack, c.fleet.relays / 2),
    Trouble.ZONE: lambda c: c.fleet.zone,
}


TAKER_IN_TROUBLE = tuple(
    row
    for trouble, lost in LOST.items()
    for row in (
        _taker(
            "events taken on by each relay that is left",
            Resource.STATE,
            "events",
            lambda c, lost=lost: _taken_on(c, lost(c)),
            mechanisms.TAKE_OVER,
            trouble=trouble,
        ),
        _taker(
            "time until these are sent",
            Resource.TIME,
            "s",
            lambda c, lost=lost: _taken_time(c, lost(c)),
            mechanisms.TAKE_OVER,
            trouble=trouble,
            budget=mechanisms.TAKEOVER_TIME if trouble is Trouble.MACHINE else None,
        ),
    )
) + (
    _taker(
        "events taken on: none, a region that comes back has kept its own",
        Resource.STATE,
        "events",
        lambda c: 0.0,
        mechanisms.TAKE_OVER,
        trouble=Trouble.REGION,
    ),
)

ROWS = (*TAKER, *TAKER_IN_TROUBLE)
