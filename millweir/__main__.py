"""Starts one relay: python -m millweir."""

from __future__ import annotations

import asyncio
import errno
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.client_connection import ClientConnection
from millweir.net.config import Config, Misconfigured, read_config, read_file_stamp
from millweir.net.control import ControlListener
from millweir.net.counters import Counters
from millweir.net.desk import RelayServer
from millweir.net.ended import EndedIds
from millweir.net.journal import Journal
from millweir.net.log import Log, make_log_nonblocking
from millweir.net.owed_message import OwedMessage
from millweir.net.reload import ConfigReloader

if TYPE_CHECKING:
    from millweir.interface import Bounds
    from millweir.operator.start import Operator

TEMPORARY_ERRNOS = frozenset((errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EFBIG, errno.EMFILE, errno.ENFILE))
OPEN_RETRY_SECONDS = 0.1


async def open_journal(config: Config, bounds: Bounds, log: Log) -> Journal:
    """Open the journal of the state folder; retried while the folder temporarily takes no writes.

    Rule 1 (every accepted message gets a final outcome): if the start failed, nobody might start the relay
    again, and what is owed would get no outcome.
    """
    while True:
        try:
            return Journal(
                config.state,
                bounds.max_journal_file_bytes,
                bounds.max_journal_live_bytes,
                log.info,
                EndedIds(bounds.max_known_ids, bounds.known_id_time_ns),
            )
        except OSError as error:
            if error.errno not in TEMPORARY_ERRNOS:
                raise
            log.info(f"journal-failed start {error}")
            await asyncio.sleep(OPEN_RETRY_SECONDS)


async def serve(config: Config, operator: Operator | None = None) -> None:
    """Run the relay until a signal stops it."""
    loop, counters = asyncio.get_running_loop(), Counters()
    engine: DecisionEngine[OwedMessage] = DecisionEngine(
        config.settings, config.limits, config.seed, clock.monotonic_ns()
    )
    bounds = engine.bounds
    log = Log(bounds.max_log_lines_per_second)
    loop.set_exception_handler(
        lambda _, context: log.info(f"fault {context.get('message')} {context.get('exception')!r}")
    )
    journal = await open_journal(config, bounds, log)
    if journal.torn_bytes:
        log.always(f"journal-torn dropped_bytes={journal.torn_bytes}")
    server = RelayServer(loop, config, engine, journal, log, counters)

    def begin_shutdown() -> None:
        server.begin_shutdown()
        if operator:
            operator.leave()

    loop.add_signal_handler(signal.SIGTERM, begin_shutdown)
    loop.add_signal_handler(signal.SIGINT, begin_shutdown)
    reloader = ConfigReloader(config, os.environ, server, log)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    # The file may have changed, and its SIGHUP arrived, while the signal was ignored.
    if read_file_stamp(config.path) != config.file_stamp:
        loop.call_soon(reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.always(counters.format_log_line()))
    if operator:
        await operator.start(config.name, config.state)
    # The port is shared with the process that replaces this one in an upgrade, or is replaced by it.
    socket_server = await loop.create_server(
        lambda: ClientConnection(server.clients), *config.listen, backlog=512, reuse_port=True
    )
    if config.control:
        listener = ControlListener(loop, server)
        await loop.create_server(listener.create_connection, *config.control, backlog=64)
    log.always(
        f"ready name={config.name} listen={':'.join(map(str, config.listen))} "
        f"discovery={':'.join(map(str, config.discovery))} owed={len(journal.owed)}"
    )
    # A collection of the whole heap pauses a turn by 0.2 s.  The objects alive now stay alive, and those
    # created later form no reference cycles, so they are frozen and full collections are made rare.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*gc.get_threshold()[:2], 1000)
    gc.enable()
    await server.stopped
    socket_server.close()
    await server.clients.shut_down(bounds.client_close_timeout_ns)
    server.close()
    await asyncio.sleep(0)
    if operator:
        await operator.stop()
    log.always(counters.format_log_line())


def main() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is handled: the file is read below anyway
    gc.disable()  # until the journal is read: all objects stay alive, so there is nothing to collect
    make_log_nonblocking()
    operator = None
    try:
        if len(sys.argv) > 1:  # without arguments only the code of the platform's protocol is loaded
            from millweir.operator.start import InvalidOperatorFile, Operator

            try:
                operator = Operator(sys.argv[1:])
            except InvalidOperatorFile as error:
                sys.exit(f"millweir: {error}")
        config = read_config(os.environ)
        uvloop.run(serve(config, operator))
    except (Misconfigured, OSError, ValueError) as error:
        sys.exit(f"millweir: {error}")


if __name__ == "__main__":
    main()
