"""A relay's network code with a list of many hosts, on an event loop of its own; discovery never answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
from contextlib import AbstractContextManager
from pathlib import Path

from millweir.facade import DecisionEngine
from millweir.interface import SECOND, Change, Limits, Phase
from millweir.lab.scale.cores import CALLS_PER_SECOND, build_settings, format_host_name
from millweir.lab.scale.steps import make_iteration_countable
from millweir.net import clock
from millweir.net.config import Config
from millweir.net.counters import Counters
from millweir.net.desk import RelayServer
from millweir.net.discovery import decode_host_list
from millweir.net.journal import Journal
from millweir.net.log import Log
from millweir.net.owed_message import OwedMessage

LIMITS = Limits(descriptors=1024, disk_bytes=64 << 20, memory_bytes=1 << 30)
FIRST_HOST_PORT = 9  # no call is made
MAX_PORTS = 50_000  # used on each loopback address
STATUSES = {Phase.READY: "SERVING", Phase.DRAINING: "DRAINING", Phase.GONE: "DELETED"}
LONG_WAIT_NS = 3600 * SECOND
MAX_LOG_LINES_PER_SECOND = 0


def build_discovery_entry(number: int, phase: Phase = Phase.READY) -> dict[str, object]:
    """Builds one host list entry in discovery's JSON form; each host has an address of its own."""
    block, offset = divmod(number, MAX_PORTS)
    return {
        "name": format_host_name(number).decode(),
        "address": f"127.0.0.{block + 1}:{FIRST_HOST_PORT + offset}",
        "zone": "a",
        "type": "plain",
        "group": number,
        "status": STATUSES[phase],
        "weight": CALLS_PER_SECOND,
    }


class RelayServerDriver:
    """The network code of one relay with `size` listed destinations; an async context manager."""

    def __init__(self, folder: Path, size: int, seed: int) -> None:
        self.size = size
        self._folder, self._seed = folder, seed
        self._recorded_waits = 0

    async def __aenter__(self) -> RelayServerDriver:
        loop = asyncio.get_running_loop()
        self._silent_discovery = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        settings = build_settings()
        host_list = {
            "index": 1,
            "snapshot": True,
            "endpoints": [build_discovery_entry(number) for number in range(self.size)],
        }
        config = Config(
            name="scale",
            listen=("127.0.0.1", 0),
            control=None,
            discovery=self._silent_discovery.sockets[0].getsockname(),
            state=self._folder,
            seed=self._seed,
            limits=LIMITS,
            cached_list={"index": 0, "endpoints": []},
            settings=settings,
        )
        self.engine: DecisionEngine[OwedMessage] = DecisionEngine(
            settings, LIMITS, self._seed, clock.monotonic_ns()
        )
        log, bounds = Log(MAX_LOG_LINES_PER_SECOND), self.engine.bounds
        self._journal = Journal(
            self._folder, bounds.max_journal_file_bytes, bounds.max_journal_live_bytes, log.info
        )
        self.server = RelayServer(loop, config, self.engine, self._journal, log, Counters())
        self.server.host_list.receive(Change.FULL, decode_host_list(host_list, settings))
        self.engine.tick(clock.monotonic_ns())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.stop()
        self.server.close()
        self._journal.close()
        self._silent_discovery.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def make_iteration_countable(self) -> None:
        """Makes iteration over the relay's tables count as instructions from here on."""
        hosts = self.server._hosts
        for owner in (self.engine._relay, self.engine, self.server, hosts, hosts._owners):
            make_iteration_countable(owner)
        make_iteration_countable(self.server._retry_after_waits)
        make_iteration_countable(self.server._cordons)

    def encode_change(self, number: int, phase: Phase) -> bytes:
        """Encodes the update that discovery sends when one entry has changed."""
        return json.dumps(
            {"index": 2, "snapshot": False, "endpoints": [build_discovery_entry(number, phase)]}
        ).encode()

    def apply_update(self, update: bytes) -> None:
        """Applies an encoded update as if discovery had sent it."""
        self.server.host_list.receive(
            Change.DELTA, decode_host_list(json.loads(update), self.server._service_classes.settings)
        )

    def add_retry_after_waits(self, count: int) -> None:
        """Merges `count` retry-after waits that another process on the same machine has recorded."""
        now = clock.to_wall(clock.monotonic_ns())
        waits = {format_host_name(number).decode(): now + LONG_WAIT_NS for number in range(count)}
        self.server._retry_after_waits._merge(waits)

    def record_retry_after(self, meter: AbstractContextManager) -> None:
        """Records a retry-after of the last host, longer each time."""
        self._recorded_waits += 1
        with meter:
            self.server._retry_after_waits.record_wait(
                format_host_name(self.size - 1).decode(), self._recorded_waits * SECOND
            )
