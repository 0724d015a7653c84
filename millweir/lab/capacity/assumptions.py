"""The operators' figures and our assumptions, read from docs/capacity/assumptions.toml."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from millweir.lab.scale.measurement import ROOT

PATH = ROOT / "docs" / "capacity" / "assumptions.toml"


class UnreadableAssumptions(ValueError):
    """The file of assumptions can't be read; the text says what is wrong with it."""


class Stated(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure that is not measured: a value with its unit and what it means."""

    value: float
    unit: str
    note: str


class Targets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' figures, in the order of the page."""

    relays: Stated
    events_second: Stated
    destinations: Stated
    destinations_down: Stated
    backlog: Stated
    regions: Stated
    zones: Stated
    changes_day: Stated
    in_force: Stated
    control_processor: Stated
    control_memory: Stated
    control_bytes: Stated
    control_machines: Stated
    machines_lost_day: Stated
    restarts_day: Stated
    racks_lost_year: Stated
    zones_lost_year: Stated
    region_cuts_year: Stated


class Assumptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ours, where the operators are silent, in the order of the page."""

    message_bytes: Stated
    attempts: Stated
    hosts_destination: Stated
    entry_bytes: Stated
    hold_bytes: Stated
    relays_rack: Stated
    busiest_share: Stated
    imbalance: Stated
    small_limit: Stated
    calls_to_learn: Stated
    partitions: Stated
    replicas: Stated
    copies: Stated
    changes_busiest_second: Stated
    changes_busiest_minute: Stated
    digest_bytes: Stated
    restart_interval: Stated
    restart_wave: Stated
    region_cut: Stated
    refill_time: Stated
    start_time: Stated
    pause_longest: Stated
    takeover_time: Stated
    spare_share: Stated
    relay_cores: Stated
    relay_memory: Stated
    relay_disk: Stated
    relay_network: Stated
    voters: Stated
    machine_cores: Stated
    machine_memory: Stated
    machine_network: Stated
    machine_disk: Stated
    lease: Stated


class Inputs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    targets: Targets
    assumptions: Assumptions


def read_inputs(path: Path = PATH) -> Inputs:
    """The file's figures; UnreadableAssumptions."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Inputs)
    except (OSError, msgspec.MsgspecError) as fault:
        raise UnreadableAssumptions(f"{path.name}: {fault}") from fault


def stated_by_name(group: Targets | Assumptions) -> Iterator[tuple[str, Stated]]:
    """All figures of a group with their names."""
    for name in group.__struct_fields__:
        yield name, getattr(group, name)
