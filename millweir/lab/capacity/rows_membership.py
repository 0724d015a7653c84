"""Rows of what a relay spends on membership, without faults and under faults."""

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
    evaluate_at_relay_count,
)

SECONDS_PER_MICROSECOND = 1e-6

_make_control_row = functools.partial(Row, Role.CONTROL)


def _make_membership_rows(fault: Fault, measured_fault: str) -> tuple[Row, ...]:
    """Return the bytes, processor time and time to agreement for a fault, by its name in the measurements.

    The byte budget of `members/gossip.py` bounds each second.  Beyond the measured sizes the mean is
    therefore limited to the 99th percentile of seconds, which the budget keeps constant.
    """
    fault_suffix = f" ({measured_fault})" if fault is Fault.REGION_CUT else ""
    bytes_mean, bytes_p99, processor_time, agreement_time, false_deaths = (
        SlopeKey("membership", quantity, measured_fault)
        for quantity in (
            "bytes-per-member-second",
            "bytes-per-member-second-p99",
            "processor-per-member-second",
            "time-until-agreed",
            "false-deaths",
        )
    )
    rows = (
        _make_control_row(
            f"gossip sent, mean{fault_suffix}",
            Resource.BYTES,
            "B/s",
            lambda c: min(evaluate_at_relay_count(bytes_mean)(c), evaluate_at_relay_count(bytes_p99)(c)),
            mechanisms.MEMBERSHIP,
            fault=fault,
            budget=mechanisms.CONTROL_BYTES,
            remedy=mechanisms.MEMBERSHIP_BUDGET,
            in_total=fault is Fault.NONE,
        ),
        _make_control_row(
            f"gossip sent, 99th percentile of seconds{fault_suffix}",
            Resource.BYTES,
            "B/s",
            evaluate_at_relay_count(bytes_p99),
            mechanisms.MEMBERSHIP,
            fault=fault,
            budget=mechanisms.CONTROL_BYTES,
            remedy=mechanisms.MEMBERSHIP_BUDGET,
        ),
        _make_control_row(
            f"gossip{fault_suffix}",
            Resource.PROCESSOR,
            "cores",
            lambda c: c.evaluate_slope(processor_time, c.fleet.relays) * SECONDS_PER_MICROSECOND,
            mechanisms.MEMBERSHIP,
            fault=fault,
            budget=mechanisms.CONTROL_PROCESSOR,
            remedy=mechanisms.MEMBERSHIP_BUDGET,
            in_total=fault is Fault.NONE,
        ),
    )
    if fault is Fault.NONE:
        return rows
    return (
        *rows,
        _make_control_row(
            f"until all living members agree{fault_suffix}",
            Resource.TIME,
            "s",
            evaluate_at_relay_count(agreement_time),
            mechanisms.MEMBERSHIP,
            fault=fault,
        ),
        _make_control_row(
            f"relays told gone that are not, by all together{fault_suffix}",
            Resource.STATE,
            "tellings",
            evaluate_at_relay_count(false_deaths),
            mechanisms.MEMBERSHIP,
            fault=fault,
        ),
    )


def _compute_restart_wave_cost(calculation: Calculation, quantity: str) -> float:
    """Return the cost without faults plus the extra cost of a restart at the restart rate of a wave."""
    fleet = calculation.fleet
    normal_cost = calculation.evaluate_slope(SlopeKey("membership", quantity), fleet.relays)
    restart_cost = calculation.evaluate_slope(SlopeKey("membership", quantity, "restart"), fleet.relays)
    starts_per_second = fleet.restarts_per_day / fleet.assumptions.restart_wave.value
    return (
        normal_cost
        + max(0.0, restart_cost - normal_cost) * starts_per_second * fleet.assumptions.restart_interval.value
    )


MEMBERSHIP_ROWS = (
    _make_control_row(
        "table of members",
        Resource.MEMORY,
        "B",
        evaluate_at_relay_count(keys.MEMBER_TABLE_MEMORY),
        mechanisms.MEMBERSHIP,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _make_control_row(
        "a full state told at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.FULL_STATE_BYTES, c.fleet.relays)
        / c.fleet.targets.control_bytes.value,
        mechanisms.MEMBERSHIP,
        fault=Fault.RESTARTS,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.MEMBERSHIP_RANGES,
    ),
    *(
        row
        for fault, measured_faults in keys.MEMBERSHIP_FAULTS.items()
        for measured_fault in measured_faults
        for row in _make_membership_rows(fault, measured_fault)
    ),
)


RESTART_WAVE_ROWS = (
    _make_control_row(
        "gossip sent, mean, scaled from one restart",
        Resource.BYTES,
        "B/s",
        lambda c: _compute_restart_wave_cost(c, "bytes-per-member-second"),
        mechanisms.MEMBERSHIP,
        fault=Fault.RESTART_WAVE,
        budget=mechanisms.CONTROL_BYTES,
        remedy=mechanisms.ROLLOUT,
    ),
    _make_control_row(
        "gossip, scaled from one restart",
        Resource.PROCESSOR,
        "cores",
        lambda c: _compute_restart_wave_cost(c, "processor-per-member-second") * SECONDS_PER_MICROSECOND,
        mechanisms.MEMBERSHIP,
        fault=Fault.RESTART_WAVE,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.ROLLOUT,
    ),
)

ROWS = (*MEMBERSHIP_ROWS, *RESTART_WAVE_ROWS)
