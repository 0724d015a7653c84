"""Rows of the relay's data path: events in and out, what is held, starts."""

from __future__ import annotations

import functools

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Calculation,
    Resource,
    Role,
    Row,
    SlopeKey,
    Stage,
    Trouble,
    by_relays,
)

_data = functools.partial(Row, Role.DATA)


def event_memory(calculation: Calculation) -> float:
    """Bytes of one held event in memory: what the decisions and the journal hold of it, with its body."""
    held = calculation.fleet.held_relay
    decided = calculation.measured(keys.HELD_MEMORY, held)
    return decided + _with_body(calculation, keys.JOURNAL_MEMORY)


def _with_body(calculation: Calculation, key: SlopeKey) -> float:
    """Bytes of one event's record, with a body of the assumed size in place of the scale test's."""
    measured = calculation.measured(key, calculation.fleet.held_relay)
    return measured - keys.JOURNAL_BODY + calculation.fleet.assumptions.message_bytes.value


def _event_processor(calculation: Calculation, destinations: float) -> float:
    """Cores that deciding takes: a turn that sends each event, and one after its answer."""
    sent = calculation.measured(keys.TURN_TIME, destinations)
    answered = calculation.measured(keys.ANSWER_TIME, destinations)
    attempts = calculation.fleet.events_relay * calculation.fleet.assumptions.attempts.value
    return attempts * (sent + answered)


def _ready_time(calculation: Calculation) -> float:
    held = calculation.fleet.held_relay
    read = calculation.measured(keys.JOURNAL_START_TIME, held)
    return read + calculation.measured(keys.JOURNAL_HAND_IN_TIME, held)


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
        "whether an event's destination is its own",
        Resource.PROCESSOR,
        "cores",
        lambda c: c.fleet.events_relay * c.measured(keys.LOOKUP_TIME, c.fleet.relays),
        mechanisms.PLACEMENT,
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
        lambda c: c.fleet.held_relay * event_memory(c),
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
            by_relays(keys.senders_learn("calls-refused", is_placed, "limit")),
            mechanisms.DECISIONS,
            stage=stage,
        ),
        _data(
            "senders that did not notice a small partner's return while the test went on",
            Resource.STATE,
            "of the senders",
            by_relays(keys.senders_learn("never-noticed", is_placed, "outage")),
            mechanisms.DECISIONS,
            stage=stage,
        ),
        _data(
            "return of a small partner noticed after, mean of the senders that noticed",
            Resource.TIME,
            "s",
            by_relays(keys.senders_learn("return-noticed-after", is_placed, "outage")),
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

ROWS = (*DATA_CALM, *SENDERS_LEARN, *DATA_IN_TROUBLE)
