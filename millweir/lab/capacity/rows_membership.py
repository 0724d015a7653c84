"""Rows of what a relay spends on membership, calm and in trouble."""

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
    by_relays,
)

MICROSECOND = 1e-6

_control = functools.partial(Row, Role.CONTROL)


def _membership_rows(trouble: Trouble, name: str) -> tuple[Row, ...]:
    """Bytes, processor time and agreement of one trouble, by its name in the measurements.

    The byte budget of `members/gossip.py` bounds each second: past the sizes that were measured the mean is
    held to the 99th percentile of seconds, which the budget keeps level.
    """
    when = f" ({name})" if trouble is Trouble.REGION else ""
    bytes_mean, bytes_p99, processor, agreed, false_deaths = (
        SlopeKey("membership", quantity, name)
        for quantity in (
            "bytes-per-member-second",
            "bytes-per-member-second-p99",
            "processor-per-member-second",
            "time-until-agreed",
            "false-deaths",
        )
    )
    rows = (
        _control(
            f"gossip sent, mean{when}",
            Resource.BYTES,
            "B/s",
            lambda c: min(by_relays(bytes_mean)(c), by_relays(bytes_p99)(c)),
            mechanisms.MEMBERSHIP,
            trouble=trouble,
            budget=mechanisms.CONTROL_BYTES,
            remedy=mechanisms.MEMBERSHIP_BUDGET,
            in_total=trouble is Trouble.CALM,
        ),
        _control(
            f"gossip sent, 99th percentile of seconds{when}",
            Resource.BYTES,
            "B/s",
            by_relays(bytes_p99),
            mechanisms.MEMBERSHIP,
            trouble=trouble,
            budget=mechanisms.CONTROL_BYTES,
            remedy=mechanisms.MEMBERSHIP_BUDGET,
        ),
        _control(
            f"gossip{when}",
            Resource.PROCESSOR,
            "cores",
            lambda c: c.measured(processor, c.fleet.relays) * MICROSECOND,
            mechanisms.MEMBERSHIP,
            trouble=trouble,
            budget=mechanisms.CONTROL_PROCESSOR,
            remedy=mechanisms.MEMBERSHIP_BUDGET,
            in_total=trouble is Trouble.CALM,
        ),
    )
    if trouble is Trouble.CALM:
        return rows
    return (
        *rows,
        _control(
            f"until all living members agree{when}",
            Resource.TIME,
            "s",
            by_relays(agreed),
            mechanisms.MEMBERSHIP,
            trouble=trouble,
        ),
        _control(
            f"relays told gone that are not, by all together{when}",
            Resource.STATE,
            "tellings",
            by_relays(false_deaths),
            mechanisms.MEMBERSHIP,
            trouble=trouble,
        ),
    )


def _wave_cost(calculation: Calculation, quantity: str) -> float:
    """Membership's cost in a wave of restarts: the calm one, and each restart's more at the wave's pace."""
    fleet = calculation.fleet
    calm = calculation.measured(SlopeKey("membership", quantity), fleet.relays)
    restart = calculation.measured(SlopeKey("membership", quantity, "restart"), fleet.relays)
    starts_second = fleet.restarts_day / fleet.assumptions.restart_wave.value
    return calm + max(0.0, restart - calm) * starts_second * fleet.assumptions.restart_interval.value


MEMBERSHIP = (
    _control(
        "table of members",
        Resource.MEMORY,
        "B",
        by_relays(keys.TABLE_MEMORY),
        mechanisms.MEMBERSHIP,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _control(
        "a full state told at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.FULL_STATE_BYTES, c.fleet.relays) / c.fleet.targets.control_bytes.value,
        mechanisms.MEMBERSHIP,
        trouble=Trouble.RESTARTS,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.MEMBERSHIP_RANGES,
    ),
    *(
        row
        for trouble, names in keys.MEMBERSHIP_TROUBLES.items()
        for name in names
        for row in _membership_rows(trouble, name)
    ),
)


WAVE = (
    _control(
        "gossip sent, mean, scaled from one restart",
        Resource.BYTES,
        "B/s",
        lambda c: _wave_cost(c, "bytes-per-member-second"),
        mechanisms.MEMBERSHIP,
        trouble=Trouble.WAVE,
        budget=mechanisms.CONTROL_BYTES,
        remedy=mechanisms.ROLLOUT,
    ),
    _control(
        "gossip, scaled from one restart",
        Resource.PROCESSOR,
        "cores",
        lambda c: _wave_cost(c, "processor-per-member-second") * MICROSECOND,
        mechanisms.MEMBERSHIP,
        trouble=Trouble.WAVE,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.ROLLOUT,
    ),
)

ROWS = (*MEMBERSHIP, *WAVE)
