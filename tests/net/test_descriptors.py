"""Descriptors while idle clients take all that they can get: what is kept back, and what gives way first."""

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
from millweir.net.config import read_descriptors
from millweir.net.control import LINKS_MOST
from millweir.net.journal import FILE, Journal, OwedMessage
from net.inside import play, request

# Loop, signals, standard streams, listeners, lock, journal and its reserve: 17 on a running relay.  Two feeds
# and two links for notices in a move; a new file, a lock and a file that are read in a hand-over; three
# connections that are closed a turn after their end.
KEPT_BACK = 17 + 4 + 3 + 3


@contextlib.contextmanager
def no_more_descriptors():
    """Each descriptor below the limit is taken: the next one fails as with EMFILE."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.open(os.devnull, os.O_RDONLY)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.mark.parametrize("descriptors", [256, 512, 1024])
def test_clients_hosts_and_control_leave_what_discovery_notices_and_the_journal_need(descriptors):
    given = bounds(settings(), Limits(descriptors, 1 << 20, 192 << 20))
    clients, hosts = (
        given.max_client_connections + given.max_client_connections // 4,
        given.max_host_connections,
    )
    assert clients + hosts + LINKS_MOST + KEPT_BACK <= descriptors


def test_the_systems_limit_binds_where_it_is_lower_than_the_one_told():
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, before[1]))
    try:
        assert read_descriptors(1024) == 200 and read_descriptors(150) == 150
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.mark.parametrize("start", ["empty", "resumed"])
def test_the_journal_is_written_anew_also_when_all_other_descriptors_are_taken(tmp_path, start):
    journal = Journal(tmp_path, 2000, 1500, print)
    if start == "resumed":  # the file of an earlier life is gone on with
        journal.taken(OwedMessage(b"first", b"again", b"", b"", b"", 0, 1, b"x" * 100))
        journal.close()
        file = (tmp_path / FILE).stat().st_ino
        journal = Journal(tmp_path, 2000, 1500, print)
        assert (tmp_path / FILE).stat().st_ino == file
        journal.over(journal.owed[1])
    with no_more_descriptors():
        with pytest.raises(OSError, match="Too many open files"):
            os.open(os.devnull, os.O_RDONLY)
        for n in range(40):  # the file is full several times over
            message = OwedMessage(b"r%d" % n, b"again", b"", b"", b"", 0, 1, b"x" * 100)
            journal.taken(message)
            if n != 7:
                journal.over(message)
    journal.close()
    again = Journal(tmp_path, 2000, 1500, print)
    assert [message.id for message in again.owed.values()] == [b"r7"]
    again.close()


def test_idle_links_to_hosts_make_way_for_calls(tmp_path, monkeypatch):
    platform = Platform(hosts=0)
    for group in range(8):
        platform.add(f"g{group}", group=group)

    async def steps(relay):
        (client,) = await relay.rested()
        for group in range(4):
            client.send(request(f"first{group}", dest=group))
        await relay.until(lambda: len(platform.calls) == 4 and not relay.desk._owed)
        hosts = relay.desk._hosts
        idle = list(hosts._idle)  # the one idle longest first
        gone = int(hosts._idle[idle[0]].name.removeprefix("g"))
        assert len(idle) == 4
        platform.decide = lambda call: reply(200) if call.id == "last" else None
        client.send(request("held4", dest=4) + request("held5", dest=5))
        await relay.until(lambda: len(platform.calls) == 6)
        assert list(hosts._idle) == idle[2:]
        client.send(request("held6", dest=6) + request("held7", dest=7))
        await relay.until(lambda: len(platform.calls) == 8)
        assert list(hosts._idle) == idle[2:]  # half of the bound is left to them
        client.send(request("last", dest=gone))
        await relay.until(lambda: len(platform.calls) == 9 and b"last" not in relay.desk._owed)
        assert len(hosts._idle) == 2  # a call that has ended leaves no more of them

    play(platform, tmp_path, monkeypatch, steps, max_host_connections=4)


def test_a_burst_of_connections_holds_no_more_descriptors_at_once_than_the_door_allows(tmp_path, monkeypatch):
    async def steps(relay):
        listener, used = relay.desk.clients, set()
        opened = listener.opened

        def noted(link):
            used.add(link._transport.get_extra_info("socket").fileno())  # the lowest that is free
            opened(link)

        monkeypatch.setattr(listener, "opened", noted)
        for _ in range(120):  # all of them are there before the loop turns
            relay.client()
        before = relay.desk._counters.counts["clients_opened"]
        await relay.until(lambda: relay.desk._counters.counts["clients_opened"] >= before + 120)
        assert len(used) <= 8 + 8 // 4 + 3  # those closed a turn after their end

    play(
        Platform(hosts=1), tmp_path, monkeypatch, steps, max_client_connections=8, client_grace_ns=60 * SECOND
    )


def idle_connections(port, count):
    found = []
    for _ in range(count):
        link = socket.socket()
        link.settimeout(5)
        link.connect(("127.0.0.1", port))
        found.append(link)
    return found


def processor_time(program):
    fields = Path(f"/proc/{program.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def told(program):
    """How many answers of discovery were lists."""
    lines = program.ask("GET", "/counters/all")[1].decode().split("\n")
    counts = dict(line.split(" ") for line in lines if line)
    return int(counts.get("lists_told", 0))  # a count of none is not printed


def descriptors_of(program):
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@contextlib.contextmanager
def running(platform, folder):
    most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(2048, most[1]), most[1]))
    program = Program(platform, folder)
    try:
        yield program
    finally:
        program.process.kill()
        program.process.wait()
        resource.setrlimit(resource.RLIMIT_NOFILE, most)


def test_a_crowd_of_idle_clients_while_discovery_is_down_keeps_nobody_from_the_relay_nor_it_from_its_list(
    tmp_path,
):
    platform = Platform(hosts=2)
    with running(platform, tmp_path) as program:
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (256, 256))
        platform.silent = True
        for link in platform.endpoints["discovery"][1]:
            link.shutdown(socket.SHUT_RDWR)
        program.send_signal(signal.SIGSTOP)  # they are all there when it goes on
        crowd = idle_connections(program.port, 300)
        program.send_signal(signal.SIGCONT)
        assert program.hand_in("amid") == 202
        until(lambda: platform.sent("amid"))
        crowd += idle_connections(program.port, 300)
        assert descriptors_of(program) <= 256 - 64 - LINKS_MOST  # no idle links to hosts, no control calls
        before = told(program)
        platform.add("h0", status="DRAINING")
        platform.silent = False
        for link in platform.endpoints["discovery"][1]:
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
        until(lambda: told(program) > before, 6.0)
        assert program.hand_in("after") == 202
        until(lambda: platform.sent("after"))
        assert b"connects_failed" not in program.ask("GET", "/counters/all")[1]
        for link in crowd:
            link.close()


def test_an_accept_that_finds_no_descriptor_does_not_spin_and_service_goes_on_when_there_is_room(tmp_path):
    platform = Platform(hosts=1)
    with running(platform, tmp_path) as program:
        # The system gives less than it told: fewer than the clients' part.
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (descriptors_of(program) + 8, 256))
        crowd = idle_connections(program.port, 100)
        before, end = processor_time(program), time.monotonic() + 1.0
        while time.monotonic() < end:
            crowd += idle_connections(program.port, 5)
            time.sleep(0.05)
        assert processor_time(program) - before < 0.5
        for link in crowd:
            link.close()
        until(lambda: program.get("/ready") == 200)
        assert program.hand_in("after") == 202
        until(lambda: platform.sent("after"))
