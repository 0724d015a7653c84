"""The end of the process, and what comes in the very moment of it, on real sockets."""

import asyncio
import contextlib
import os
import signal
import threading
import time

import pytest
from rig import Platform, Program, reply, until

from millweir.interface import SECOND
from net.inside import GatedLoop, request, run_with_relay
from net.test_restored import STATE, Gated, owed, start  # noqa: F401


@pytest.mark.parametrize("count, each", [(1, 1), (80, 1), (1, 200)])
def test_what_is_in_the_sockets_at_the_stop_is_refused_whole(tmp_path, monkeypatch, count, each):
    platform = Platform(hosts=1)

    async def steps(relay):
        clients = await relay.connect_clients(count)
        for n, client in enumerate(clients):
            client.send(b"".join(request(f"p{n}-{at}") for at in range(each)))
        relay.desk.leave()  # the loop has not turned since
        relay.desk.stop()
        for client in clients:
            await client.end()
            assert client.whole and set(client.answers) == {503}
        await asyncio.wait_for(relay.server_task, 2)
        assert not platform.calls and not relay.owed()

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_stop_between_reading_and_answering_leaves_no_request_without_its_answer(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        desk = relay.desk
        clients = await relay.connect_clients(
            5 * desk._bounds.max_requests_per_turn // 4
        )  # more than one turn answers

        def arrived():
            monkeypatch.setattr(desk.clients, "_wake", desk.wake)
            assert len(desk.clients.received_requests) == len(clients)
            desk.stop()
            desk.wake()

        monkeypatch.setattr(desk.clients, "_wake", arrived)
        for client in clients:
            client.send(b"GET /ready HTTP/1.1\r\n\r\n")
        for client in clients:
            assert await client.statuses(1) == [200] and (await client.end()).whole

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_request_read_in_part_at_the_stop_is_refused_once_it_is_whole(tmp_path, monkeypatch):
    platform, raw = Platform(hosts=1), request("half")

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(raw[:60])
        relay.desk.leave()
        await relay.until(lambda: relay.desk.clients._connections)
        client.send(raw[60:])
        assert await client.statuses(1) == [503] and (await client.end()).whole

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_request_that_comes_after_its_connections_end_was_begun_is_never_taken(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        client, sentinel = await relay.connect_clients(2)
        relay.desk.leave()
        await client.end()  # a resting connection is closed
        client.send(request("late") * 20)
        client.ended = False
        sentinel.send(request("late"))
        await relay.until(lambda: relay.desk.clients._connections == {} or client.reset)
        relay.desk.stop()
        await asyncio.wait_for(relay.server_task, 2)
        assert not client.reset and not client.answers
        assert not platform.calls and not relay.owed()

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_connection_that_has_just_come_up_is_heard_before_it_is_closed(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        client = relay.client()
        await relay.until(lambda: relay.desk.clients._connections)
        relay.desk.leave()
        await asyncio.sleep(0.05)
        client.send(request("new"))
        assert await client.statuses(1) == [503] and (await client.end()).whole

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_call_whose_last_byte_is_held_at_the_end_of_the_process_never_ran(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(request("held", "once"))
        assert await client.statuses(1) == [202]
        await relay.until(lambda: any(call.connection for call in relay.desk._hosts._calls.values()))
        relay.desk.stop()
        await asyncio.wait_for(relay.server_task, 2)
        assert not platform.calls and relay.owed() == {"held": 0}  # the next start tries it

    run_with_relay(platform, tmp_path, monkeypatch, steps, last_byte_hold_ns=60 * SECOND)


def test_a_link_that_comes_up_after_the_end_was_begun_carries_nothing(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        (client,) = await relay.connect_clients()
        gate = relay.desk._hosts.loop = GatedLoop(relay.desk._hosts.loop)
        client.send(request("dialled", "once"))
        assert await client.statuses(1) == [202]
        await relay.until(lambda: gate.waiting)
        relay.desk.close()
        gate.open.set()
        await asyncio.sleep(0.1)  # many turns: time enough for a call that did go out to be seen
        assert not platform.calls
        relay.desk.stop()
        await asyncio.wait_for(relay.server_task, 2)
        assert relay.owed() == {"dialled": 0}

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_second_sigterm_changes_nothing(tmp_path, start):  # noqa: F811
    platform = Platform(hosts=1)
    platform.decide = lambda call: None
    program = start(platform)
    program.hand_in("once", "once")
    until(lambda: platform.calls)
    began = time.monotonic()
    program.send_signal(signal.SIGTERM)
    until(lambda: "leaving" in program.log())
    program.send_signal(signal.SIGTERM)
    assert program.process.wait(6) == 0 and 3 < time.monotonic() - began < 3.7
    assert program.log().count("leaving owed=") == 1


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_signal_at_the_start_leaves_all_that_is_owed_for_the_next(tmp_path, start, number):  # noqa: F811
    platform = Gated(hosts=1)
    owed(tmp_path / STATE, *((f"a{n}".encode(), b"again", 0) for n in range(5)))
    owed(tmp_path / STATE, *((f"b{n}".encode(), b"once", 0) for n in range(5)), slot=1)  # to be adopted
    started, begun = [], Program.start

    def starting(self, *args, **given):
        started.append(self)
        return begun(self, *args, **given)

    def when_asked():
        os.kill(started[0].process.pid, number)
        gone.set()

    gone, platform.when_asked = threading.Event(), when_asked
    Program.start = starting
    try:
        with contextlib.suppress(AssertionError):  # it may have been ready before
            start(platform)
    finally:
        Program.start = begun
    assert gone.wait(5)
    started[0].process.wait(6)
    started[0].start()
    until(lambda: len(platform.calls) == 10)
    time.sleep(0.2)
    assert sorted(call.id for call in platform.calls) == [f"{kind}{n}" for kind in "ab" for n in range(5)]
    assert not platform.notifications
    started[0].end()


def test_a_call_answered_in_the_turn_of_the_stop_has_its_end(tmp_path, monkeypatch):
    platform, release = Platform(hosts=1), threading.Event()
    platform.decide = lambda call: release.wait(5) and reply(200)

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(request("out", "once"))
        assert await client.statuses(1) == [202]
        await relay.until(lambda: platform.calls)
        release.set()
        await asyncio.sleep(0)
        time.sleep(0.1)  # the loop stands still while the answer reaches its socket
        relay.desk.leave()
        await asyncio.sleep(0)
        await relay.until(lambda: not relay.desk._journal.owed)
        assert not platform.notifications and len(platform.calls) == 1

    run_with_relay(platform, tmp_path, monkeypatch, steps)
