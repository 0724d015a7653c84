"""What a relay knows of outages outlasts its process, and a process beside it hears of it (rule 4)."""

import asyncio
import errno
import os
import signal
import socket
from dataclasses import replace

import pytest
from rig import Platform, Program, reply, until

from millweir.events import RecoveringHost
from millweir.net import clock, cold_hosts
from millweir.net.cold_hosts import (
    FILE,
    ColdHostsFile,
    KnownColdHosts,
    Unreadable,
    decode_cold_hosts,
    encode_cold_hosts,
)
from millweir.net.journal import Journal

EJECTED = RecoveringHost(b"a", last_failure_at=5, slow_start_rate=0.5, recovered_at=0, limit=0.0)
IN_SLOW_START = RecoveringHost(b"b", last_failure_at=5, slow_start_rate=0.5, recovered_at=7, limit=0.0)
REFUSED = RecoveringHost(b"c", last_failure_at=6, slow_start_rate=0.0, recovered_at=0, limit=1.5)


class Decisions:
    """Stands in for the facade: what is cold, and which hosts are listed."""

    def __init__(self, *hosts, listed=()):
        self.hosts, self.listed, self.told, self.recovering_changes = list(hosts), set(listed), [], 0

    def list_recovering_hosts(self):
        return self.hosts

    def restore_host(self, now, cold):
        if cold.host not in self.listed:
            return False
        self.told.append(cold)
        return True


class Lines(list):
    """Stands in for the log."""

    always = info = list.append


def known(folder, decisions, slot=0, lines=None):
    loop = asyncio.get_running_loop()
    return KnownColdHosts(loop, folder, slot, decisions, lambda: None, Lines() if lines is None else lines)


def test_hosts_are_read_back_and_times_of_another_boot_count_as_now():
    hosts = [EJECTED, IN_SLOW_START, REFUSED]
    raw = encode_cold_hosts(hosts, "this boot", 9)
    assert decode_cold_hosts(raw, "this boot", 99) == ColdHostsFile(9, hosts)
    as_seen_now = ColdHostsFile(0, [replace(host, last_failure_at=99, recovered_at=0) for host in hosts])
    for boot, written in (("another", raw), ("", encode_cold_hosts(hosts, "", 9))):
        assert decode_cold_hosts(written, boot, 99) == as_seen_now


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b'{"hosts": {}}',
        b'{"boot": "x", "written_at": 1, "hosts": []}',
        b'{"boot": "x", "written_at": "", "hosts": {}}',
        b'{"boot": "x", "written_at": 1, "hosts": {"a": [1, 2]}}',
        b'{"boot": "x", "written_at": 1, "hosts": {"a": [1, -2, 0, 0]}}',
        b'{"boot": "x", "written_at": 1, "hosts": {"a": [1, NaN, 0, 0]}}',
        b'{"boot": "x", "written_at": 1, "hosts": {"a": ["1", 2, 0, 0]}}',
        encode_cold_hosts([EJECTED], "x", 1)[:-3],
    ],
)
def test_a_torn_or_foreign_file_is_a_line_in_the_log(raw, tmp_path):
    with pytest.raises(Unreadable):
        decode_cold_hosts(raw, "x", 1)
    (tmp_path / FILE).write_bytes(raw)

    async def read():
        lines = Lines()
        known(tmp_path, Decisions(), lines=lines).read()
        return lines

    assert "cold-hosts-unreadable" in asyncio.run(read())[0]


def test_what_a_failing_folder_did_not_take_is_written_once_it_does(tmp_path, monkeypatch):
    monkeypatch.setattr(cold_hosts, "WRITE_AGAIN_AFTER", 0.02)
    fails = iter([errno.ENOSPC, errno.EIO])
    rename = os.replace

    def failing(source, target):
        if number := next(fails, 0):
            raise OSError(number, "injected")
        rename(source, target)

    monkeypatch.setattr(os, "replace", failing)

    async def scene():
        decisions, lines = Decisions(EJECTED), Lines()
        kept = known(tmp_path, decisions, lines=lines)
        kept.note_changes()  # nothing has changed
        decisions.recovering_changes = 1
        kept.note_changes()
        await asyncio.sleep(0.3)
        return lines

    lines = asyncio.run(scene())
    assert sum("cold-hosts-unwritten" in line for line in lines) == 2
    assert decode_cold_hosts((tmp_path / FILE).read_bytes(), clock.read_boot_id().hex(), 1).hosts == [EJECTED]


def test_a_process_beside_hears_of_it_and_what_it_had_not_known_stays_in_the_file(tmp_path):
    async def scene():
        old, new = Decisions(EJECTED), Decisions(REFUSED, listed=[b"a"])
        of_old, of_new = known(tmp_path, old), known(tmp_path, new, slot=1)
        old.recovering_changes = 1
        of_old.note_changes()
        of_old.close()
        of_new.read()
        assert new.told == [EJECTED]
        new.hosts.append(EJECTED)
        of_new.close()  # the file lacked what it knew itself
        old.listed.add(b"c")
        of_old.read()
        assert old.told == [REFUSED]

    asyncio.run(scene())


def test_hosts_not_listed_yet_are_told_once_they_are_and_stay_in_the_file(tmp_path):
    (tmp_path / FILE).write_bytes(encode_cold_hosts([EJECTED], clock.read_boot_id().hex(), 1))

    async def scene():
        decisions = Decisions()
        kept = known(tmp_path, decisions)
        kept.read()
        decisions.recovering_changes = 1
        kept.note_changes()
        kept.close()
        assert b'"a"' in (tmp_path / FILE).read_bytes()
        decisions.listed.add(b"a")
        kept.bind(["a", "other"])
        kept.bind(["a"])
        assert [host.host for host in decisions.told] == [b"a"]

    asyncio.run(scene())


def test_a_process_sees_whether_another_one_holds_a_slot_of_its_folder(tmp_path):
    def journal():
        return Journal(tmp_path, 500_000, 400_000, print)

    old = journal()
    assert not old.process_beside()
    new = journal()
    assert old.process_beside() and new.process_beside()
    new.close()
    assert not old.process_beside()
    old.close()


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
def test_a_host_ejected_before_the_end_of_a_process_is_still_so_after_it(end, tmp_path):
    platform = Platform(hosts=0)
    with socket.create_server(("127.0.0.1", 0)) as free:
        platform.add("shut", address=f"127.0.0.1:{free.getsockname()[1]}")
    relay = Program(platform, tmp_path)
    try:
        relay.hand_in("first", "again")
        until(lambda: "host-state peer=shut state=ejected" in relay.log())
        assert "outcome=unconnected finished=False wait_ms=0 state=" in relay.log()
        until((tmp_path / "state" / FILE).exists)
        relay.end(end)
        relay.start()
        until(lambda: "host-state peer=shut state=ejected cause='known before'" in relay.log())
    finally:
        relay.end()


def test_a_refusal_that_only_the_journal_holds_makes_its_host_cold(tmp_path):
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(503)
    relay = Program(platform, tmp_path)
    try:
        relay.hand_in("first", "again")
        until(lambda: "outcome=full" in relay.log())
        relay.end()
        (tmp_path / "state" / FILE).unlink(missing_ok=True)  # as if the folder had not taken it
        relay.start()
        until(lambda: "state=ejected cause='known before'" in relay.log())
    finally:
        relay.end()
