"""Rows of what a relay spends on control: destinations, changes, assignment, and the totals."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms, rows_configuration, rows_membership
from millweir.lab.capacity.model import (
    SECONDS_PER_DAY,
    SECONDS_PER_MINUTE,
    Budget,
    Calculation,
    Fault,
    Resource,
    Role,
    Row,
    Stage,
    evaluate_at_relay_count,
)

_make_control_row = functools.partial(Row, Role.CONTROL)


def _compute_destination_memory(calculation: Calculation, destinations: float) -> float:
    """Return the bytes of that many destinations; the measurement has one host for each."""
    hosts = calculation.fleet.assumptions.hosts_destination.value
    return hosts * calculation.evaluate_slope(keys.DESTINATIONS_MEMORY, destinations)


def _compute_change_processor(
    calculation: Calculation, destinations: float, changes_per_second: float
) -> float:
    """Return the cores used to apply changes of configuration at that rate."""
    return changes_per_second * calculation.evaluate_slope(keys.RELAY_CHANGE_TIME, destinations)


def _compute_own_change_fraction(calculation: Calculation) -> float:
    """Return the fraction of all changes that concern one relay, with placement."""
    return calculation.fleet.max_destinations_per_relay / calculation.fleet.destinations


def _compute_list_transfer_time(calculation: Calculation, destinations: float) -> float:
    """Return the seconds to receive the entries of that many destinations within the byte budget."""
    fleet = calculation.fleet
    return destinations * fleet.assumptions.entry_bytes.value / fleet.targets.control_bytes.value


DESTINATION_TABLE_ROWS = (
    _make_control_row(
        "table of destinations",
        Resource.MEMORY,
        "B",
        lambda c: _compute_destination_memory(c, c.fleet.destinations),
        mechanisms.FULL_LIST,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.CONTROL_MEMORY,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_control_row(
        "table of destinations",
        Resource.MEMORY,
        "B",
        lambda c: _compute_destination_memory(c, c.fleet.max_destinations_per_relay),
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _make_control_row(
        "destinations known",
        Resource.STATE,
        "destinations",
        lambda c: c.fleet.destinations,
        mechanisms.FULL_LIST,
        stage=Stage.BEFORE_PLACEMENT,
    ),
    _make_control_row(
        "destinations known, at the fullest relay",
        Resource.STATE,
        "destinations",
        lambda c: c.fleet.max_destinations_per_relay,
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
    ),
)


CHANGE_ROWS = (
    _make_control_row(
        "changes of configuration told to the decisions, busiest minute",
        Resource.PROCESSOR,
        "cores",
        lambda c: (
            c.fleet.changes_in_busiest_minute
            / SECONDS_PER_MINUTE
            * c.evaluate_slope(keys.DECISION_CHANGE_TIME, c.fleet.destinations)
        ),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_control_row(
        "changes of configuration taken in, mean of the day",
        Resource.PROCESSOR,
        "cores",
        lambda c: _compute_change_processor(
            c, c.fleet.destinations, c.fleet.changes_per_day / SECONDS_PER_DAY
        ),
        mechanisms.FULL_LIST,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_control_row(
        "changes of configuration taken in, busiest minute",
        Resource.PROCESSOR,
        "cores",
        lambda c: _compute_change_processor(
            c, c.fleet.destinations, c.fleet.changes_in_busiest_minute / SECONDS_PER_MINUTE
        ),
        mechanisms.FULL_LIST,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_control_row(
        "changes of configuration taken in, busiest minute",
        Resource.PROCESSOR,
        "cores",
        lambda c: _compute_change_processor(
            c,
            c.fleet.max_destinations_per_relay,
            c.fleet.changes_in_busiest_minute / SECONDS_PER_MINUTE * _compute_own_change_fraction(c),
        ),
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.CONTROL_PROCESSOR,
        in_total=True,
    ),
    _make_control_row(
        "changes of configuration, busiest minute",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.changes_in_busiest_minute / SECONDS_PER_MINUTE,
        mechanisms.FULL_LIST,
        stage=Stage.BEFORE_PLACEMENT,
    ),
    _make_control_row(
        "changes of configuration, busiest minute",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.changes_in_busiest_minute / SECONDS_PER_MINUTE * _compute_own_change_fraction(c),
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_control_row(
        "changes of configuration, busiest minute",
        Resource.BYTES,
        "B/s",
        lambda c: c.fleet.changes_in_busiest_minute
        / SECONDS_PER_MINUTE
        * c.fleet.assumptions.entry_bytes.value,
        mechanisms.FULL_LIST,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.CONTROL_BYTES,
        remedy=mechanisms.CONFIGURATION,
    ),
    _make_control_row(
        "changes of configuration, busiest minute",
        Resource.BYTES,
        "B/s",
        lambda c: (
            c.fleet.changes_in_busiest_minute
            / SECONDS_PER_MINUTE
            * _compute_own_change_fraction(c)
            * c.fleet.assumptions.entry_bytes.value
        ),
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.CONTROL_BYTES,
    ),
)


START_ROWS = (
    _make_control_row(
        "told of its destinations at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: _compute_list_transfer_time(c, c.fleet.destinations),
        mechanisms.FULL_LIST,
        fault=Fault.RESTARTS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_control_row(
        "told of its destinations at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: _compute_list_transfer_time(c, c.fleet.max_destinations_per_relay),
        mechanisms.CONFIGURATION,
        fault=Fault.RESTARTS,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.START_TIME,
    ),
    _make_control_row(
        "first list taken in at a start",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.INITIAL_LIST_TIME, c.fleet.destinations),
        mechanisms.FULL_LIST,
        fault=Fault.RESTARTS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_control_row(
        "first list taken in at a start",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.INITIAL_LIST_TIME, c.fleet.max_destinations_per_relay),
        mechanisms.CONFIGURATION,
        fault=Fault.RESTARTS,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.START_TIME,
    ),
)


ASSIGNMENT_ROWS = (
    _make_control_row(
        "partitions told of, mean",
        Resource.STATE,
        "partitions",
        lambda c: c.fleet.assumptions.partitions.value * c.fleet.replicas / c.fleet.relays,
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_control_row(
        "table of its part of the assignment",
        Resource.MEMORY,
        "B",
        evaluate_at_relay_count(keys.RELAY_ASSIGNMENT_MEMORY),
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _make_control_row(
        "its part of the assignment told at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.RELAY_ASSIGNMENT_BYTES, c.fleet.relays)
        / c.fleet.targets.control_bytes.value,
        mechanisms.PLACEMENT,
        fault=Fault.RESTARTS,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.START_TIME,
    ),
    *(
        _make_control_row(
            "a change of the assignment, if every relay is told it whole, within the budget of bytes",
            Resource.TIME,
            "s",
            lambda c, key=key: c.evaluate_slope(key, c.fleet.relays) / c.fleet.targets.control_bytes.value,
            mechanisms.PLACEMENT,
            fault=fault,
            stage=Stage.REJECTED_ALTERNATIVE,
            budget=mechanisms.IN_FORCE,
        )
        for fault, key in (
            (Fault.MACHINE_LOST, keys.make_placement_key("difference-bytes", Fault.MACHINE_LOST)),
            (Fault.RACK_LOST, keys.make_register_key("assignment-change-bytes", Fault.RACK_LOST)),
            (Fault.ZONE_LOST, keys.make_placement_key("difference-bytes", Fault.ZONE_LOST)),
        )
    ),
    _make_control_row(
        "renewal of its lease at the register",
        Resource.BYTES,
        "B/s",
        evaluate_at_relay_count(keys.LEASED_OWNER_BYTES),
        mechanisms.LEASES,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.CONTROL_BYTES,
        in_total=True,
    ),
)

DESTINATION_AND_ASSIGNMENT_ROWS = (*DESTINATION_TABLE_ROWS, *CHANGE_ROWS, *START_ROWS, *ASSIGNMENT_ROWS)
ROWS_WITHOUT_TOTALS = (*DESTINATION_AND_ASSIGNMENT_ROWS, *rows_configuration.ROWS, *rows_membership.ROWS)
CONTROL_TOTAL_ROWS = tuple(row for row in ROWS_WITHOUT_TOTALS if row.in_total)


def _make_total_row(resource: Resource, unit: str, budget: Budget) -> Row:
    """Return the row that sums what a relay spends on control without faults, with placement."""
    summed_rows = tuple(row for row in CONTROL_TOTAL_ROWS if row.resource is resource)
    return _make_control_row(
        "all control together",
        resource,
        unit,
        lambda c: c.sum_rows(summed_rows),
        mechanisms.ALL_CONTROL,
        stage=Stage.WITH_PLACEMENT,
        budget=budget,
    )


TOTAL_ROWS = (
    _make_total_row(Resource.PROCESSOR, "cores", mechanisms.CONTROL_PROCESSOR),
    _make_total_row(Resource.MEMORY, "B", mechanisms.CONTROL_MEMORY),
    _make_total_row(Resource.BYTES, "B/s", mechanisms.CONTROL_BYTES),
)

ROWS = (*ROWS_WITHOUT_TOTALS, *TOTAL_ROWS)
