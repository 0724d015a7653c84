"""Reads the relay's configuration: environment variables and the file that RELAY_CONFIG names."""

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

BYTES_PER_MEGABYTE = 1 << 20


class Misconfigured(Exception):
    """The configuration can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of one relay."""

    name: str
    listen: tuple[str, int]
    control: tuple[str, int] | None  # the control address, where there is one
    discovery: tuple[str, int]
    state: Path
    seed: int
    limits: Limits
    cached_list: dict[str, Any]
    settings: Settings
    raw_settings: dict[str, Any]  # as the file had them, to check a reloaded file against
    path: Path = Path()  # the file that it was read from
    file_stamp: tuple[int, int, int] = (0, 0, 0)  # identifies the file's version, see `read_file_stamp`


def read_address(text: object, what: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Misconfigured(f"{what} is no address: {text!r}")
    return host, int(port)


def limit_descriptors(configured: int) -> int:
    """The number of descriptors this process may hold: the configured one, or the system's limit if lower."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if system_limit == resource.RLIM_INFINITY else min(configured, system_limit)


def read_file_stamp(path: Path) -> tuple[int, int, int]:
    """The inode, size and modification time of the file, which show a change; zeros where it is missing."""
    try:
        status = path.stat()
    except OSError:
        return 0, 0, 0
    return status.st_ino, status.st_size, status.st_mtime_ns


def read_config(
    environ: Mapping[str, str], is_reload: bool = False, startup_config: Config | None = None
) -> Config:
    """Read RELAY_CONFIG; at startup the other variables take precedence over the file.

    On a reload the variables are as old as the process, so the file takes precedence for the discovery
    address.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise Misconfigured("RELAY_CONFIG is not set")
    file_stamp = read_file_stamp(Path(path))
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise Misconfigured(f"RELAY_CONFIG can't be read: {error}") from error
    except ValueError as error:
        raise Misconfigured(f"RELAY_CONFIG {path} is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise Misconfigured(f"RELAY_CONFIG {path} holds no JSON object")
    state = environ.get("RELAY_STATE")
    if not state:
        raise Misconfigured("RELAY_STATE is not set")
    if not os.path.isdir(state) or not os.access(state, os.W_OK):
        raise Misconfigured(f"RELAY_STATE {state} is no folder that can be written to")
    try:
        if startup_config is not None:
            validate_reloaded_settings(document.get("settings"), startup_config.raw_settings)
        limits, cached_list = document.get("limits") or {}, document.get("known") or {}
        environ_discovery = environ.get("RELAY_DISCOVERY")
        discovery = (
            document.get("discovery") or environ_discovery
            if is_reload
            else environ_discovery or document.get("discovery")
        )
        return Config(
            name=str(environ.get("RELAY_NAME") or document.get("name", "")),
            listen=read_address(environ.get("RELAY_LISTEN") or document.get("listen"), "RELAY_LISTEN"),
            control=(
                read_address(control, "RELAY_CONTROL")
                if (control := environ.get("RELAY_CONTROL") or document.get("control"))
                else None
            ),
            discovery=read_address(discovery, "RELAY_DISCOVERY"),
            state=Path(state),
            path=Path(path),
            file_stamp=file_stamp,
            seed=int(str(document.get("seed", "0")), 16),
            limits=Limits(
                limit_descriptors(int(limits.get("sockets", 1024))),
                int(limits.get("disk_mb", 1) * BYTES_PER_MEGABYTE),
                int(limits.get("memory_mb", 64) * BYTES_PER_MEGABYTE),
            ),
            cached_list=cached_list,
            settings=parse_settings(document["settings"]),
            raw_settings=document["settings"],
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Misconfigured(f"RELAY_CONFIG {path} can't be used: {error!r}") from error
