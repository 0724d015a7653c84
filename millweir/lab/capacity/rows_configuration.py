"""Rows of what a relay spends on configuration with placement, as measured over connections."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Budget,
    Fault,
    Resource,
    Role,
    Row,
    Stage,
    evaluate_at_relay_count,
)

_make_control_row = functools.partial(Row, Role.CONTROL)


IN_FORCE_ROWS = tuple(
    _make_control_row(
        name,
        Resource.TIME,
        "s",
        evaluate_at_relay_count(keys.make_configuration_key(quantity, workload)),
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.IN_FORCE,
    )
    for name, quantity, workload in (
        ("a change in force at its last relay", "in-force-max", keys.MEAN_CHANGE_RATE),
        (
            "fifty changes in a second, in force at the last relay",
            "in-force-max",
            keys.FIFTY_CHANGES_IN_ONE_SECOND,
        ),
        ("the same, known to be in force everywhere", "known-max", keys.FIFTY_CHANGES_IN_ONE_SECOND),
        (
            "a change that concerns every relay, in force at the last",
            "in-force-max",
            keys.CHANGE_FOR_ALL_RELAYS,
        ),
        (
            "fifty of these in a second, in force at the last",
            "in-force-max",
            keys.FIFTY_CHANGES_FOR_ALL_RELAYS,
        ),
        ("the same, known to be in force everywhere", "known-max", keys.FIFTY_CHANGES_FOR_ALL_RELAYS),
    )
)


def _make_configuration_row(
    name: str,
    resource: Resource,
    unit: str,
    quantity: str,
    workload: str,
    budget: Budget,
    in_total: bool = False,
) -> Row:
    """Return a row of what one relay spends on configuration, as measured over connections."""
    key = keys.make_configuration_key(quantity, workload)
    return _make_control_row(
        name,
        resource,
        unit,
        evaluate_at_relay_count(key),
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
        budget=budget,
        in_total=in_total,
    )


RUNNING_CONFIGURATION_ROWS = (
    _make_configuration_row(
        "configuration over links, changes at their mean",
        Resource.BYTES,
        "B/s",
        "bytes-per-relay-second",
        keys.MEAN_CHANGE_RATE,
        mechanisms.CONTROL_BYTES,
        in_total=True,
    ),
    _make_configuration_row(
        "configuration over links, fifty changes in a second, fullest second of any relay",
        Resource.BYTES,
        "B/s",
        "bytes-worst-second",
        keys.FIFTY_CHANGES_IN_ONE_SECOND,
        mechanisms.CONTROL_BYTES,
    ),
    _make_configuration_row(
        "configuration over links, fifty changes that concern every relay, fullest second of any",
        Resource.BYTES,
        "B/s",
        "bytes-worst-second",
        keys.FIFTY_CHANGES_FOR_ALL_RELAYS,
        mechanisms.CONTROL_BYTES,
    ),
    _make_configuration_row(
        "configuration over links, changes at their mean",
        Resource.PROCESSOR,
        "cores",
        "processor-per-relay",
        keys.MEAN_CHANGE_RATE,
        mechanisms.CONTROL_PROCESSOR,
        in_total=True,
    ),
    _make_configuration_row(
        "configuration over links, fifty changes that concern every relay",
        Resource.PROCESSOR,
        "cores",
        "processor-per-relay",
        keys.FIFTY_CHANGES_FOR_ALL_RELAYS,
        mechanisms.CONTROL_PROCESSOR,
    ),
    _make_configuration_row(
        "partitions held, with link and folder",
        Resource.MEMORY,
        "B",
        "memory-per-relay",
        keys.START_WITH_STORED_CONFIGURATION,
        mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
)


CONFIGURATION_START_ROWS = (
    _make_control_row(
        "configuration over links to a relay without a folder",
        Resource.TIME,
        "s",
        evaluate_at_relay_count(
            keys.make_configuration_key("filled-max", keys.START_WITHOUT_STORED_CONFIGURATION)
        ),
        mechanisms.CONFIGURATION,
        fault=Fault.RESTARTS,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.START_TIME,
    ),
    _make_control_row(
        "configuration over links to a relay without a folder",
        Resource.STATE,
        "B",
        evaluate_at_relay_count(
            keys.make_configuration_key("bytes-to-fill", keys.START_WITHOUT_STORED_CONFIGURATION)
        ),
        mechanisms.CONFIGURATION,
        fault=Fault.RESTARTS,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_control_row(
        "all relays start at once, until all are complete",
        Resource.TIME,
        "s",
        evaluate_at_relay_count(
            keys.make_configuration_key("all-complete", keys.START_WITH_STORED_CONFIGURATION)
        ),
        mechanisms.CONFIGURATION,
        fault=Fault.RESTART_WAVE,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.START_TIME,
    ),
)

ROWS = (*RUNNING_CONFIGURATION_ROWS, *IN_FORCE_ROWS, *CONFIGURATION_START_ROWS)
