"""A relay's network code with a list of many hosts, in a loop of its own; discovery is silent."""

from __future__ import annotations

import asyncio
import contextlib
import json
from contextlib import AbstractContextManager
from pathlib import Path

from millweir.facade import DecisionEngine
from millweir.interface import SECOND, Change, Limits, Phase
from millweir.lab.scale.cores import RATE, host_name, settings
from millweir.lab.scale.steps import walk_in_python
from millweir.lab.standins import SETTINGS
from millweir.net import clock
from millweir.net.config import Config
from millweir.net.counters import Counters
from millweir.net.desk import RelayServer
from millweir.net.discovery import decode_host_list
from millweir.net.journal import Journal, OwedMessage
from millweir.net.log import Log

LIMITS = Limits(descriptors=1024, disk_bytes=64 << 20, memory_bytes=1 << 30)
ADDRESS = "127.0.0.1:9"  # of all hosts: no call is made
STATUSES = {Phase.READY: "SERVING", Phase.DRAINING: "DRAINING", Phase.GONE: "DELETED"}
LONG_WAIT = 3600 * SECOND
NO_LOG = 0  # lines a second


def row(number: int, phase: Phase = Phase.READY) -> dict[str, object]:
    """One entry in discovery's form."""
    return {
        "name": host_name(number).decode(),
        "address": ADDRESS,
        "zone": "a",
        "type": "plain",
        "group": number,
        "status": STATUSES[phase],
        "weight": RATE,
    }


class ListedRelay:
    """The network code of one relay that has heard of so many destinations."""

    def __init__(self, folder: Path, size: int, seed: int) -> None:
        self.size = size
        self._folder, self._seed = folder, seed
        self._told_waits = 0

    async def __aenter__(self) -> ListedRelay:
        loop = asyncio.get_running_loop()
        self._silent = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        given = settings()
        whole = {"index": 1, "snapshot": True, "endpoints": [row(number) for number in range(self.size)]}
        config = Config(
            name="scale",
            listen=("127.0.0.1", 0),
            control=None,
            discovery=self._silent.sockets[0].getsockname(),
            state=self._folder,
            seed=self._seed,
            limits=LIMITS,
            cached_list={"index": 0, "endpoints": []},
            settings=given,
            raw_settings=SETTINGS,
        )
        self.engine: DecisionEngine[OwedMessage] = DecisionEngine(
            given, LIMITS, self._seed, clock.monotonic_ns()
        )
        log, bounds = Log(NO_LOG), self.engine.bounds
        self._journal = Journal(
            self._folder, bounds.max_journal_file_bytes, bounds.max_journal_live_bytes, log.info
        )
        self.server = RelayServer(loop, config, self.engine, self._journal, log, Counters())
        self.server._receive_update(Change.FULL, decode_host_list(whole, given))
        self.engine.tick(clock.monotonic_ns())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.stop()
        self.server.close()
        self._journal.close()
        self._silent.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def walk_in_python(self) -> None:
        """From here on, each entry of a table that is visited counts among the instructions."""
        for owner in (self.engine._relay, self.engine, self.server, self.server._hosts):
            walk_in_python(owner)
        walk_in_python(self.server._retry_after_waits)
        walk_in_python(self.server._cordons)

    def change(self, number: int, phase: Phase) -> bytes:
        """What discovery says when one entry has changed."""
        return json.dumps({"index": 2, "snapshot": False, "endpoints": [row(number, phase)]}).encode()

    def hear(self, told: bytes) -> None:
        """Discovery has said that."""
        self.server._receive_update(
            Change.DELTA, decode_host_list(json.loads(told), self.server._service_classes.settings)
        )

    def fill_waits(self, count: int) -> None:
        """So many hosts have told a process beside this one to wait, which wrote it down."""
        now = clock.to_wall(clock.monotonic_ns())
        waits = {host_name(number).decode(): now + LONG_WAIT for number in range(count)}
        self.server._retry_after_waits._merge(waits)

    def told_wait(self, meter: AbstractContextManager) -> None:
        """A host tells this process to wait, longer each time."""
        self._told_waits += 1
        with meter:
            self.server._retry_after_waits.record_wait(
                host_name(self.size - 1).decode(), self._told_waits * SECOND
            )
