"""Rows of what a relay spends on configuration with placement, as measured over links."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Budget,
    Resource,
    Role,
    Row,
    Stage,
    Trouble,
    by_relays,
)

_control = functools.partial(Row, Role.CONTROL)


IN_FORCE_AFTER = tuple(
    _control(
        name,
        Resource.TIME,
        "s",
        by_relays(keys.configuration(quantity, doing)),
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
        budget=mechanisms.IN_FORCE,
    )
    for name, quantity, doing in (
        ("a change in force at its last relay", "in-force-max", keys.CHANGES_AT_MEAN),
        ("fifty changes in a second, in force at the last relay", "in-force-max", keys.FIFTY_IN_A_SECOND),
        ("the same, known to be in force everywhere", "known-max", keys.FIFTY_IN_A_SECOND),
        ("a change that concerns every relay, in force at the last", "in-force-max", keys.COMMON_CHANGE),
        ("fifty of these in a second, in force at the last", "in-force-max", keys.FIFTY_COMMON),
        ("the same, known to be in force everywhere", "known-max", keys.FIFTY_COMMON),
    )
)


def _configuration_row(
    name: str,
    resource: Resource,
    unit: str,
    quantity: str,
    doing: str,
    budget: Budget,
    in_total: bool = False,
) -> Row:
    """What one relay spends on configuration, as measured over links."""
    key = keys.configuration(quantity, doing)
    return _control(
        name,
        resource,
        unit,
        by_relays(key),
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
        budget=budget,
        in_total=in_total,
    )


CONFIGURATION = (
    _configuration_row(
        "configuration over links, changes at their mean",
        Resource.BYTES,
        "B/s",
        "bytes-per-relay-second",
        keys.CHANGES_AT_MEAN,
        mechanisms.CONTROL_BYTES,
        in_total=True,
    ),
    _configuration_row(
        "configuration over links, fifty changes in a second, fullest second of any relay",
        Resource.BYTES,
        "B/s",
        "bytes-worst-second",
        keys.FIFTY_IN_A_SECOND,
        mechanisms.CONTROL_BYTES,
    ),
    _configuration_row(
        "configuration over links, fifty changes that concern every relay, fullest second of any",
        Resource.BYTES,
        "B/s",
        "bytes-worst-second",
        keys.FIFTY_COMMON,
        mechanisms.CONTROL_BYTES,
    ),
    _configuration_row(
        "configuration over links, changes at their mean",
        Resource.PROCESSOR,
        "cores",
        "processor-per-relay",
        keys.CHANGES_AT_MEAN,
        mechanisms.CONTROL_PROCESSOR,
        in_total=True,
    ),
    _configuration_row(
        "configuration over links, fifty changes that concern every relay",
        Resource.PROCESSOR,
        "cores",
        "processor-per-relay",
        keys.FIFTY_COMMON,
        mechanisms.CONTROL_PROCESSOR,
    ),
    _configuration_row(
        "partitions held, with link and folder",
        Resource.MEMORY,
        "B",
        "memory-per-relay",
        keys.START_WITH_FOLDER,
        mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
)


CONFIGURATION_STARTS = (
    _control(
        "configuration over links to a relay without a folder",
        Resource.TIME,
        "s",
        by_relays(keys.configuration("filled-max", keys.START_WITHOUT_FOLDER)),
        mechanisms.CONFIGURATION,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
        budget=mechanisms.START_TIME,
    ),
    _control(
        "configuration over links to a relay without a folder",
        Resource.STATE,
        "B",
        by_relays(keys.configuration("bytes-to-fill", keys.START_WITHOUT_FOLDER)),
        mechanisms.CONFIGURATION,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
    ),
    _control(
        "all relays start at once, until all are complete",
        Resource.TIME,
        "s",
        by_relays(keys.configuration("all-complete", keys.START_WITH_FOLDER)),
        mechanisms.CONFIGURATION,
        trouble=Trouble.WAVE,
        stage=Stage.AFTER,
        budget=mechanisms.START_TIME,
    ),
)

ROWS = (*CONFIGURATION, *IN_FORCE_AFTER, *CONFIGURATION_STARTS)
