"""File descriptors when idle clients take all they can get: the reserve, and what is closed first."""

import contextlib
import os
import resource
import signal
import socket
import time
from pathlib import Path

import pytest
from rig import Platform, Program, reply, settings, until

from millweir.control import bounds
from millweir.interface import SECOND, Limits
from millweir.net.config import limit_descriptors
from millweir.net.control import MAX_CONTROL_CONNECTIONS
from millweir.net.journal import FILE_NAME, Journal
from millweir.net.owed_message import OwedMessage
from net.inside import request, run_with_relay

# 17 on a running relay: loop, signals, standard streams, listeners, lock, journal and its reserve.  4 while
# the platform's address changes: two connections each for discovery and notifications.  3 during an upgrade:
# a new file, a lock and a file that is read.  3 connections closed one loop iteration after their end.
RESERVED_DESCRIPTORS = 17 + 4 + 3 + 3


@contextlib.contextmanager
def exhaust_descriptors():
    """Lower the limit so that opening the next descriptor fails with EMFILE."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.open(os.devnull, os.O_RDONLY)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.mark.parametrize("descriptors", [256, 512, 1024])
def test_the_limits_leave_descriptors_for_discovery_notifications_and_the_journal(descriptors):
    given = bounds(settings(), Limits(descriptors, 1 << 20, 192 << 20))
    clients, hosts = (
        given.max_client_connections + given.max_client_connections // 4,
        given.max_host_connections,
    )
    assert clients + hosts + MAX_CONTROL_CONNECTIONS + RESERVED_DESCRIPTORS <= descriptors


def test_the_system_limit_applies_where_it_is_lower_than_the_configured_one():
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, before[1]))
    try:
        assert limit_descriptors(1024) == 200 and limit_descriptors(150) == 150
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.mark.parametrize("start", ["empty", "resumed"])
def test_the_journal_is_compacted_even_when_all_other_descriptors_are_taken(tmp_path, start):
    journal = Journal(tmp_path, 2000, 1500, print)
    if start == "resumed":  # an earlier process's file is continued
        journal.record_accepted(OwedMessage(b"first", b"again", b"", b"", b"", 0, 1, b"x" * 100))
        journal.close()
        file = (tmp_path / FILE_NAME).stat().st_ino
        journal = Journal(tmp_path, 2000, 1500, print)
        assert (tmp_path / FILE_NAME).stat().st_ino == file
        journal.record_ended(journal.owed[1])
    with exhaust_descriptors():
        with pytest.raises(OSError, match="Too many open files"):
            os.open(os.devnull, os.O_RDONLY)
        for n in range(40):  # fills the file several times
            message = OwedMessage(b"r%d" % n, b"again", b"", b"", b"", 0, 1, b"x" * 100)
            journal.record_accepted(message)
            if n != 7:
                journal.record_ended(message)
    journal.close()
    again = Journal(tmp_path, 2000, 1500, print)
    assert [message.id for message in again.owed.values()] == [b"r7"]
    again.close()


def test_idle_connections_to_hosts_are_closed_for_calls(tmp_path, monkeypatch):
    platform = Platform(hosts=0)
    for group in range(8):
        platform.add(f"g{group}", group=group)

    async def steps(relay):
        (client,) = await relay.connect_clients()
        for group in range(4):
            client.send(request(f"first{group}", dest=group))
        await relay.until(lambda: len(platform.calls) == 4 and not relay.server._owed)
        hosts = relay.server._hosts
        idle = list(hosts._idle)  # longest idle first
        gone = int(hosts._idle[idle[0]].name.removeprefix("g"))
        assert len(idle) == 4
        platform.decide = lambda call: reply(200) if call.id == "last" else None
        client.send(request("held4", dest=4) + request("held5", dest=5))
        await relay.until(lambda: len(platform.calls) == 6)
        assert list(hosts._idle) == idle[2:]
        client.send(request("held6", dest=6) + request("held7", dest=7))
        await relay.until(lambda: len(platform.calls) == 8)
        assert list(hosts._idle) == idle[2:]  # idle connections keep half of the limit
        client.send(request("last", dest=gone))
        await relay.until(lambda: len(platform.calls) == 9 and b"last" not in relay.server._owed)
        assert len(hosts._idle) == 2  # the end of a call does not add to them

    run_with_relay(platform, tmp_path, monkeypatch, steps, max_host_connections=4)


def test_a_burst_of_connections_holds_no_more_descriptors_than_the_listener_allows(tmp_path, monkeypatch):
    async def steps(relay):
        listener, used = relay.server.clients, set()
        add_connection = listener.add_connection

        def record_descriptor(connection):
            # The system assigns the lowest free descriptor.
            used.add(connection._transport.get_extra_info("socket").fileno())
            add_connection(connection)

        monkeypatch.setattr(listener, "add_connection", record_descriptor)
        for _ in range(120):  # all connect before the loop runs on
            relay.client()
        before = relay.server._counters.counts["clients_opened"]
        await relay.until(lambda: relay.server._counters.counts["clients_opened"] >= before + 120)
        assert len(used) <= 8 + 8 // 4 + 3  # 3 are closed one loop iteration after their end

    run_with_relay(
        Platform(hosts=1), tmp_path, monkeypatch, steps, max_client_connections=8, client_grace_ns=60 * SECOND
    )


def open_idle_connections(port, count):
    found = []
    for _ in range(count):
        connection = socket.socket()
        connection.settimeout(5)
        connection.connect(("127.0.0.1", port))
        found.append(connection)
    return found


def read_processor_time(program):
    fields = Path(f"/proc/{program.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def count_received_lists(program):
    """Return how many responses of discovery were lists."""
    lines = program.ask("GET", "/counters/all")[1].decode().split("\n")
    counts = dict(line.split(" ") for line in lines if line)
    return int(counts.get("lists_told", 0))  # a count of zero is not printed


def count_descriptors(program):
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@contextlib.contextmanager
def run_program(platform, folder):
    original_limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(2048, original_limits[1]), original_limits[1]))
    program = Program(platform, folder)
    try:
        yield program
    finally:
        program.process.kill()
        program.process.wait()
        resource.setrlimit(resource.RLIMIT_NOFILE, original_limits)


def test_idle_clients_during_a_discovery_outage_block_neither_other_clients_nor_the_list(
    tmp_path,
):
    platform = Platform(hosts=2)
    with run_program(platform, tmp_path) as program:
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (256, 256))
        platform.silent = True
        for connection in platform.endpoints["discovery"][1]:
            connection.shutdown(socket.SHUT_RDWR)
        program.send_signal(signal.SIGSTOP)  # all have connected when it continues
        crowd = open_idle_connections(program.port, 300)
        program.send_signal(signal.SIGCONT)
        assert program.hand_in("amid") == 202
        until(lambda: platform.sent("amid"))
        crowd += open_idle_connections(program.port, 300)
        # There are no idle connections to hosts and no control connections.
        assert count_descriptors(program) <= 256 - 64 - MAX_CONTROL_CONNECTIONS
        before = count_received_lists(program)
        platform.add("h0", status="DRAINING")
        platform.silent = False
        for connection in platform.endpoints["discovery"][1]:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        until(lambda: count_received_lists(program) > before, 6.0)
        assert program.hand_in("after") == 202
        until(lambda: platform.sent("after"))
        assert b"connects_failed" not in program.ask("GET", "/counters/all")[1]
        for connection in crowd:
            connection.close()


def test_an_accept_without_a_free_descriptor_does_not_spin_and_service_resumes(tmp_path):
    platform = Platform(hosts=1)
    with run_program(platform, tmp_path) as program:
        # The limit drops after the start, to fewer descriptors than the limit of client connections.
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (count_descriptors(program) + 8, 256))
        crowd = open_idle_connections(program.port, 100)
        before, end = read_processor_time(program), time.monotonic() + 1.0
        while time.monotonic() < end:
            crowd += open_idle_connections(program.port, 5)
            time.sleep(0.05)
        assert read_processor_time(program) - before < 0.5
        for connection in crowd:
            connection.close()
        until(lambda: program.get("/ready") == 200)
        assert program.hand_in("after") == 202
        until(lambda: platform.sent("after"))
