"""Applies the configuration file at SIGHUP, whole or not at all."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from millweir.net.config import Config, Misconfigured, read_config
from millweir.net.log import Log

STARTUP_FIELDS = ("listen", "control", "state", "limits")  # take effect at the next start


class ReloadedRelay(Protocol):
    """What a reload needs of the relay."""

    reload_counts: list[int]  # accepted, rejected

    def reload(self, config: Config) -> None: ...


class ConfigReloader:
    """Reads the file again and holds the configuration in force, with which the next file is compared."""

    __slots__ = ("_at_start", "_environ", "_in_force", "_log", "_relay")

    def __init__(self, config: Config, environ: Mapping[str, str], relay: ReloadedRelay, log: Log) -> None:
        self._at_start = self._in_force = config
        self._environ, self._relay, self._log = environ, relay, log

    def reload(self) -> None:
        """Apply the file as it is now; one that can't be used changes nothing."""
        try:
            config = read_config(self._environ, self._in_force)
        except Misconfigured as error:
            self._relay.reload_counts[1] += 1
            self._log.always(f"reload-failed {str(error)[:300]}")
            return
        self._in_force = config
        self._relay.reload_counts[0] += 1
        pending_fields = [
            field for field in STARTUP_FIELDS if getattr(self._at_start, field) != getattr(config, field)
        ]
        self._log.always(
            f"reloaded discovery={':'.join(map(str, config.discovery))} "
            f"at-next-start={','.join(pending_fields) or 'none'}"
        )
        self._relay.reload(config)
