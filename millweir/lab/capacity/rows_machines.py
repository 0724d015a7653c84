"""Rows of the control machines: voters of the replicated store, distributors, and the number needed."""

from __future__ import annotations

import functools
import math

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Calculation,
    Fault,
    FigureFunction,
    Mechanism,
    Resource,
    Role,
    Row,
    Stage,
    evaluate_at_relay_count,
)

_make_voter_row = functools.partial(Row, Role.VOTER)
_make_distributor_row = functools.partial(Row, Role.DISTRIBUTOR)
_make_machines_row = functools.partial(Row, Role.MACHINES)

MIN_DISTRIBUTORS = 2.0
RENEWAL_DESIGNS = {
    "logged": ("each renewal an entry", Stage.REJECTED_ALTERNATIVE, mechanisms.CONSENSUS),
    "leased": ("leases at the leader", Stage.ANY, mechanisms.LEASES),
}


def _make_renewal_rows(design: str, label: str, stage: Stage, mechanism: Mechanism) -> tuple[Row, ...]:
    """Return what the voters spend without faults, for one of the two lease renewal designs."""

    def evaluate_quantity(quantity: str) -> FigureFunction:
        return evaluate_at_relay_count(keys.make_renewal_key(design, quantity))

    row = functools.partial(_make_voter_row, mechanism=mechanism, stage=stage)
    return (
        row(
            name=f"leader, {label}",
            resource=Resource.MESSAGES,
            unit="messages/s",
            compute_figure=evaluate_quantity("leader-messages-second"),
        ),
        row(
            name=f"leader, {label}",
            resource=Resource.BYTES,
            unit="B/s",
            compute_figure=evaluate_quantity("leader-bytes-second"),
            budget=mechanisms.MACHINE_NETWORK,
        ),
        row(
            name=f"leader, {label}",
            resource=Resource.PROCESSOR,
            unit="cores",
            compute_figure=evaluate_quantity("leader-processor"),
            budget=mechanisms.MACHINE_CORES,
        ),
        row(
            name=f"follower, {label}",
            resource=Resource.PROCESSOR,
            unit="cores",
            compute_figure=evaluate_quantity("follower-processor"),
            budget=mechanisms.MACHINE_CORES,
        ),
        row(
            name=f"follower, {label}",
            resource=Resource.BYTES,
            unit="B/s",
            compute_figure=evaluate_quantity("follower-bytes-second"),
            budget=mechanisms.MACHINE_NETWORK,
        ),
        row(
            name=f"log and snapshots written, {label}",
            resource=Resource.DISK,
            unit="B/s",
            compute_figure=evaluate_quantity("written-bytes-second"),
            budget=mechanisms.MACHINE_DISK,
        ),
    )


NORMAL_VOTER_ROWS = (
    *(
        row
        for design, design_arguments in RENEWAL_DESIGNS.items()
        for row in _make_renewal_rows(design, *design_arguments)
    ),
    _make_voter_row(
        "table of ownership",
        Resource.MEMORY,
        "B",
        evaluate_at_relay_count(keys.OWNERSHIP_MEMORY),
        mechanisms.TAKEOVER,
        budget=mechanisms.MACHINE_MEMORY,
    ),
    _make_voter_row(
        "snapshot",
        Resource.STATE,
        "B",
        evaluate_at_relay_count(keys.OWNERSHIP_SNAPSHOT_BYTES),
        mechanisms.CONSENSUS,
    ),
    _make_voter_row(
        "a whole assignment, as an entry",
        Resource.STATE,
        "B",
        evaluate_at_relay_count(keys.ASSIGNMENT_BYTES),
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_voter_row(
        "table of the assignment, where it is made",
        Resource.MEMORY,
        "B",
        evaluate_at_relay_count(keys.PLACEMENT_CORE_MEMORY),
        mechanisms.PLACEMENT,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.MACHINE_MEMORY,
    ),
)


def _make_placement_rows(fault: Fault) -> tuple[Row, ...]:
    """Return what the placement core does after relays are lost."""

    def evaluate_quantity(quantity: str) -> FigureFunction:
        return evaluate_at_relay_count(keys.make_placement_key(quantity, fault))

    row = functools.partial(
        _make_voter_row, mechanism=mechanisms.PLACEMENT, fault=fault, stage=Stage.WITH_PLACEMENT
    )
    return (
        row(
            name="replicas that move",
            resource=Resource.STATE,
            unit="replicas",
            compute_figure=evaluate_quantity("replicas-moved"),
        ),
        row(
            name="processor time to move replicas",
            resource=Resource.TIME,
            unit="s",
            compute_figure=evaluate_quantity("member-change-seconds"),
        ),
        row(
            name="until all replicas have moved, with hold and pace",
            resource=Resource.TIME,
            unit="s",
            compute_figure=evaluate_quantity("change-ends-after"),
        ),
        row(
            name="largest entry of a moving assignment",
            resource=Resource.STATE,
            unit="B",
            compute_figure=evaluate_quantity("difference-bytes-most"),
        ),
    )


def _make_owner_change_rows(fault: Fault) -> tuple[Row, ...]:
    """Return what the replicated store writes and sends when owners are lost at once."""

    def evaluate_quantity(quantity: str) -> FigureFunction:
        return evaluate_at_relay_count(keys.make_register_key(quantity, fault))

    row = functools.partial(_make_voter_row, mechanism=mechanisms.TAKEOVER, fault=fault)
    name = "owners that change" + (", if it stays away" if fault is Fault.REGION_CUT else "")
    return (
        row(name=name, resource=Resource.STATE, unit="owners", compute_figure=evaluate_quantity("changes")),
        row(
            name="bytes out of the leader",
            resource=Resource.STATE,
            unit="B",
            compute_figure=evaluate_quantity("change-bytes"),
        ),
        row(
            name="processor time of the leader",
            resource=Resource.TIME,
            unit="s",
            compute_figure=evaluate_quantity("change-processor"),
        ),
        row(
            name="until the changes are committed",
            resource=Resource.TIME,
            unit="s",
            compute_figure=evaluate_quantity("change-commit-time"),
            budget=mechanisms.IN_FORCE,
        ),
    )


FAULT_VOTER_ROWS = (
    *(row for fault in keys.REGISTER_FAULTS for row in _make_owner_change_rows(fault)),
    *(row for fault in keys.PLACEMENT_FAULTS for row in _make_placement_rows(fault)),
    _make_voter_row(
        "replicas that move, two minutes and back",
        Resource.STATE,
        "replicas",
        evaluate_at_relay_count(keys.REPLICAS_MOVED_BY_REGION_CUT),
        mechanisms.PLACEMENT,
        fault=Fault.REGION_CUT,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_voter_row(
        "leases given again by a new leader, if the lost machine led",
        Resource.TIME,
        "s",
        lambda c: c.fleet.assumptions.lease.value,
        mechanisms.LEASES,
        fault=Fault.MACHINE_LOST,
    ),
    _make_voter_row(
        "voters left, if the region with the most is cut off",
        Resource.STATE,
        "voters",
        lambda c: (
            c.fleet.assumptions.voters.value
            - math.ceil(c.fleet.assumptions.voters.value / c.fleet.targets.regions.value)
        ),
        mechanisms.CONSENSUS,
        fault=Fault.REGION_CUT,
    ),
)


def _compute_start_bytes(calculation: Calculation, stage: Stage) -> float:
    """Return the bytes of all entries that one relay receives at its start."""
    fleet = calculation.fleet
    destinations = fleet.destinations if stage is Stage.BEFORE_PLACEMENT else fleet.max_destinations_per_relay
    return destinations * fleet.assumptions.entry_bytes.value


def _count_notified_relays(calculation: Calculation, stage: Stage) -> float:
    """Return the number of relays that one change is sent to."""
    fleet = calculation.fleet
    return fleet.relays if stage is Stage.BEFORE_PLACEMENT else fleet.replicas


def _compute_refill_bandwidth(calculation: Calculation, stage: Stage, relays: float) -> float:
    """Return the bytes per second sent by one distributor while that many relays return."""
    fleet = calculation.fleet
    refill_bytes = relays * _compute_start_bytes(calculation, stage)
    return refill_bytes / fleet.assumptions.refill_time.value / fleet.distributors


def _compute_wave_bandwidth(calculation: Calculation, stage: Stage) -> float:
    """Return the bytes per second sent by one distributor during a wave of restarts."""
    fleet = calculation.fleet
    starts_per_second = fleet.restarts_per_day / fleet.assumptions.restart_wave.value
    return starts_per_second * _compute_start_bytes(calculation, stage) / fleet.distributors


def _compute_busiest_message_rate(calculation: Calculation, stage: Stage) -> float:
    """Return the messages per second sent by one distributor in the second with the most changes."""
    fleet = calculation.fleet
    return fleet.changes_in_busiest_second * _count_notified_relays(calculation, stage) / fleet.distributors


def _make_distributor_rows(stage: Stage) -> tuple[Row, ...]:
    """Return what one distributor sends for changes and for relays that start."""
    mechanism = mechanisms.FULL_LIST if stage is Stage.BEFORE_PLACEMENT else mechanisms.CONFIGURATION
    remedy = mechanisms.PLACEMENT if stage is Stage.BEFORE_PLACEMENT else None
    row = functools.partial(_make_distributor_row, mechanism=mechanism, stage=stage)
    network = functools.partial(
        row, resource=Resource.BYTES, unit="B/s", budget=mechanisms.MACHINE_NETWORK, remedy=remedy
    )
    return (
        row(
            name="changes told, busiest second",
            resource=Resource.MESSAGES,
            unit="messages/s",
            compute_figure=lambda c: _compute_busiest_message_rate(c, stage),
        ),
        network(
            name="changes told, busiest second",
            compute_figure=lambda c: _compute_busiest_message_rate(c, stage)
            * c.fleet.assumptions.entry_bytes.value,
        ),
        row(
            name="acknowledgements, busiest second",
            resource=Resource.BYTES,
            unit="B/s",
            compute_figure=lambda c: _compute_busiest_message_rate(c, stage)
            * c.fleet.assumptions.digest_bytes.value,
        ),
        network(
            name="relays that start told whole",
            compute_figure=lambda c: _compute_wave_bandwidth(c, stage),
            fault=Fault.RESTART_WAVE,
        ),
        network(
            name="relays of a rack told whole",
            compute_figure=lambda c: _compute_refill_bandwidth(c, stage, c.fleet.relays_per_rack),
            fault=Fault.RACK_LOST,
        ),
        network(
            name="relays of a zone told whole",
            compute_figure=lambda c: _compute_refill_bandwidth(c, stage, c.fleet.relays_per_zone),
            fault=Fault.ZONE_LOST,
        ),
        network(
            name="relays of a region told whole",
            compute_figure=lambda c: _compute_refill_bandwidth(c, stage, c.fleet.relays_per_region),
            fault=Fault.REGION_CUT,
        ),
    )


DISTRIBUTOR_ROWS = (
    _make_distributor_row(
        "all destinations' entries",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.destinations * c.fleet.assumptions.hold_bytes.value,
        mechanisms.CONFIGURATION,
        budget=mechanisms.MACHINE_MEMORY,
    ),
    _make_distributor_row(
        "relays connected to one distributor",
        Resource.STATE,
        "relays",
        lambda c: c.fleet.relays / c.fleet.distributors,
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
    ),
    _make_distributor_row(
        "relays connected to one distributor",
        Resource.STATE,
        "relays",
        lambda c: c.fleet.relays / max(1.0, c.fleet.distributors - 1),
        mechanisms.CONFIGURATION,
        fault=Fault.MACHINE_LOST,
        stage=Stage.WITH_PLACEMENT,
    ),
    *(
        _make_distributor_row(
            name,
            Resource.PROCESSOR,
            "cores",
            evaluate_at_relay_count(keys.make_configuration_key("processor-per-distributor", workload)),
            mechanisms.CONFIGURATION,
            stage=Stage.WITH_PLACEMENT,
            budget=mechanisms.MACHINE_CORES,
        )
        for name, workload in (
            ("distributor over links, changes at their mean", keys.MEAN_CHANGE_RATE),
            (
                "distributor over links, fifty changes that concern every relay",
                keys.FIFTY_CHANGES_FOR_ALL_RELAYS,
            ),
        )
    ),
    _make_distributor_row(
        "distributor as measured, entries shared with those beside it",
        Resource.MEMORY,
        "B",
        evaluate_at_relay_count(
            keys.make_configuration_key("memory-per-distributor", keys.START_WITH_STORED_CONFIGURATION)
        ),
        mechanisms.CONFIGURATION,
        stage=Stage.WITH_PLACEMENT,
        budget=mechanisms.MACHINE_MEMORY,
    ),
    *_make_distributor_rows(Stage.BEFORE_PLACEMENT),
    *_make_distributor_rows(Stage.WITH_PLACEMENT),
)


def _compute_machines_needed(calculation: Calculation, stage: Stage, relays: float) -> float:
    """Return the voters plus the distributors needed to refill that many relays within the refill time."""
    fleet = calculation.fleet
    bytes_per_second = relays * _compute_start_bytes(calculation, stage) / fleet.assumptions.refill_time.value
    distributors_for_network = math.ceil(bytes_per_second / fleet.assumptions.machine_network.value)
    return fleet.assumptions.voters.value + max(MIN_DISTRIBUTORS, distributors_for_network)


def _make_needed_machines_row(stage: Stage, fault: Fault, relays: FigureFunction) -> Row:
    """Return the row of the control machines needed after the loss of that many relays."""
    return _make_machines_row(
        "voters and distributors that are needed",
        Resource.MACHINES,
        "machines",
        lambda c: _compute_machines_needed(c, stage, relays(c)),
        mechanisms.FULL_LIST if stage is Stage.BEFORE_PLACEMENT else mechanisms.CONFIGURATION,
        fault=fault,
        stage=stage,
        budget=mechanisms.CONTROL_MACHINES,
        remedy=mechanisms.PLACEMENT if stage is Stage.BEFORE_PLACEMENT else None,
    )


MACHINE_COUNT_ROWS = tuple(
    _make_needed_machines_row(stage, fault, relays)
    for stage in (Stage.BEFORE_PLACEMENT, Stage.WITH_PLACEMENT)
    for fault, relays in (
        (Fault.RACK_LOST, lambda c: c.fleet.relays_per_rack),
        (Fault.ZONE_LOST, lambda c: c.fleet.relays_per_zone),
        (Fault.REGION_CUT, lambda c: c.fleet.relays_per_region),
    )
)

ROWS = (*NORMAL_VOTER_ROWS, *FAULT_VOTER_ROWS, *DISTRIBUTOR_ROWS, *MACHINE_COUNT_ROWS)
