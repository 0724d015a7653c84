"""Rows of the relays that take over the events of a lost relay: copies before the loss, takeover after."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Calculation,
    Fault,
    Resource,
    Role,
    Row,
    SlopeKey,
)
from millweir.lab.capacity.rows_data import compute_event_memory

COPY_PROCESSOR = SlopeKey("copies", "processor-per-copy")  # no scale test yet; planned with issue 32

_make_takeover_row = functools.partial(Row, Role.TAKEOVER)


NORMAL_TAKEOVER_ROWS = (
    _make_takeover_row(
        "memory of the events held and of copies, if a copy takes as much",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.events_held_per_relay
        * (1 + c.fleet.assumptions.copies.value)
        * compute_event_memory(c),
        mechanisms.TAKEOVER,
    ),
    _make_takeover_row(
        "copies sent and taken",
        Resource.MESSAGES,
        "messages/s",
        lambda c: 2 * c.fleet.relay_events_per_second * c.fleet.assumptions.copies.value,
        mechanisms.TAKEOVER,
    ),
    _make_takeover_row(
        "copies sent and taken",
        Resource.PROCESSOR,
        "cores",
        lambda c: 2
        * c.fleet.relay_events_per_second
        * c.evaluate_slope(COPY_PROCESSOR, c.fleet.relay_events_per_second),
        mechanisms.TAKEOVER,
    ),
    _make_takeover_row(
        "bytes of copies, sent and taken",
        Resource.BYTES,
        "B/s",
        lambda c: (
            2
            * c.fleet.relay_events_per_second
            * c.fleet.assumptions.copies.value
            * c.fleet.assumptions.message_bytes.value
        ),
        mechanisms.TAKEOVER,
        budget=mechanisms.RELAY_NETWORK,
    ),
    _make_takeover_row(
        "take-overs a day, of an ordinary one",
        Resource.STATE,
        "take-overs",
        lambda c: c.fleet.machines_lost_per_day,
        mechanisms.TAKEOVER,
        fault=Fault.MACHINE_LOST,
    ),
    _make_takeover_row(
        "owners' leases run out and go to others",
        Resource.TIME,
        "s",
        lambda c: (
            c.fleet.assumptions.lease.value
            + c.evaluate_slope(
                keys.make_register_key("change-commit-time", Fault.MACHINE_LOST), c.fleet.relays
            )
        ),
        mechanisms.TAKEOVER,
        fault=Fault.MACHINE_LOST,
    ),
)


def _compute_events_taken_over(calculation: Calculation, lost_relays: float) -> float:
    """Return the events that each remaining relay takes over, those of the lost relays spread over all."""
    fleet = calculation.fleet
    return fleet.events_held_per_relay * lost_relays / max(1.0, fleet.relays - lost_relays)


def _compute_takeover_time(calculation: Calculation, lost_relays: float) -> float:
    """Return the seconds to send the events taken over, in addition to the relay's own."""
    idle_rate = calculation.fleet.relay_events_per_second * calculation.fleet.assumptions.spare_share.value
    return _compute_events_taken_over(calculation, lost_relays) / idle_rate


RELAYS_LOST_BY_FAULT = {
    Fault.MACHINE_LOST: lambda c: min(1.0, c.fleet.relays / 2),
    Fault.RACK_LOST: lambda c: min(c.fleet.relays_per_rack, c.fleet.relays / 2),
    Fault.ZONE_LOST: lambda c: c.fleet.relays_per_zone,
}


FAULT_TAKEOVER_ROWS = tuple(
    row
    for fault, count_lost_relays in RELAYS_LOST_BY_FAULT.items()
    for row in (
        _make_takeover_row(
            "events taken on by each relay that is left",
            Resource.STATE,
            "events",
            lambda c, count_lost_relays=count_lost_relays: _compute_events_taken_over(
                c, count_lost_relays(c)
            ),
            mechanisms.TAKEOVER,
            fault=fault,
        ),
        _make_takeover_row(
            "time until these are sent",
            Resource.TIME,
            "s",
            lambda c, count_lost_relays=count_lost_relays: _compute_takeover_time(c, count_lost_relays(c)),
            mechanisms.TAKEOVER,
            fault=fault,
            budget=mechanisms.TAKEOVER_TIME if fault is Fault.MACHINE_LOST else None,
        ),
    )
) + (
    _make_takeover_row(
        "events taken on: none, a region that comes back has kept its own",
        Resource.STATE,
        "events",
        lambda c: 0.0,
        mechanisms.TAKEOVER,
        fault=Fault.REGION_CUT,
    ),
)

ROWS = (*NORMAL_TAKEOVER_ROWS, *FAULT_TAKEOVER_ROWS)
