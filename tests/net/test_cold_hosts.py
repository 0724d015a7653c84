"""The state of recovering hosts survives a restart and reaches a concurrent process.

Otherwise a restarted relay would overload a host that is back from an outage (rule 4).
"""

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
    FILE_NAME,
    RecoveringHostsFile,
    RecoveringHostStore,
    Unreadable,
    decode_recovering_hosts,
    encode_recovering_hosts,
)
from millweir.net.journal import Journal

EJECTED = RecoveringHost(b"a", last_failure_at=5, slow_start_rate=0.5, recovered_at=0, limit=0.0)
IN_SLOW_START = RecoveringHost(b"b", last_failure_at=5, slow_start_rate=0.5, recovered_at=7, limit=0.0)
REFUSED = RecoveringHost(b"c", last_failure_at=6, slow_start_rate=0.0, recovered_at=0, limit=1.5)


class Decisions:
    """Stands in for the decision engine: recovering hosts, and which hosts are listed."""

    def __init__(self, *hosts, listed=()):
        self.hosts, self.listed, self.restored, self.recovering_changes = list(hosts), set(listed), [], 0

    def list_recovering_hosts(self):
        return self.hosts

    def restore_host(self, now, recovering):
        if recovering.host not in self.listed:
            return False
        self.restored.append(recovering)
        return True


class Lines(list):
    """Stands in for the log."""

    always = info = list.append


def make_store(folder, decisions, slot=0, lines=None):
    loop = asyncio.get_running_loop()
    return RecoveringHostStore(
        loop, folder, slot, decisions, lambda: None, Lines() if lines is None else lines
    )


def test_hosts_are_read_back_and_times_of_another_boot_count_as_now():
    hosts = [EJECTED, IN_SLOW_START, REFUSED]
    raw = encode_recovering_hosts(hosts, "this boot", 9)
    assert decode_recovering_hosts(raw, "this boot", 99) == RecoveringHostsFile(9, hosts)
    as_seen_now = RecoveringHostsFile(
        0, [replace(host, last_failure_at=99, recovered_at=0) for host in hosts]
    )
    for boot, written in (("another", raw), ("", encode_recovering_hosts(hosts, "", 9))):
        assert decode_recovering_hosts(written, boot, 99) == as_seen_now


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
        encode_recovering_hosts([EJECTED], "x", 1)[:-3],
    ],
)
def test_an_invalid_file_is_logged_and_ignored(raw, tmp_path):
    with pytest.raises(Unreadable):
        decode_recovering_hosts(raw, "x", 1)
    (tmp_path / FILE_NAME).write_bytes(raw)

    async def read():
        lines = Lines()
        make_store(tmp_path, Decisions(), lines=lines).read_file()
        return lines

    assert "cold-hosts-unreadable" in asyncio.run(read())[0]


def test_a_write_that_failed_is_repeated_until_the_folder_takes_it(tmp_path, monkeypatch):
    monkeypatch.setattr(cold_hosts, "WRITE_RETRY_SECONDS", 0.02)
    fails = iter([errno.ENOSPC, errno.EIO])
    rename = os.rename

    def failing(source, target):
        if number := next(fails, 0):
            raise OSError(number, "injected")
        rename(source, target)

    monkeypatch.setattr(os, "rename", failing)

    async def scene():
        decisions, lines = Decisions(EJECTED), Lines()
        store = make_store(tmp_path, decisions, lines=lines)
        store.schedule_write_if_changed()  # nothing has changed
        decisions.recovering_changes = 1
        store.schedule_write_if_changed()
        await asyncio.sleep(0.3)
        return lines

    lines = asyncio.run(scene())
    assert sum("cold-hosts-unwritten" in line for line in lines) == 2
    assert decode_recovering_hosts(
        (tmp_path / FILE_NAME).read_bytes(), clock.read_boot_id().hex(), 1
    ).hosts == [EJECTED]


def test_a_kill_while_the_file_is_replaced_loses_no_host(tmp_path):
    async def scene():
        written = Decisions(EJECTED)
        store = make_store(tmp_path, written)
        written.recovering_changes = 1
        store.schedule_write_if_changed()
        store.close()
        (tmp_path / FILE_NAME).rename(store._temporary_path)  # killed between the two steps
        read = Decisions(listed=[EJECTED.host])
        make_store(tmp_path, read).read_file()
        return read.restored

    assert asyncio.run(scene()) == [EJECTED]


def test_a_concurrent_process_reads_the_file_and_keeps_hosts_that_it_did_not_know(tmp_path):
    async def scene():
        old, new = Decisions(EJECTED), Decisions(REFUSED, listed=[b"a"])
        old_store, new_store = make_store(tmp_path, old), make_store(tmp_path, new, slot=1)
        old.recovering_changes = 1
        old_store.schedule_write_if_changed()
        old_store.close()
        new_store.read_file()
        assert new.restored == [EJECTED]
        new.hosts.append(EJECTED)
        new_store.close()  # the file lacked a host that this process knew
        old.listed.add(b"c")
        old_store.read_file()
        assert old.restored == [REFUSED]

    asyncio.run(scene())


def test_hosts_not_listed_yet_stay_in_the_file_and_are_restored_once_listed(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(encode_recovering_hosts([EJECTED], clock.read_boot_id().hex(), 1))

    async def scene():
        decisions = Decisions()
        store = make_store(tmp_path, decisions)
        store.read_file()
        decisions.recovering_changes = 1
        store.schedule_write_if_changed()
        store.close()
        assert b'"a"' in (tmp_path / FILE_NAME).read_bytes()
        decisions.listed.add(b"a")
        store.apply_to_hosts(["a", "other"])
        store.apply_to_hosts(["a"])
        assert [host.host for host in decisions.restored] == [b"a"]

    asyncio.run(scene())


def test_a_process_detects_another_one_that_holds_a_slot_of_its_folder(tmp_path):
    def journal():
        return Journal(tmp_path, 500_000, 400_000, print)

    old = journal()
    assert not old.has_concurrent_process()
    new = journal()
    assert old.has_concurrent_process() and new.has_concurrent_process()
    new.close()
    assert not old.has_concurrent_process()
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
        until((tmp_path / "state" / FILE_NAME).exists)
        relay.end(end)
        relay.start()
        until(lambda: "host-state peer=shut state=ejected cause='known before'" in relay.log())
    finally:
        relay.end()


def test_a_refusal_that_only_the_journal_holds_ejects_its_host(tmp_path):
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(503)
    relay = Program(platform, tmp_path)
    try:
        relay.hand_in("first", "again")
        until(lambda: "outcome=full" in relay.log())
        relay.end()
        (tmp_path / "state" / FILE_NAME).unlink(missing_ok=True)  # as if the folder had not taken the write
        relay.start()
        until(lambda: "state=ejected cause='known before'" in relay.log())
    finally:
        relay.end()
