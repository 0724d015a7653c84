"""Rows of the machines set aside for control: voters of the register, distributors, and how many are used."""

from __future__ import annotations

import functools
import math

from millweir.lab.capacity import keys, mechanisms
from millweir.lab.capacity.model import (
    Calculation,
    FigureOf,
    Mechanism,
    Resource,
    Role,
    Row,
    Stage,
    Trouble,
    by_relays,
)

_voter = functools.partial(Row, Role.VOTER)
_distributor = functools.partial(Row, Role.DISTRIBUTOR)
_machines = functools.partial(Row, Role.MACHINES)

DISTRIBUTORS_LEAST = 2.0
DESIGNS = {
    "logged": ("each renewal an entry", Stage.ALTERNATIVE, mechanisms.CONSENSUS),
    "leased": ("leases at the leader", Stage.BOTH, mechanisms.LEASES),
}


def _renewal_rows(design: str, label: str, stage: Stage, mechanism: Mechanism) -> tuple[Row, ...]:
    """What one of the register's two designs of renewal costs its voters when calm."""

    def measured(quantity: str) -> FigureOf:
        return by_relays(keys.renewals(design, quantity))

    row = functools.partial(_voter, mechanism=mechanism, stage=stage)
    return (
        row(
            name=f"leader, {label}",
            resource=Resource.MESSAGES,
            unit="messages/s",
            figure=measured("leader-messages-second"),
        ),
        row(
            name=f"leader, {label}",
            resource=Resource.BYTES,
            unit="B/s",
            figure=measured("leader-bytes-second"),
            budget=mechanisms.MACHINE_NETWORK,
        ),
        row(
            name=f"leader, {label}",
            resource=Resource.PROCESSOR,
            unit="cores",
            figure=measured("leader-processor"),
            budget=mechanisms.MACHINE_CORES,
        ),
        row(
            name=f"follower, {label}",
            resource=Resource.PROCESSOR,
            unit="cores",
            figure=measured("follower-processor"),
            budget=mechanisms.MACHINE_CORES,
        ),
        row(
            name=f"follower, {label}",
            resource=Resource.BYTES,
            unit="B/s",
            figure=measured("follower-bytes-second"),
            budget=mechanisms.MACHINE_NETWORK,
        ),
        row(
            name=f"log and snapshots written, {label}",
            resource=Resource.DISK,
            unit="B/s",
            figure=measured("written-bytes-second"),
            budget=mechanisms.MACHINE_DISK,
        ),
    )


VOTERS_CALM = (
    *(row for design, described in DESIGNS.items() for row in _renewal_rows(design, *described)),
    _voter(
        "table of ownership",
        Resource.MEMORY,
        "B",
        by_relays(keys.STATE_MEMORY),
        mechanisms.TAKE_OVER,
        budget=mechanisms.MACHINE_MEMORY,
    ),
    _voter(
        "snapshot",
        Resource.STATE,
        "B",
        by_relays(keys.SNAPSHOT_BYTES),
        mechanisms.CONSENSUS,
    ),
    _voter(
        "a whole assignment, as an entry",
        Resource.STATE,
        "B",
        by_relays(keys.ASSIGNMENT_BYTES),
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
    ),
    _voter(
        "table of the assignment, where it is made",
        Resource.MEMORY,
        "B",
        by_relays(keys.CORE_MEMORY),
        mechanisms.PLACEMENT,
        stage=Stage.AFTER,
        budget=mechanisms.MACHINE_MEMORY,
    ),
)


def _placement_rows(trouble: Trouble) -> tuple[Row, ...]:
    """Relays lost: what the assignment's core does about it."""

    def measured(quantity: str) -> FigureOf:
        return by_relays(keys.placement_trouble(quantity, trouble))

    row = functools.partial(_voter, mechanism=mechanisms.PLACEMENT, trouble=trouble, stage=Stage.AFTER)
    return (
        row(
            name="replicas that move",
            resource=Resource.STATE,
            unit="replicas",
            figure=measured("replicas-moved"),
        ),
        row(
            name="processor time to move replicas",
            resource=Resource.TIME,
            unit="s",
            figure=measured("member-change-seconds"),
        ),
        row(
            name="until all replicas have moved, with hold and pace",
            resource=Resource.TIME,
            unit="s",
            figure=measured("change-ends-after"),
        ),
        row(
            name="largest entry of a moving assignment",
            resource=Resource.STATE,
            unit="B",
            figure=measured("difference-bytes-most"),
        ),
    )


def _change_rows(trouble: Trouble) -> tuple[Row, ...]:
    """Owners lost at once: what the register writes and sends for it."""

    def measured(quantity: str) -> FigureOf:
        return by_relays(keys.register_trouble(quantity, trouble))

    row = functools.partial(_voter, mechanism=mechanisms.TAKE_OVER, trouble=trouble)
    name = "owners that change" + (", if it stays away" if trouble is Trouble.REGION else "")
    return (
        row(name=name, resource=Resource.STATE, unit="owners", figure=measured("changes")),
        row(
            name="bytes out of the leader",
            resource=Resource.STATE,
            unit="B",
            figure=measured("change-bytes"),
        ),
        row(
            name="processor time of the leader",
            resource=Resource.TIME,
            unit="s",
            figure=measured("change-processor"),
        ),
        row(
            name="until the changes are committed",
            resource=Resource.TIME,
            unit="s",
            figure=measured("change-commit-time"),
            budget=mechanisms.IN_FORCE,
        ),
    )


VOTERS_IN_TROUBLE = (
    *(row for trouble in keys.REGISTER_TROUBLES for row in _change_rows(trouble)),
    *(row for trouble in keys.PLACEMENT_TROUBLES for row in _placement_rows(trouble)),
    _voter(
        "replicas that move, two minutes and back",
        Resource.STATE,
        "replicas",
        by_relays(keys.MOVED_BY_A_CUT),
        mechanisms.PLACEMENT,
        trouble=Trouble.REGION,
        stage=Stage.AFTER,
    ),
    _voter(
        "leases given again by a new leader, if the lost machine led",
        Resource.TIME,
        "s",
        lambda c: c.fleet.assumptions.lease.value,
        mechanisms.LEASES,
        trouble=Trouble.MACHINE,
    ),
    _voter(
        "voters left, if the region with the most is cut off",
        Resource.STATE,
        "voters",
        lambda c: (
            c.fleet.assumptions.voters.value
            - math.ceil(c.fleet.assumptions.voters.value / c.fleet.targets.regions.value)
        ),
        mechanisms.CONSENSUS,
        trouble=Trouble.REGION,
    ),
)


def _part_bytes(calculation: Calculation, stage: Stage) -> float:
    """Bytes of all that one relay is told at a start."""
    fleet = calculation.fleet
    known = fleet.destinations if stage is Stage.BEFORE else fleet.own_destinations
    return known * fleet.assumptions.entry_bytes.value


def _told(calculation: Calculation, stage: Stage) -> float:
    """Relays that are told of one change."""
    fleet = calculation.fleet
    return fleet.relays if stage is Stage.BEFORE else fleet.replicas


def _mean_refill(calculation: Calculation, stage: Stage, relays: float) -> float:
    """Bytes a second out of one distributor while so many relays come back."""
    fleet = calculation.fleet
    whole = relays * _part_bytes(calculation, stage)
    return whole / fleet.assumptions.refill_time.value / fleet.distributors


def _wave(calculation: Calculation, stage: Stage) -> float:
    fleet = calculation.fleet
    starts_second = fleet.restarts_day / fleet.assumptions.restart_wave.value
    return starts_second * _part_bytes(calculation, stage) / fleet.distributors


def _busiest_second(calculation: Calculation, stage: Stage) -> float:
    """Messages a second out of one distributor."""
    fleet = calculation.fleet
    return fleet.changes_busiest_second * _told(calculation, stage) / fleet.distributors


def _distributor_rows(stage: Stage) -> tuple[Row, ...]:
    mechanism = mechanisms.WHOLE_LIST if stage is Stage.BEFORE else mechanisms.CONFIGURATION
    remedy = mechanisms.PLACEMENT if stage is Stage.BEFORE else None
    row = functools.partial(_distributor, mechanism=mechanism, stage=stage)
    network = functools.partial(
        row, resource=Resource.BYTES, unit="B/s", budget=mechanisms.MACHINE_NETWORK, remedy=remedy
    )
    return (
        row(
            name="changes told, busiest second",
            resource=Resource.MESSAGES,
            unit="messages/s",
            figure=lambda c: _busiest_second(c, stage),
        ),
        network(
            name="changes told, busiest second",
            figure=lambda c: _busiest_second(c, stage) * c.fleet.assumptions.entry_bytes.value,
        ),
        row(
            name="acknowledgements, busiest second",
            resource=Resource.BYTES,
            unit="B/s",
            figure=lambda c: _busiest_second(c, stage) * c.fleet.assumptions.digest_bytes.value,
        ),
        network(
            name="relays that start told whole",
            figure=lambda c: _wave(c, stage),
            trouble=Trouble.WAVE,
        ),
        network(
            name="relays of a rack told whole",
            figure=lambda c: _mean_refill(c, stage, c.fleet.rack),
            trouble=Trouble.RACK,
        ),
        network(
            name="relays of a zone told whole",
            figure=lambda c: _mean_refill(c, stage, c.fleet.zone),
            trouble=Trouble.ZONE,
        ),
        network(
            name="relays of a region told whole",
            figure=lambda c: _mean_refill(c, stage, c.fleet.region),
            trouble=Trouble.REGION,
        ),
    )


DISTRIBUTORS = (
    _distributor(
        "all destinations' entries",
        Resource.MEMORY,
        "B",
        lambda c: c.fleet.destinations * c.fleet.assumptions.hold_bytes.value,
        mechanisms.CONFIGURATION,
        budget=mechanisms.MACHINE_MEMORY,
    ),
    _distributor(
        "relays connected to one distributor",
        Resource.STATE,
        "relays",
        lambda c: c.fleet.relays / c.fleet.distributors,
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
    ),
    _distributor(
        "relays connected to one distributor",
        Resource.STATE,
        "relays",
        lambda c: c.fleet.relays / max(1.0, c.fleet.distributors - 1),
        mechanisms.CONFIGURATION,
        trouble=Trouble.MACHINE,
        stage=Stage.AFTER,
    ),
    *(
        _distributor(
            name,
            Resource.PROCESSOR,
            "cores",
            by_relays(keys.configuration("processor-per-distributor", doing)),
            mechanisms.CONFIGURATION,
            stage=Stage.AFTER,
            budget=mechanisms.MACHINE_CORES,
        )
        for name, doing in (
            ("distributor over links, changes at their mean", keys.CHANGES_AT_MEAN),
            ("distributor over links, fifty changes that concern every relay", keys.FIFTY_COMMON),
        )
    ),
    _distributor(
        "distributor as measured, entries shared with those beside it",
        Resource.MEMORY,
        "B",
        by_relays(keys.configuration("memory-per-distributor", keys.START_WITH_FOLDER)),
        mechanisms.CONFIGURATION,
        stage=Stage.AFTER,
        budget=mechanisms.MACHINE_MEMORY,
    ),
    *_distributor_rows(Stage.BEFORE),
    *_distributor_rows(Stage.AFTER),
)


def _machines_needed(calculation: Calculation, stage: Stage, relays: float) -> float:
    """Voters, and as many distributors as tell so many relays all that they need in the time for it."""
    fleet = calculation.fleet
    bytes_second = relays * _part_bytes(calculation, stage) / fleet.assumptions.refill_time.value
    by_network = math.ceil(bytes_second / fleet.assumptions.machine_network.value)
    return fleet.assumptions.voters.value + max(DISTRIBUTORS_LEAST, by_network)


def _machine_row(stage: Stage, trouble: Trouble, relays: FigureOf) -> Row:
    return _machines(
        "voters and distributors that are needed",
        Resource.MACHINES,
        "machines",
        lambda c: _machines_needed(c, stage, relays(c)),
        mechanisms.WHOLE_LIST if stage is Stage.BEFORE else mechanisms.CONFIGURATION,
        trouble=trouble,
        stage=stage,
        budget=mechanisms.CONTROL_MACHINES,
        remedy=mechanisms.PLACEMENT if stage is Stage.BEFORE else None,
    )


MACHINES = tuple(
    _machine_row(stage, trouble, relays)
    for stage in (Stage.BEFORE, Stage.AFTER)
    for trouble, relays in (
        (Trouble.RACK, lambda c: c.fleet.rack),
        (Trouble.ZONE, lambda c: c.fleet.zone),
        (Trouble.REGION, lambda c: c.fleet.region),
    )
)

ROWS = (*VOTERS_CALM, *VOTERS_IN_TROUBLE, *DISTRIBUTORS, *MACHINES)
