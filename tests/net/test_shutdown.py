"""The shutdown of a relay, and input that arrives at the same moment, on real sockets."""

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
from net.test_restored import STATE, GatedDiscovery, owed, start  # noqa: F401


@pytest.mark.parametrize("count, requests_each", [(1, 1), (80, 1), (1, 200)])
def test_requests_in_the_sockets_at_the_stop_are_refused_with_complete_answers(
    tmp_path, monkeypatch, count, requests_each
):
    platform = Platform(hosts=1)

    async def steps(relay):
        clients = await relay.connect_clients(count)
        for n, client in enumerate(clients):
            client.send(b"".join(request(f"p{n}-{at}") for at in range(requests_each)))
        relay.server.begin_shutdown()  # the event loop has not run since
        relay.server.stop()
        for client in clients:
            await client.end()
            assert client.whole and set(client.answers) == {503}
        await asyncio.wait_for(relay.server_task, 2)
        assert not platform.calls and not relay.owed()

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_stop_between_reading_and_answering_leaves_no_request_unanswered(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        server = relay.server
        clients = await relay.connect_clients(
            5 * server._bounds.max_requests_per_turn // 4
        )  # more than one turn can answer

        def arrived():
            monkeypatch.setattr(server.clients, "_wake", server.request_turn)
            assert len(server.clients.received_requests) == len(clients)
            server.stop()
            server.request_turn()

        monkeypatch.setattr(server.clients, "_wake", arrived)
        for client in clients:
            client.send(b"GET /ready HTTP/1.1\r\n\r\n")
        for client in clients:
            assert await client.statuses(1) == [200] and (await client.end()).whole

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_request_read_in_part_at_the_stop_is_refused_once_it_is_complete(tmp_path, monkeypatch):
    platform, raw = Platform(hosts=1), request("half")

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(raw[:60])
        relay.server.begin_shutdown()
        await relay.until(lambda: relay.server.clients._connections)
        client.send(raw[60:])
        assert await client.statuses(1) == [503] and (await client.end()).whole

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_request_on_a_connection_that_is_being_closed_is_never_accepted(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        client, sentinel = await relay.connect_clients(2)
        relay.server.begin_shutdown()
        await client.end()  # an idle connection is closed
        client.send(request("late") * 20)
        client.ended = False
        sentinel.send(request("late"))
        await relay.until(lambda: relay.server.clients._connections == {} or client.reset)
        relay.server.stop()
        await asyncio.wait_for(relay.server_task, 2)
        assert not client.reset and not client.answers
        assert not platform.calls and not relay.owed()

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_request_on_a_connection_that_was_just_opened_is_read_before_the_close(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        client = relay.client()
        await relay.until(lambda: relay.server.clients._connections)
        relay.server.begin_shutdown()
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
        await relay.until(lambda: any(call.connection for call in relay.server._hosts._calls.values()))
        relay.server.stop()
        await asyncio.wait_for(relay.server_task, 2)
        assert not platform.calls and relay.owed() == {"held": 0}  # the next process tries it

    run_with_relay(platform, tmp_path, monkeypatch, steps, last_byte_hold_ns=60 * SECOND)


def test_a_connection_that_opens_after_the_close_has_begun_carries_nothing(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        (client,) = await relay.connect_clients()
        gate = relay.server._hosts.loop = GatedLoop(relay.server._hosts.loop)
        client.send(request("dialled", "once"))
        assert await client.statuses(1) == [202]
        await relay.until(lambda: gate.waiting)
        relay.server.close()
        gate.open.set()
        await asyncio.sleep(0.1)  # many turns: a call that was sent would be seen by now
        assert not platform.calls
        relay.server.stop()
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
def test_a_signal_during_the_start_leaves_all_that_is_owed_to_the_next_process(tmp_path, start, number):  # noqa: F811
    platform = GatedDiscovery(hosts=1)
    owed(tmp_path / STATE, *((f"a{n}".encode(), b"again", 0) for n in range(5)))
    owed(tmp_path / STATE, *((f"b{n}".encode(), b"once", 0) for n in range(5)), slot=1)  # to be adopted
    started, start_program = [], Program.start

    def record_and_start(self, *args, **given):
        started.append(self)
        return start_program(self, *args, **given)

    def on_first_request():
        os.kill(started[0].process.pid, number)
        gone.set()

    gone, platform.on_first_request = threading.Event(), on_first_request
    Program.start = record_and_start
    try:
        with contextlib.suppress(AssertionError):  # it may have been ready before the signal
            start(platform)
    finally:
        Program.start = start_program
    assert gone.wait(5)
    started[0].process.wait(6)
    started[0].start()
    until(lambda: len(platform.calls) == 10)
    time.sleep(0.2)
    assert sorted(call.id for call in platform.calls) == [f"{kind}{n}" for kind in "ab" for n in range(5)]
    assert not platform.notifications
    started[0].end()


def test_a_call_answered_in_the_turn_of_the_stop_gets_its_outcome(tmp_path, monkeypatch):
    platform, release = Platform(hosts=1), threading.Event()
    platform.decide = lambda call: release.wait(5) and reply(200)

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(request("out", "once"))
        assert await client.statuses(1) == [202]
        await relay.until(lambda: platform.calls)
        release.set()
        await asyncio.sleep(0)
        time.sleep(0.1)  # the event loop is blocked while the answer reaches its socket
        relay.server.begin_shutdown()
        await asyncio.sleep(0)
        await relay.until(lambda: not relay.server._journal.owed)
        assert not platform.notifications and len(platform.calls) == 1

    run_with_relay(platform, tmp_path, monkeypatch, steps)
