"""Rows of what a relay spends on control: destinations, changes, assignment, and all together."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms, rows_configuration, rows_membership
from millweir.lab.capacity.model import (
    DAY,
    MINUTE,
    Budget,
    Calculation,
    Resource,
    Role,
    Row,
    Stage,
    Trouble,
    by_relays,
)

_control = functools.partial(Row, Role.CONTROL)


def _destination_memory(calculation: Calculation, destinations: float) -> float:
    hosts = calculation.fleet.assumptions.hosts_destination.value
    return hosts * calculation.measured(keys.DESTINATIONS_MEMORY, destinations)


def _changes_processor(calculation: Calculation, destinations: float, changes_second: float) -> float:
    return changes_second * calculation.measured(keys.RELAY_CHANGE_TIME, destinations)


def _own_part(calculation: Calculation) -> float:
    """Share of all changes that concern one relay, with placement."""
    return calculation.fleet.own_destinations / calculation.fleet.destinations


def _list_time(calculation: Calculation, destinations: float) -> float:
    """Seconds to be told of so many destinations within the budget of bytes."""
    fleet = calculation.fleet
    return destinations * fleet.assumptions.entry_bytes.value / fleet.targets.control_bytes.value


DESTINATION_TABLES = (
    _control(
        "table of destinations",
        Resource.MEMORY,
        "B",
        lambda c: _destination_memory(c, c.fleet.destinations),
        mechanisms.WHOLE_LIST,
        stage=Stage.BEFORE,
        budget=mechanisms.CONTROL_MEMORY,
        remedy=mechanisms.PLACEMENT,
    ),
    _control(
        "table of destinations",
        Resource.MEMORY,
        "B",
        lambda c: _destination_memory(c, c.fleet.own_destinations),
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _control(
        "destinations known",
        Resource.STATE,
        "destinations",
        lambda c: c.fleet.destinations,
        mechanisms.WHOLE_LIST,
        stage=Stage.BEFORE,
    ),
    _control(
        "destinations known, at the fullest relay",
        Resource.STATE,
        "destinations",
        lambda c: c.fleet.own_destinations,
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
    ),
)


CHANGES = (
    _control(
        "changes of configuration told to the decisions, busiest minute",
        Resource.PROCESSOR,
        "cores",
        lambda c: (
            c.fleet.changes_busiest_minute
            / MINUTE
            * c.measured(keys.DECIDED_CHANGE_TIME, c.fleet.destinations)
        ),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.PLACEMENT,
    ),
    _control(
        "changes of configuration taken in, mean of the day",
        Resource.PROCESSOR,
        "cores",
        lambda c: _changes_processor(c, c.fleet.destinations, c.fleet.changes_day / DAY),
        mechanisms.WHOLE_LIST,
        stage=Stage.BEFORE,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.PLACEMENT,
    ),
    _control(
        "changes of configuration taken in, busiest minute",
        Resource.PROCESSOR,
        "cores",
        lambda c: _changes_processor(c, c.fleet.destinations, c.fleet.changes_busiest_minute / MINUTE),
        mechanisms.WHOLE_LIST,
        stage=Stage.BEFORE,
        budget=mechanisms.CONTROL_PROCESSOR,
        remedy=mechanisms.PLACEMENT,
    ),
    _control(
        "changes of configuration taken in, busiest minute",
        Resource.PROCESSOR,
        "cores",
        lambda c: _changes_processor(
            c, c.fleet.own_destinations, c.fleet.changes_busiest_minute / MINUTE * _own_part(c)
        ),
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_PROCESSOR,
        in_total=True,
    ),
    _control(
        "changes of configuration, busiest minute",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.changes_busiest_minute / MINUTE,
        mechanisms.WHOLE_LIST,
        stage=Stage.BEFORE,
    ),
    _control(
        "changes of configuration, busiest minute",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.changes_busiest_minute / MINUTE * _own_part(c),
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
    ),
    _control(
        "changes of configuration, busiest minute",
        Resource.BYTES,
        "B/s",
        lambda c: c.fleet.changes_busiest_minute / MINUTE * c.fleet.assumptions.entry_bytes.value,
        mechanisms.WHOLE_LIST,
        stage=Stage.BEFORE,
        budget=mechanisms.CONTROL_BYTES,
        remedy=mechanisms.CONFIGURATION,
    ),
    _control(
        "changes of configuration, busiest minute",
        Resource.BYTES,
        "B/s",
        lambda c: (
            c.fleet.changes_busiest_minute / MINUTE * _own_part(c) * c.fleet.assumptions.entry_bytes.value
        ),
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_BYTES,
    ),
)


STARTS = (
    _control(
        "told of its destinations at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: _list_time(c, c.fleet.destinations),
        mechanisms.WHOLE_LIST,
        trouble=Trouble.RESTARTS,
        stage=Stage.BEFORE,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.PLACEMENT,
    ),
    _control(
        "told of its destinations at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: _list_time(c, c.fleet.own_destinations),
        mechanisms.CONFIGURATION,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
        budget=mechanisms.START_TIME,
    ),
    _control(
        "first list taken in at a start",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.FIRST_LIST_TIME, c.fleet.destinations),
        mechanisms.WHOLE_LIST,
        trouble=Trouble.RESTARTS,
        stage=Stage.BEFORE,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.PLACEMENT,
    ),
    _control(
        "first list taken in at a start",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.FIRST_LIST_TIME, c.fleet.own_destinations),
        mechanisms.CONFIGURATION,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
        budget=mechanisms.START_TIME,
    ),
)


ASSIGNMENT = (
    _control(
        "partitions told of, mean",
        Resource.STATE,
        "partitions",
        lambda c: c.fleet.assumptions.partitions.value * c.fleet.replicas / c.fleet.relays,
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
    ),
    _control(
        "table of its part of the assignment",
        Resource.MEMORY,
        "B",
        by_relays(keys.HOLDER_MEMORY),
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _control(
        "its part of the assignment told at a start, within the budget of bytes",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.PART_BYTES, c.fleet.relays) / c.fleet.targets.control_bytes.value,
        mechanisms.PLACEMENT,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
        budget=mechanisms.START_TIME,
    ),
    *(
        _control(
            "a change of the assignment, if every relay is told it whole, within the budget of bytes",
            Resource.TIME,
            "s",
            lambda c, key=key: c.measured(key, c.fleet.relays) / c.fleet.targets.control_bytes.value,
            mechanisms.PLACEMENT,
            trouble=trouble,
            stage=Stage.ALTERNATIVE,
            budget=mechanisms.IN_FORCE,
        )
        for trouble, key in (
            (Trouble.MACHINE, keys.placement_trouble("difference-bytes", Trouble.MACHINE)),
            (Trouble.RACK, keys.register_trouble("assignment-change-bytes", Trouble.RACK)),
            (Trouble.ZONE, keys.placement_trouble("difference-bytes", Trouble.ZONE)),
        )
    ),
    _control(
        "renewal of its lease at the register",
        Resource.BYTES,
        "B/s",
        by_relays(keys.LEASED_OWNER_BYTES),
        mechanisms.LEASES,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_BYTES,
        in_total=True,
    ),
)

OWN_ROWS = (*DESTINATION_TABLES, *CHANGES, *STARTS, *ASSIGNMENT)
ALL_ROWS = (*OWN_ROWS, *rows_configuration.ROWS, *rows_membership.ROWS)
CONTROL_PARTS = tuple(row for row in ALL_ROWS if row.in_total)


def _total(resource: Resource, unit: str, budget: Budget) -> Row:
    """All that a relay spends on control when calm, with placement."""
    parts = tuple(row for row in CONTROL_PARTS if row.resource is resource)
    return _control(
        "all control together",
        resource,
        unit,
        lambda c: c.total(parts),
        mechanisms.ALL_CONTROL,
        stage=Stage.AFTER,
        budget=budget,
    )


TOTALS = (
    _total(Resource.PROCESSOR, "cores", mechanisms.CONTROL_PROCESSOR),
    _total(Resource.MEMORY, "B", mechanisms.CONTROL_MEMORY),
    _total(Resource.BYTES, "B/s", mechanisms.CONTROL_BYTES),
)

ROWS = (*ALL_ROWS, *TOTALS)
