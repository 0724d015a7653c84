"""Rows of the relay's data path: events received and sent, events held, and restarts."""

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
    Stage,
    evaluate_at_relay_count,
)

_make_data_row = functools.partial(Row, Role.DATA)


def compute_event_memory(calculation: Calculation) -> float:
    """Return the bytes of one held event in memory: its decision state and journal record, with the body."""
    events_held = calculation.fleet.events_held_per_relay
    decision_memory = calculation.evaluate_slope(keys.HELD_EVENT_MEMORY, events_held)
    return decision_memory + _compute_record_bytes(calculation, keys.JOURNAL_EVENT_MEMORY)


def _compute_record_bytes(calculation: Calculation, key: SlopeKey) -> float:
    """Return the bytes of one event's record, with a body of the assumed size, not the scale test's."""
    measured_bytes = calculation.evaluate_slope(key, calculation.fleet.events_held_per_relay)
    return measured_bytes - keys.JOURNAL_BODY_BYTES + calculation.fleet.assumptions.message_bytes.value


def _compute_event_processor(calculation: Calculation, destinations: float) -> float:
    """Return the cores used by decisions: one turn to send each attempt, one after its response."""
    send_time = calculation.evaluate_slope(keys.SEND_TURN_TIME, destinations)
    response_time = calculation.evaluate_slope(keys.RESPONSE_TURN_TIME, destinations)
    attempts_per_second = (
        calculation.fleet.relay_events_per_second * calculation.fleet.assumptions.attempts.value
    )
    return attempts_per_second * (send_time + response_time)


def _compute_ready_time(calculation: Calculation) -> float:
    """Return the seconds from start to ready: the journal is read and its events are restored."""
    events_held = calculation.fleet.events_held_per_relay
    read_time = calculation.evaluate_slope(keys.JOURNAL_READ_TIME, events_held)
    return read_time + calculation.evaluate_slope(keys.JOURNAL_RESTORE_TIME, events_held)


NORMAL_DATA_ROWS = (
    _make_data_row(
        "events taken in",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.relay_events_per_second,
        mechanisms.INTAKE,
    ),
    _make_data_row(
        "attempts sent",
        Resource.MESSAGES,
        "messages/s",
        lambda c: c.fleet.relay_events_per_second * c.fleet.assumptions.attempts.value,
        mechanisms.ATTEMPTS,
    ),
    _make_data_row(
        "bytes in and out",
        Resource.BYTES,
        "B/s",
        lambda c: (
            c.fleet.relay_events_per_second
            * c.fleet.assumptions.message_bytes.value
            * (1 + c.fleet.assumptions.attempts.value)
        ),
        mechanisms.INTAKE,
        budget=mechanisms.RELAY_NETWORK,
    ),
    _make_data_row(
        "events of the busiest destination at one relay that may call it",
        Resource.MESSAGES,
        "messages/s",
        lambda c: (c.fleet.events_per_second * c.fleet.assumptions.busiest_share.value / c.fleet.replicas),
        mechanisms.FORWARDING,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_data_row(
        "deciding: a turn that sends each event, and one after its answer",
        Resource.PROCESSOR,
        "cores",
        lambda c: _compute_event_processor(c, c.fleet.destinations),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.RELAY_CORES,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_data_row(
        "deciding: a turn that sends each event, and one after its answer",
        Resource.PROCESSOR,
        "cores",
        lambda c: _compute_event_processor(c, c.fleet.max_destinations_per_relay),
        mechanisms.DECISIONS,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.RELAY_CORES,
    ),
    _make_data_row(
        "whether an event's destination is its own",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.relay_events_per_second * c.evaluate_slope(keys.LOOKUP_TIME, c.fleet.relays),
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.RELAY_CORES,
    ),
    _make_data_row(
        "a tick that finds nothing due",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.IDLE_TICK_TIME, c.fleet.destinations),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.MAX_PAUSE,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_data_row(
        "a call lost on a link that was idle",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.LOST_CALL_TIME, c.fleet.destinations),
        mechanisms.DECISIONS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.MAX_PAUSE,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_data_row(
        "events held", Resource.STATE, "events", lambda c: c.fleet.events_held_per_relay, mechanisms.DECISIONS
    ),
    _make_data_row(
        "memory of the events held",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.events_held_per_relay * compute_event_memory(c),
        mechanisms.DECISIONS,
        budget=mechanisms.RELAY_MEMORY,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _make_data_row(
        "journal of the events held",
        Resource.DISK,
        "B",
        lambda c: c.fleet.events_held_per_relay * _compute_record_bytes(c, keys.JOURNAL_EVENT_BYTES),
        mechanisms.JOURNAL,
        budget=mechanisms.RELAY_DISK,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _make_data_row(
        "a tick that finds nothing due, with the events held",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.HELD_IDLE_TICK_TIME, c.fleet.events_held_per_relay),
        mechanisms.DECISIONS,
        budget=mechanisms.MAX_PAUSE,
    ),
    _make_data_row(
        "a turn after each answer, all slots out and every destination waiting for one",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.relay_events_per_second
        * c.evaluate_slope(keys.SATURATED_TURN_TIME, c.fleet.events_held_per_relay),
        mechanisms.DECISIONS,
        budget=mechanisms.RELAY_CORES,
        remedy=mechanisms.INCREMENTAL_DECISIONS,
    ),
    _make_data_row(
        "a turn for each event, as many held as are allowed",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.relay_events_per_second
        * c.evaluate_slope(keys.HELD_LIMIT_TURN_TIME, c.fleet.events_held_per_relay),
        mechanisms.DECISIONS,
        budget=mechanisms.RELAY_CORES,
        remedy=mechanisms.INCREMENTAL_DECISIONS,
    ),
    _make_data_row(
        "most that compacting the journal takes beyond what is held, with bodies of 200 B",
        Resource.MEMORY,
        "B",
        lambda c: c.evaluate_slope(keys.JOURNAL_COMPACTION_PEAK_MEMORY, c.fleet.events_held_per_relay),
        mechanisms.JOURNAL,
        budget=mechanisms.RELAY_MEMORY,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _make_data_row(
        "longest pause while the journal is compacted",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.JOURNAL_COMPACTION_TIME, c.fleet.events_held_per_relay),
        mechanisms.JOURNAL,
        budget=mechanisms.MAX_PAUSE,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _make_data_row(
        "time between one relay's calls to a small partner",
        Resource.TIME,
        "s",
        lambda c: c.fleet.relays / c.fleet.assumptions.small_limit.value,
        mechanisms.DECISIONS,
        stage=Stage.BEFORE_PLACEMENT,
        budget=mechanisms.CALLS_TO_LEARN,
        remedy=mechanisms.PLACEMENT,
    ),
    _make_data_row(
        "time between one relay's calls to a small partner",
        Resource.TIME,
        "s",
        lambda c: c.fleet.replicas / c.fleet.assumptions.small_limit.value,
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.CALLS_TO_LEARN,
    ),
    _make_data_row(
        "destinations that are down, each found out by every relay",
        Resource.STATE,
        "findings",
        lambda c: c.fleet.destinations * c.fleet.targets.destinations_down.value * c.fleet.relays,
        mechanisms.SHARED_OBSERVATIONS,
        stage=Stage.BEFORE_PLACEMENT,
    ),
    _make_data_row(
        "destinations that are down, each found out by its replicas",
        Resource.STATE,
        "findings",
        lambda c: c.fleet.destinations * c.fleet.targets.destinations_down.value * c.fleet.replicas,
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
    ),
)


SENDER_LEARNING_ROWS = tuple(
    row
    for has_placement, stage, remedy in (
        (False, Stage.BEFORE_PLACEMENT, mechanisms.PLACEMENT),
        (True, Stage.WITH_PLACEMENT, mechanisms.SHARED_OBSERVATIONS),
    )
    for row in (
        _make_data_row(
            "calls that a small partner refuses, its limit being half of what is listed",
            Resource.MESSAGES,
            "of the calls",
            evaluate_at_relay_count(keys.make_sender_learning_key("calls-refused", has_placement, "limit")),
            mechanisms.DECISIONS,
            stage=stage,
        ),
        _make_data_row(
            "senders that did not notice a small partner's return while the test went on",
            Resource.STATE,
            "of the senders",
            evaluate_at_relay_count(keys.make_sender_learning_key("never-noticed", has_placement, "outage")),
            mechanisms.DECISIONS,
            stage=stage,
        ),
        _make_data_row(
            "return of a small partner noticed after, mean of the senders that noticed",
            Resource.TIME,
            "s",
            evaluate_at_relay_count(
                keys.make_sender_learning_key("return-noticed-after", has_placement, "outage")
            ),
            mechanisms.DECISIONS,
            stage=stage,
            budget=mechanisms.CALLS_TO_LEARN,
            remedy=remedy,
        ),
    )
)


FAULT_DATA_ROWS = (
    _make_data_row(
        "first list to a relay that holds its events already",
        Resource.TIME,
        "s",
        lambda c: c.evaluate_slope(keys.HELD_INITIAL_LIST_TIME, c.fleet.events_held_per_relay),
        mechanisms.DECISIONS,
        fault=Fault.RESTARTS,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.INCREMENTAL_DECISIONS,
    ),
    _make_data_row(
        "events out of reach until the relay is back",
        Resource.STATE,
        "events",
        lambda c: c.fleet.events_held_per_relay,
        mechanisms.TAKEOVER,
        fault=Fault.MACHINE_LOST,
    ),
    _make_data_row(
        "start to ready: journal read, events handed in",
        Resource.TIME,
        "s",
        _compute_ready_time,
        mechanisms.JOURNAL,
        fault=Fault.RESTARTS,
        budget=mechanisms.START_TIME,
        remedy=mechanisms.JOURNAL_SEGMENTS,
    ),
    _make_data_row(
        "relays that are starting at once",
        Resource.STATE,
        "relays",
        lambda c: c.fleet.restarts_per_day / c.fleet.assumptions.restart_wave.value * _compute_ready_time(c),
        mechanisms.ROLLOUT,
        fault=Fault.RESTART_WAVE,
    ),
    _make_data_row(
        "more events at each relay that is left",
        Resource.MESSAGES,
        "of a relay",
        lambda c: c.fleet.relays_per_rack / max(1.0, c.fleet.relays - c.fleet.relays_per_rack),
        mechanisms.INTAKE,
        fault=Fault.RACK_LOST,
    ),
    _make_data_row(
        "more events at each relay that is left",
        Resource.MESSAGES,
        "of a relay",
        lambda c: 1 / (c.fleet.targets.zones.value - 1),
        mechanisms.INTAKE,
        fault=Fault.ZONE_LOST,
        budget=mechanisms.SPARE_SHARE,
    ),
    _make_data_row(
        "events held for the cut at each relay cut off, if all replicas are on the other side",
        Resource.STATE,
        "events",
        lambda c: c.fleet.relay_events_per_second * c.fleet.assumptions.region_cut.value,
        mechanisms.FORWARDING,
        fault=Fault.REGION_CUT,
        stage=Stage.WITH_PLACEMENT,
    ),
)

ROWS = (*NORMAL_DATA_ROWS, *SENDER_LEARNING_ROWS, *FAULT_DATA_ROWS)
