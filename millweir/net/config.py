"""What the relay is told at start: environment variables and the file they name."""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from millweir.interface import Limits, Settings
from millweir.settings import parse_settings, validate_reloaded_settings

MEGABYTE = 1 << 20


class Misconfigured(Exception):
    """The configuration can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that one relay is told."""

    name: str
    listen: tuple[str, int]
    control: tuple[str, int] | None  # the second address, where there is one
    discovery: tuple[str, int]
    state: Path
    seed: int
    limits: Limits
    known: dict[str, Any]
    settings: Settings
    given: dict[str, Any]  # the settings as the file had them, to check a later file against
    path: Path = Path()  # the file that it was read from, and by which its later changes are known
    stamp: tuple[int, int, int] = (0, 0, 0)


def read_address(text: object, what: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Misconfigured(f"{what} is no address: {text!r}")
    return host, int(port)


def read_descriptors(told: int) -> int:
    """How many descriptors this process may hold: what it is told, or the system's limit if lower."""
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if most == resource.RLIM_INFINITY else min(told, most)


def config_stamp(path: Path) -> tuple[int, int, int]:
    """By which a configuration that was replaced or written to is known; zeros where there is none."""
    try:
        found = path.stat()
    except OSError:
        return 0, 0, 0
    return found.st_ino, found.st_size, found.st_mtime_ns


def read_config(environ: Mapping[str, str], again: bool = False, start: Config | None = None) -> Config:
    """Read RELAY_CONFIG; at start the other variables win over what the file says.

    When it is read again, they still say what was so at the start: the file's word on discovery is newer.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise Misconfigured("RELAY_CONFIG is not set")
    stamp = config_stamp(Path(path))
    try:
        given = json.loads(Path(path).read_bytes())
    except OSError as fault:
        raise Misconfigured(f"RELAY_CONFIG can't be read: {fault}") from fault
    except ValueError as fault:
        raise Misconfigured(f"RELAY_CONFIG {path} is not JSON: {fault}") from fault
    if not isinstance(given, dict):
        raise Misconfigured(f"RELAY_CONFIG {path} holds no JSON object")
    state = environ.get("RELAY_STATE")
    if not state:
        raise Misconfigured("RELAY_STATE is not set")
    if not os.path.isdir(state) or not os.access(state, os.W_OK):
        raise Misconfigured(f"RELAY_STATE {state} is no folder that can be written to")
    try:
        if start is not None:
            validate_reloaded_settings(given.get("settings"), start.given)
        limits, known = given.get("limits") or {}, given.get("known") or {}
        told = environ.get("RELAY_DISCOVERY")
        discovery = given.get("discovery") or told if again else told or given.get("discovery")
        return Config(
            name=str(environ.get("RELAY_NAME") or given.get("name", "")),
            listen=read_address(environ.get("RELAY_LISTEN") or given.get("listen"), "RELAY_LISTEN"),
            control=(
                read_address(control, "RELAY_CONTROL")
                if (control := environ.get("RELAY_CONTROL") or given.get("control"))
                else None
            ),
            discovery=read_address(discovery, "RELAY_DISCOVERY"),
            state=Path(state),
            path=Path(path),
            stamp=stamp,
            seed=int(str(given.get("seed", "0")), 16),
            limits=Limits(
                read_descriptors(int(limits.get("sockets", 1024))),
                int(limits.get("disk_mb", 1) * MEGABYTE),
                int(limits.get("memory_mb", 64) * MEGABYTE),
            ),
            known=known,
            settings=parse_settings(given["settings"]),
            given=given["settings"],
        )
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise Misconfigured(f"RELAY_CONFIG {path} can't be used: {fault!r}") from fault
