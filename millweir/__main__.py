"""Start one relay: python -m millweir."""

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
from millweir.net.clients import ClientConnection
from millweir.net.config import Config, Misconfigured, config_stamp, read_config
from millweir.net.control import ControlListener
from millweir.net.counters import Counters
from millweir.net.desk import Desk
from millweir.net.journal import Journal, OwedMessage
from millweir.net.log import Log

if TYPE_CHECKING:
    from millweir.interface import Bounds
    from millweir.operator.start import Operator

FOR_A_WHILE = frozenset((errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EFBIG, errno.EMFILE, errno.ENFILE))
OPEN_AGAIN_AFTER = 0.1  # seconds


def reload(config: Config, desk: Desk, log: Log) -> None:
    """Read the configuration once more; one that can't be used changes nothing."""
    try:
        fresh = read_config(os.environ, again=True, start=config)
    except Misconfigured as fault:
        desk.reloads[1] += 1
        log.always(f"reload-failed {str(fault)[:300]}")
        return
    desk.reloads[0] += 1
    parts = ("listen", "control", "state", "limits")
    later = [part for part in parts if getattr(config, part) != getattr(fresh, part)]
    log.always(
        f"reloaded discovery={':'.join(map(str, fresh.discovery))} "
        f"at-next-start={','.join(later) or 'none'}"
    )
    desk.reload(fresh)


async def open_journal(config: Config, bounds: Bounds, log: Log) -> Journal:
    """The journal of the state folder; where that takes no writes for a while, it is tried again.

    Guards rule 1: a start that ends leaves what is owed without its ends, and nobody may start it again.
    """
    while True:
        try:
            return Journal(
                config.state, bounds.max_journal_file_bytes, bounds.max_journal_live_bytes, log.info
            )
        except OSError as fault:
            if fault.errno not in FOR_A_WHILE:
                raise
            log.info(f"journal-failed start {fault}")
            await asyncio.sleep(OPEN_AGAIN_AFTER)


async def serve(config: Config, operator: Operator | None = None) -> None:
    """Run until told to stop."""
    loop, counters = asyncio.get_running_loop(), Counters()
    engine: DecisionEngine[OwedMessage] = DecisionEngine(
        config.settings, config.limits, config.seed, clock.monotonic_ns()
    )
    bounds = engine.bounds
    log = Log(bounds.max_log_lines_per_second)
    loop.set_exception_handler(
        lambda _, what: log.info(f"fault {what.get('message')} {what.get('exception')!r}")
    )
    journal = await open_journal(config, bounds, log)
    if journal.torn:
        log.always(f"journal-torn dropped_bytes={journal.torn}")
    desk = Desk(loop, config, engine, journal, log, counters)

    def leave() -> None:
        desk.leave()
        if operator:
            operator.leave()

    loop.add_signal_handler(signal.SIGTERM, leave)
    loop.add_signal_handler(signal.SIGINT, leave)
    loop.add_signal_handler(signal.SIGHUP, reload, config, desk, log)
    if config_stamp(config.path) != config.stamp:  # its SIGHUP may have come while none was heeded
        loop.call_soon(reload, config, desk, log)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.always(counters.format_log_line()))
    if operator:
        await operator.start(config.name, config.state)
    # Shared with a process that replaces this one, or is replaced by it (an upgrade).
    server = await loop.create_server(
        lambda: ClientConnection(desk.clients), *config.listen, backlog=512, reuse_port=True
    )
    if config.control:
        listener = ControlListener(loop, desk)
        await loop.create_server(listener.link, *config.control, backlog=64)
    log.always(
        f"ready name={config.name} listen={':'.join(map(str, config.listen))} "
        f"discovery={':'.join(map(str, config.discovery))} owed={len(journal.owed)}"
    )
    # Guards turns against pauses of 0.2 s: what is there now stays, and what comes holds no circles, so that
    # the whole heap hardly ever needs a walk.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*gc.get_threshold()[:2], 1000)
    gc.enable()
    await desk.stopped
    server.close()
    await desk.clients.shut_down(bounds.client_close_timeout_ns)
    desk.close()
    await asyncio.sleep(0)
    if operator:
        await operator.stop()
    log.always(counters.format_log_line())


def main() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is heeded: what it tells of is read below anyway
    gc.disable()  # until the journal is read: all that it holds stays, so there is nothing to collect
    operator = None
    try:
        if len(sys.argv) > 1:  # without arguments nothing beyond the platform's protocol is loaded
            from millweir.operator.start import Operator, Unusable

            try:
                operator = Operator(sys.argv[1:])
            except Unusable as fault:
                sys.exit(f"millweir: {fault}")
        config = read_config(os.environ)
        uvloop.run(serve(config, operator))
    except (Misconfigured, OSError, ValueError) as fault:
        sys.exit(f"millweir: {fault}")


if __name__ == "__main__":
    main()
