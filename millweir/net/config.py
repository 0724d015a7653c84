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
from millweir.net.times import NO_FILE, FileStamp, read_stamp
from millweir.required_keys import Kind, ObjectShape, check_shape, extend_shape, read_shape
from millweir.settings import parse_settings, validate_reloaded_settings
from millweir.settings_table import InvalidValue, check_types

BYTES_PER_MEGABYTE = 1 << 20
ADDRESS_KEYS = ("listen", "control", "discovery")


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
    required_shape: ObjectShape = ObjectShape({})  # what a reloaded file must have
    checks_types: bool = False  # whether a reloaded file must also have the types and bounds of the pages
    path: Path = Path()  # the file that it was read from
    file_stamp: FileStamp = NO_FILE


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


def read_file_stamp(path: Path) -> FileStamp:
    """Identify the file's version; NO_FILE where it is missing."""
    try:
        return read_stamp(path)
    except OSError:
        return NO_FILE


def read_config(environ: Mapping[str, str], in_force: Config | None = None) -> Config:
    """Read RELAY_CONFIG; at startup the other variables take precedence over the file.

    `in_force`: the configuration that a reload is to replace.  The variables are as old as the process, so
    on a reload the file decides on the discovery address.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise Misconfigured("RELAY_CONFIG is not set")
    file_stamp = read_file_stamp(Path(path))
    document = _read_document(Path(path))
    state = environ.get("RELAY_STATE")
    if not state:
        raise Misconfigured("RELAY_STATE is not set")
    if not os.path.isdir(state) or not os.access(state, os.W_OK):
        raise Misconfigured(f"RELAY_STATE {state} is no folder that can be written to")
    try:
        shape = _read_document_shape(document)
        # A start's file is used although a value is not as the pages say; a reload may then repeat it.
        checks_types = in_force.checks_types if in_force else _has_valid_types(document)
        if in_force:
            _validate_reload(document, in_force)
            shape = extend_shape(in_force.required_shape, shape)
        limits, cached_list = document.get("limits") or {}, document.get("known") or {}
        return Config(
            name=str(environ.get("RELAY_NAME") or document.get("name", "")),
            listen=read_address(environ.get("RELAY_LISTEN") or document.get("listen"), "RELAY_LISTEN"),
            control=(
                read_address(control, "RELAY_CONTROL")
                if (control := environ.get("RELAY_CONTROL") or document.get("control"))
                else None
            ),
            discovery=_choose_discovery(document, environ, in_force),
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
            required_shape=shape,
            checks_types=checks_types,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise Misconfigured(f"RELAY_CONFIG {path} can't be used: {error!r}") from error


def _read_document(path: Path) -> dict[str, Any]:
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        raise Misconfigured(f"RELAY_CONFIG can't be read: {error}") from error
    except (ValueError, RecursionError) as error:
        raise Misconfigured(f"RELAY_CONFIG {path} is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise Misconfigured(f"RELAY_CONFIG {path} holds no JSON object")
    return document


def _read_document_shape(document: dict[str, Any]) -> ObjectShape:
    """Read the shape of a file; the cached host list is data, of which only the key itself counts."""
    cached_list = {"known": {}} if isinstance(document.get("known"), dict) else {}
    return ObjectShape(read_shape(document | cached_list).keys)


def _has_valid_types(document: dict[str, Any]) -> bool:
    try:
        check_types(document)
    except InvalidValue:
        return False
    return True


def _validate_reload(document: dict[str, Any], in_force: Config) -> None:
    """Raise ValueError or Misconfigured unless a file read at SIGHUP can be applied whole."""
    required = in_force.required_shape
    check_shape(document, required)
    if in_force.checks_types:
        check_types(document)
    validate_reloaded_settings(document.get("settings"), required.keys.get("settings", Kind.ANY))
    for key in ADDRESS_KEYS:
        if document.get(key):
            read_address(document[key], key)


def _choose_discovery(
    document: dict[str, Any], environ: Mapping[str, str], in_force: Config | None
) -> tuple[str, int]:
    """The address of discovery and notifications; a reload keeps that in force if no file ever had one."""
    if in_force:
        given = document.get("discovery")
        return read_address(given, "discovery") if given else in_force.discovery
    return read_address(environ.get("RELAY_DISCOVERY") or document.get("discovery"), "RELAY_DISCOVERY")
