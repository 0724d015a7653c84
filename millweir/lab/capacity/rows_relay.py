"""Rows of the relay: its data path, what it spends on control, and what it takes on after a loss."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    DAY,
    MINUTE,
    Budget,
    Calculation,
    Resource,
    Role,
    Row,
    SlopeKey,
    Stage,
    Trouble,
)

MICROSECOND = 1e-6
COPY_PROCESSOR = SlopeKey("copies", "processor-per-copy")  # no scale test yet: comes with issue 32

_data = functools.partial(Row, Role.DATA)
_control = functools.partial(Row, Role.CONTROL)
_taker = functools.partial(Row, Role.TAKER)


def _event_memory(calculation: Calculation) -> float:
    """Bytes of one held event in memory: what the decisions and the journal hold of it, with its body."""
    held = calculation.fleet.held_relay
    decided = calculation.measured(keys.HELD_MEMORY, held)
    return decided + _with_body(calculation, keys.JOURNAL_MEMORY)


def _with_body(calculation: Calculation, key: SlopeKey) -> float:
    """Bytes of one event's record, with a body of the assumed size in place of the scale test's."""
    measured = calculation.measured(key, calculation.fleet.held_relay)
    return measured - keys.JOURNAL_BODY + calculation.fleet.assumptions.message_bytes.value


def _destination_memory(calculation: Calculation, destinations: float) -> float:
    hosts = calculation.fleet.assumptions.hosts_destination.value
    return hosts * calculation.measured(keys.DESTINATIONS_MEMORY, destinations)


def _event_processor(calculation: Calculation, destinations: float) -> float:
    """Cores that deciding takes: a turn that sends each event, and one after its answer."""
    sent = calculation.measured(keys.TURN_TIME, destinations)
    answered = calculation.measured(keys.ANSWER_TIME, destinations)
    attempts = calculation.fleet.events_relay * calculation.fleet.assumptions.attempts.value
    return attempts * (sent + answered)


def _changes_processor(calculation: Calculation, destinations: float, changes_second: float) -> float:
    return changes_second * calculation.measured(keys.RELAY_CHANGE_TIME, destinations)


def _own_part(calculation: Calculation) -> float:
    """Share of all changes that concern one relay, with placement."""
    return calculation.fleet.own_destinations / calculation.fleet.destinations


def _ready_time(calculation: Calculation) -> float:
    held = calculation.fleet.held_relay
    read = calculation.measured(keys.JOURNAL_START_TIME, held)
    return read + calculation.measured(keys.JOURNAL_HAND_IN_TIME, held)


def _list_time(calculation: Calculation, destinations: float) -> float:
    """Seconds to be told of so many destinations within the budget of bytes."""
    fleet = calculation.fleet
    return destinations * fleet.assumptions.entry_bytes.value / fleet.targets.control_bytes.value


def _membership_rows(trouble: Trouble, name: str) -> tuple[Row, ...]:
    """Bytes, processor time and agreement of one trouble, by its name in the measurements."""
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
            lambda c: c.measured(bytes_mean, c.fleet.relays),
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
            lambda c: c.measured(bytes_p99, c.fleet.relays),
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
            lambda c: c.measured(agreed, c.fleet.relays),
            mechanisms.MEMBERSHIP,
            trouble=trouble,
        ),
        _control(
            f"relays told gone that are not, by all together{when}",
            Resource.STATE,
            "tellings",
            lambda c: c.measured(false_deaths, c.fleet.relays),
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


DATA_CALM = (
    _data(
        "events taken in", Resource.MESSAGES, "messages/s", lambda c: c.fleet.events_relay, mechanisms.INTAKE
    ),
    _data(
        "attempts sent",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.events_relay * c.fleet.assumptions.attempts.value,
        mechanisms.ATTEMPTS,
    ),
    _data(
        "bytes in and out",
        Resource.BYTES,
        "B/s",
        lambda c: (
            c.fleet.events_relay
            * c.fleet.assumptions.message_bytes.value
            * (1 + c.fleet.assumptions.attempts.value)
        ),
        mechanisms.INTAKE,
        budget=mechanisms.RELAY_NETWORK,
    ),
    _data(
        "events of the busiest destination at one relay that may call it",
        Resource.MESSAGES,
        "messages/s",
        lambda c: (c.fleet.events_second * c.fleet.assumptions.busiest_share.value / c.fleet.replicas),
        mechanisms.FORWARDING,
        stage=Stage.AFTER,
    ),
    _data(
        "deciding: a turn that sends each event, and one after its answer",
        Resource.PROCESSOR,
        "cores",
        lambda c: _event_processor(c, c.fleet.destinations),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE,
        budget=mechanisms.RELAY_CORES,
        remedy=mechanisms.PLACEMENT,
    ),
    _data(
        "deciding: a turn that sends each event, and one after its answer",
        Resource.PROCESSOR,
        "cores",
        lambda c: _event_processor(c, c.fleet.own_destinations),
        mechanisms.DECISIONS,
        stage=Stage.AFTER,
        budget=mechanisms.RELAY_CORES,
    ),
    _data(
        "a tick that finds nothing due",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.IDLE_TICK_TIME, c.fleet.destinations),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE,
        budget=mechanisms.PAUSE_LONGEST,
        remedy=mechanisms.PLACEMENT,
    ),
    _data(
        "a call lost on a link that was idle",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.LOST_CALL_TIME, c.fleet.destinations),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE,
        budget=mechanisms.PAUSE_LONGEST,
        remedy=mechanisms.PLACEMENT,
    ),
    _data("events held", Resource.STATE, "events", lambda c: c.fleet.held_relay, mechanisms.DECISIONS),
    _data(
        "memory of the events held",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.held_relay * _event_memory(c),
        mechanisms.DECISIONS,
        budget=mechanisms.RELAY_MEMORY,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _data(
        "journal of the events held",
        Resource.DISK,
        "B",
        lambda c: c.fleet.held_relay * _with_body(c, keys.JOURNAL_BYTES),
        mechanisms.JOURNAL,
        budget=mechanisms.RELAY_DISK,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _data(
        "a tick that finds nothing due, with the events held",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.HELD_IDLE_TICK_TIME, c.fleet.held_relay),
        mechanisms.DECISIONS,
        budget=mechanisms.PAUSE_LONGEST,
    ),
    _data(
        "a turn after each answer, all slots out and every destination waiting for one",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.events_relay * c.measured(keys.SATURATED_TURN_TIME, c.fleet.held_relay),
        mechanisms.DECISIONS,
        budget=mechanisms.RELAY_CORES,
        remedy=mechanisms.DECISIONS_FLAT,
    ),
    _data(
        "a turn for each event, as many held as are allowed",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.events_relay * c.measured(keys.FULL_TURN_TIME, c.fleet.held_relay),
        mechanisms.DECISIONS,
        budget=mechanisms.RELAY_CORES,
        remedy=mechanisms.DECISIONS_FLAT,
    ),
    _data(
        "most that compacting the journal takes beyond what is held, with bodies of 200 B",
        Resource.MEMORY,
        "B",
        lambda c: c.measured(keys.JOURNAL_PEAK, c.fleet.held_relay),
        mechanisms.JOURNAL,
        budget=mechanisms.RELAY_MEMORY,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _data(
        "longest pause while the journal is compacted",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.JOURNAL_PAUSE, c.fleet.held_relay),
        mechanisms.JOURNAL,
        budget=mechanisms.PAUSE_LONGEST,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _data(
        "time between one relay's calls to a small partner",
        Resource.TIME,
        "s",
        lambda c: c.fleet.relays / c.fleet.assumptions.small_limit.value,
        mechanisms.DECISIONS,
        stage=Stage.BEFORE,
        budget=mechanisms.CALLS_TO_LEARN,
        remedy=mechanisms.PLACEMENT,
    ),
    _data(
        "time between one relay's calls to a small partner",
        Resource.TIME,
        "s",
        lambda c: c.fleet.replicas / c.fleet.assumptions.small_limit.value,
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
        budget=mechanisms.CALLS_TO_LEARN,
    ),
    _data(
        "destinations that are down, each found out by every relay",
        Resource.STATE,
        "findings",
        lambda c: c.fleet.destinations * c.fleet.targets.destinations_down.value * c.fleet.relays,
        mechanisms.SHARED_FACTS,
        stage=Stage.BEFORE,
    ),
    _data(
        "destinations that are down, each found out by its replicas",
        Resource.STATE,
        "findings",
        lambda c: c.fleet.destinations * c.fleet.targets.destinations_down.value * c.fleet.replicas,
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
    ),
)

SENDERS_LEARN = tuple(
    row
    for is_placed, stage, remedy in (
        (False, Stage.BEFORE, mechanisms.PLACEMENT),
        (True, Stage.AFTER, mechanisms.SHARED_FACTS),
    )
    for row in (
        _data(
            "calls that a small partner refuses, its limit being half of what is listed",
            Resource.MESSAGES,
            "of the calls",
            lambda c, is_placed=is_placed: c.measured(
                keys.senders_learn("calls-refused", is_placed, "limit"), c.fleet.relays
            ),
            mechanisms.DECISIONS,
            stage=stage,
        ),
        _data(
            "senders that did not notice a small partner's return while the test went on",
            Resource.STATE,
            "of the senders",
            lambda c, is_placed=is_placed: c.measured(
                keys.senders_learn("never-noticed", is_placed, "outage"), c.fleet.relays
            ),
            mechanisms.DECISIONS,
            stage=stage,
        ),
        _data(
            "return of a small partner noticed after, mean of the senders that noticed",
            Resource.TIME,
            "s",
            lambda c, is_placed=is_placed: c.measured(
                keys.senders_learn("return-noticed-after", is_placed, "outage"), c.fleet.relays
            ),
            mechanisms.DECISIONS,
            stage=stage,
            budget=mechanisms.CALLS_TO_LEARN,
            remedy=remedy,
        ),
    )
)

DATA_IN_TROUBLE = (
    _data(
        "first list to a relay that holds its events already",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.HELD_FIRST_LIST_TIME, c.fleet.held_relay),
        mechanisms.DECISIONS,
        trouble=Trouble.RESTARTS,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.DECISIONS_FLAT,
    ),
    _data(
        "events out of reach until the relay is back",
        Resource.STATE,
        "events",
        lambda c: c.fleet.held_relay,
        mechanisms.TAKE_OVER,
        trouble=Trouble.MACHINE,
    ),
    _data(
        "start to ready: journal read, events handed in",
        Resource.TIME,
        "s",
        _ready_time,
        mechanisms.JOURNAL,
        trouble=Trouble.RESTARTS,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _data(
        "relays that are starting at once",
        Resource.STATE,
        "relays",
        lambda c: c.fleet.restarts_day / c.fleet.assumptions.restart_wave.value * _ready_time(c),
        mechanisms.ROLLOUT,
        trouble=Trouble.WAVE,
    ),
    _data(
        "more events at each relay that is left",
        Resource.MESSAGES,
        "of a relay",
        lambda c: c.fleet.rack / max(1.0, c.fleet.relays - c.fleet.rack),
        mechanisms.INTAKE,
        trouble=Trouble.RACK,
    ),
    _data(
        "more events at each relay that is left",
        Resource.MESSAGES,
        "of a relay",
        lambda c: 1 / (c.fleet.targets.zones.value - 1),
        mechanisms.INTAKE,
        trouble=Trouble.ZONE,
        budget=mechanisms.SPARE_SHARE,
    ),
    _data(
        "events held for the cut at each relay cut off, if all replicas are on the other side",
        Resource.STATE,
        "events",
        lambda c: c.fleet.events_relay * c.fleet.assumptions.region_cut.value,
        mechanisms.FORWARDING,
        trouble=Trouble.REGION,
        stage=Stage.AFTER,
    ),
)

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

IN_FORCE_AFTER = tuple(
    _control(
        name,
        Resource.TIME,
        "s",
        lambda c, key=keys.configuration(quantity, doing): c.measured(key, c.fleet.relays),
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
        lambda c: c.measured(key, c.fleet.relays),
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

CONFIGURATION_STARTS = (
    _control(
        "configuration over links to a relay without a folder",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.configuration("filled-max", keys.START_WITHOUT_FOLDER), c.fleet.relays),
        mechanisms.CONFIGURATION,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
        budget=mechanisms.START_TIME,
    ),
    _control(
        "configuration over links to a relay without a folder",
        Resource.STATE,
        "B",
        lambda c: c.measured(keys.configuration("bytes-to-fill", keys.START_WITHOUT_FOLDER), c.fleet.relays),
        mechanisms.CONFIGURATION,
        trouble=Trouble.RESTARTS,
        stage=Stage.AFTER,
    ),
    _control(
        "all relays start at once, until all are complete",
        Resource.TIME,
        "s",
        lambda c: c.measured(keys.configuration("all-complete", keys.START_WITH_FOLDER), c.fleet.relays),
        mechanisms.CONFIGURATION,
        trouble=Trouble.WAVE,
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
        lambda c: c.measured(keys.HOLDER_MEMORY, c.fleet.relays),
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_MEMORY,
        in_total=True,
    ),
    _control(
        "whether an event's destination is its own",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.events_relay * c.measured(keys.LOOKUP_TIME, c.fleet.relays),
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_PROCESSOR,
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
            "a change of the assignment, if it is told whole within the budget of bytes",
            Resource.TIME,
            "s",
            lambda c, key=key: c.measured(key, c.fleet.relays) / c.fleet.targets.control_bytes.value,
            mechanisms.PLACEMENT,
            trouble=trouble,
            stage=Stage.AFTER,
            budget=mechanisms.IN_FORCE,
            remedy=mechanisms.CONFIGURATION,
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
        lambda c: c.measured(keys.LEASED_OWNER_BYTES, c.fleet.relays),
        mechanisms.LEASES,
        stage=Stage.AFTER,
        budget=mechanisms.CONTROL_BYTES,
        in_total=True,
    ),
)

MEMBERSHIP = (
    _control(
        "table of members",
        Resource.MEMORY,
        "B",
        lambda c: c.measured(keys.TABLE_MEMORY, c.fleet.relays),
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
        remedy=mechanisms.MEMBERSHIP_BUDGET,
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

CONTROL_ROWS = (
    *DESTINATION_TABLES,
    *CHANGES,
    *CONFIGURATION,
    *IN_FORCE_AFTER,
    *ASSIGNMENT,
    *MEMBERSHIP,
)
CONTROL_PARTS = tuple(row for row in CONTROL_ROWS if row.in_total)


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

TAKER = (
    _taker(
        "memory of the events held, with copies of others'",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.held_relay * (1 + c.fleet.assumptions.copies.value) * _event_memory(c),
        mechanisms.TAKE_OVER,
        budget=mechanisms.RELAY_MEMORY,
        remedy=mechanisms.JOURNAL_SEGMENTS,
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

ROWS = (
    *DATA_CALM,
    *SENDERS_LEARN,
    *DATA_IN_TROUBLE,
    *CONTROL_ROWS,
    *WAVE,
    *STARTS,
    *CONFIGURATION_STARTS,
    *TOTALS,
    *TAKER,
    *TAKER_IN_TROUBLE,
)
