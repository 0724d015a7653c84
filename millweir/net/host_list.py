"""The host list as this process has it: the cached one of the last run, then what discovery says.

Each update goes to the connections, which know whose an address is, from there to the decision engine, and
then to what is kept of hosts by name.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from millweir.facade import DecisionEngine
from millweir.interface import Bounds, Change, Entry, Phase
from millweir.net import clock
from millweir.net.cold_hosts import RecoveringHostStore
from millweir.net.config import Config
from millweir.net.cordons import Cordons
from millweir.net.discovery import HostListUpdate, InvalidHostList, decode_host_list
from millweir.net.hosts import HostConnections
from millweir.net.lag import StallDetector
from millweir.net.log import Log
from millweir.net.retry_after import RetryAfterStore


def decode_cached_list(config: Config, log: Log) -> HostListUpdate | None:
    """Decode the host list that was cached before the restart; None where it is unusable.

    Without it, discovery is asked for the full list.
    """
    try:
        return decode_host_list(config.cached_list, config.settings)
    except InvalidHostList as error:
        log.info(f"known-list-unusable {str(error)[:200]}")
        return None


class HostList:
    """Applies updates of the host list."""

    def __init__(
        self,
        cached: HostListUpdate | None,
        hosts: HostConnections,
        engine: DecisionEngine[Any],
        cordons: Cordons,
        recovering_hosts: RecoveringHostStore,
        retry_after_waits: RetryAfterStore,
        loop_pulse: StallDetector,
        request_turn: Callable[[], None],
    ) -> None:
        """`cached`: the list of the last run, by which no call is sent yet."""
        self._hosts, self._engine, self._cordons = hosts, engine, cordons
        self._recovering_hosts, self._retry_after_waits = recovering_hosts, retry_after_waits
        self._loop_pulse, self._request_turn = loop_pulse, request_turn
        self._cached = cached  # None once calls may be sent
        self.is_known = False
        self.version = cached.version if cached else -1  # at the start
        if cached:
            self._apply(Change.CACHED, cached, all_draining=True)

    @property
    def waits_for_discovery(self) -> bool:
        """Whether calls wait until discovery has answered, or for the startup wait."""
        return self._cached is not None

    def schedule_use_of_cached(self, loop: asyncio.AbstractEventLoop, bounds: Bounds) -> None:
        """Use the cached list after the startup wait, if discovery has not answered by then."""
        if self._cached:
            loop.call_later(bounds.startup_list_wait_ns / 1e9, clock.call_after_poll, loop, self._use_cached)

    def _use_cached(self) -> None:
        """Send calls by the cached host list: discovery has not answered within the startup wait.

        Rule 3 (nothing new is sent to a draining host): a change that discovery holds counts as received from
        the moment the process starts.  Until this point the hosts of the cached list are treated as draining,
        so packets, restored ones included, are accepted and held.
        """
        cached, self._cached = self._cached, None
        if cached:
            self._apply(Change.CACHED, cached)

    def receive(self, change: Change, update: HostListUpdate) -> None:
        """Apply an update from discovery.

        A drain in the first update began before the restart: that update is merged into the cached list, and
        the result is applied as a cached list.
        """
        cached, self._cached = self._cached, None
        if cached and change is Change.DELTA:
            hosts = cached.hosts | update.hosts
            for name in update.removed:
                hosts.pop(name, None)  # one that came and went since the list was cached is in neither
            update = replace(update, hosts=hosts, removed={})
        if cached or not self.is_known:
            change = Change.CACHED
        self._apply(change, update)

    def _apply(self, change: Change, update: HostListUpdate, all_draining: bool = False) -> None:
        self.is_known = True
        entries = self._update_connections(change, update)
        if all_draining:
            entries = [replace(entry, phase=Phase.DRAINING) for entry in entries]
        now = clock.monotonic_ns()
        reassigned = self._engine.update_hosts(
            now, change, tuple(entries), self._loop_pulse.earliest_arrival(now)
        )
        self._retry_after_waits.forget_hosts(reassigned)
        self._recovering_hosts.forget_hosts(reassigned)
        names = [entry.host.decode() for entry in entries if entry.phase is not Phase.GONE]
        self._cordons.apply_to_hosts(names)
        self._recovering_hosts.apply_to_hosts(names)
        self._retry_after_waits.apply_to_hosts(names)
        self._request_turn()

    def _update_connections(self, change: Change, update: HostListUpdate) -> list[Entry]:
        """Update the connections; return the entries for the engine."""
        if change is Change.DELTA:
            return [*self._hosts.update_hosts(update.hosts, update.removed), *update.removed.values()]
        removed = self._hosts.names_except(update.hosts)
        entries = self._hosts.update_hosts(update.hosts, removed)
        return [entry for entry in entries if entry.phase is not Phase.GONE]  # a whole list names no others
