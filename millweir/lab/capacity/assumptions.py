"""Reads the operators' targets and our assumptions from docs/capacity/assumptions.toml."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from millweir.lab.scale.measurement import ROOT

ASSUMPTIONS_PATH = ROOT / "docs" / "capacity" / "assumptions.toml"


class UnreadableAssumptions(ValueError):
    """The assumptions file cannot be read or decoded; the message names the file and the error."""


class InputValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One input of the model that is given, not measured: a value, its unit and its meaning."""

    value: float
    unit: str
    note: str


class Targets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Figures given by the operators, in the order of the page."""

    relays: InputValue
    events_second: InputValue
    destinations: InputValue
    destinations_down: InputValue
    backlog: InputValue
    regions: InputValue
    zones: InputValue
    changes_day: InputValue
    in_force: InputValue
    control_processor: InputValue
    control_memory: InputValue
    control_bytes: InputValue
    control_machines: InputValue
    machines_lost_day: InputValue
    restarts_day: InputValue
    racks_lost_year: InputValue
    zones_lost_year: InputValue
    region_cuts_year: InputValue


class Assumptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Our assumptions where the operators give no figure, in the order of the page."""

    message_bytes: InputValue
    attempts: InputValue
    hosts_destination: InputValue
    entry_bytes: InputValue
    hold_bytes: InputValue
    relays_rack: InputValue
    busiest_share: InputValue
    imbalance: InputValue
    small_limit: InputValue
    calls_to_learn: InputValue
    partitions: InputValue
    replicas: InputValue
    copies: InputValue
    changes_busiest_second: InputValue
    changes_busiest_minute: InputValue
    digest_bytes: InputValue
    restart_interval: InputValue
    restart_wave: InputValue
    region_cut: InputValue
    refill_time: InputValue
    start_time: InputValue
    pause_longest: InputValue
    takeover_time: InputValue
    spare_share: InputValue
    relay_cores: InputValue
    relay_memory: InputValue
    relay_disk: InputValue
    relay_network: InputValue
    voters: InputValue
    machine_cores: InputValue
    machine_memory: InputValue
    machine_network: InputValue
    machine_disk: InputValue
    lease: InputValue


class Inputs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the assumptions file."""

    targets: Targets
    assumptions: Assumptions


def read_inputs(path: Path = ASSUMPTIONS_PATH) -> Inputs:
    """Read the assumptions file; raises UnreadableAssumptions."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Inputs)
    except (OSError, msgspec.MsgspecError) as error:
        raise UnreadableAssumptions(f"{path.name}: {error}") from error


def iterate_inputs(group: Targets | Assumptions) -> Iterator[tuple[str, InputValue]]:
    """Yield the name and value of each input in a group."""
    for name in group.__struct_fields__:
        yield name, getattr(group, name)
