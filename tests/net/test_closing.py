"""How client connections end: the last answer arrives whole, whatever is still unread, on real sockets."""

import asyncio

import pytest
from rig import Platform

from millweir.interface import SECOND
from millweir.net.clients import ClientLink
from net.inside import play, request

MORE = b"x" * 30_000  # bytes that nobody reads as a request
ASK = b"GET /ready HTTP/1.1\r\n"


@pytest.mark.parametrize(
    "raw, status",
    [
        (ASK + b"Connection: close\r\n\r\n" + MORE, 200),
        (ASK + b"Connection: close\r\n\r\n" + request("behind") * 5, 200),
        (b"nonsense\r\n\r\n" + MORE, 400),
        (request("long", body=MORE, **{"Content-Length": 70_000}), 413),
        (request("who", profile="unheard-of") + request("behind"), 400),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n" + MORE, 404),
    ],
    ids=["told-close", "pipelined", "nonsense", "too-long", "unheard-of", "upgrade"],
)
def test_a_last_answer_comes_whole_over_unread_bytes_and_nothing_behind_is_taken(
    tmp_path, monkeypatch, raw, status
):
    platform = Platform(hosts=1)

    async def steps(relay):
        client, end = relay.client(), ClientLink.end

        def crossing(link, reason):
            client.send(MORE)  # in the very moment in which its end begins
            end(link, reason)

        monkeypatch.setattr(ClientLink, "end", crossing)
        client.send(raw)
        assert await client.statuses(1) == [status]
        monkeypatch.undo()
        assert (await client.end()).whole and client.answers == [status]
        client.close()
        await relay.until(lambda: not relay.desk.clients._links)
        assert not platform.calls and not relay.desk._journal.owed

    play(platform, tmp_path, monkeypatch, steps)


def test_a_slow_request_is_told_so_and_its_late_rest_resets_nothing(tmp_path, monkeypatch):
    async def steps(relay):
        client, raw = relay.client(), request("slow", body=b"y" * 2000)
        client.send(raw[:-1500])
        assert await client.statuses(1) == [408]
        client.send(raw[-1500:])
        assert (await client.end()).whole and client.answers == [408]
        assert not relay.desk._journal.owed

    play(Platform(hosts=1), tmp_path, monkeypatch, steps, request_timeout_ns=SECOND // 10)


def test_who_does_not_close_its_end_is_closed_after_a_bounded_while(tmp_path, monkeypatch):
    async def steps(relay):
        (client,) = await relay.rested()
        relay.desk.quiesce()
        await client.end()  # and the client keeps its end open
        await relay.until(lambda: not relay.desk.clients._links)

    play(Platform(hosts=1), tmp_path, monkeypatch, steps, client_grace_ns=SECOND // 5)


def test_who_goes_on_sending_after_the_end_is_cut_off(tmp_path, monkeypatch):
    async def steps(relay):
        (client,) = await relay.rested()
        relay.desk.clients.close_idle("leaving")
        await client.end()
        while not client.reset:
            client.send(MORE)
            await asyncio.sleep(0.001)
        await relay.until(lambda: not relay.desk.clients._links)

    play(Platform(hosts=1), tmp_path, monkeypatch, steps, client_grace_ns=60 * SECOND)


def test_a_connection_closed_for_a_newer_one_ends_cleanly(tmp_path, monkeypatch):
    async def steps(relay):
        first, second = await relay.rested(2)
        (third,) = await relay.rested()
        assert (await first.end()).whole and not first.answers
        second.send(ASK + b"\r\n")
        third.send(ASK + b"\r\n")
        assert await second.statuses(1) == await third.statuses(1) == [200]

    play(Platform(hosts=1), tmp_path, monkeypatch, steps, max_client_connections=2)


def test_ends_that_nobody_completes_do_not_fill_the_descriptors(tmp_path, monkeypatch):
    async def steps(relay):
        for _ in range(100):  # none of them closes its end
            await relay.rested()
            assert len(relay.desk.clients._links) <= 11  # the one aborted in this turn is still there

    play(
        Platform(hosts=1), tmp_path, monkeypatch, steps, max_client_connections=8, client_grace_ns=60 * SECOND
    )


@pytest.mark.parametrize("gone", [False, True])
def test_a_flood_on_one_connection_is_not_taken_on(tmp_path, monkeypatch, gone):
    platform = Platform(hosts=0)

    async def steps(relay):
        client, raw = relay.client(), b"".join(request(f"p{n}") for n in range(600))
        client.send(raw)
        if gone:
            client.close()
        await relay.until(lambda: relay.desk._counters.counts["requests_withdrawn"])
        await relay.until(lambda: not relay.desk.clients._links and not relay.desk.clients.arrived)
        assert not relay.desk._journal.owed and not relay.desk._owed
        (other,) = await relay.rested()
        other.send(request("next"))
        assert await other.statuses(1) == [202]

    play(platform, tmp_path, monkeypatch, steps)


def test_requests_withdrawn_before_their_turn_cost_nothing(tmp_path, monkeypatch):
    platform = Platform(hosts=1)

    async def steps(relay):
        clients = await relay.rested(50)
        for n, client in enumerate(clients):
            client.send(request(f"p{n}"))
            client.close()  # both are in the sockets before the loop turns
        await relay.until(lambda: not relay.desk.clients._links)
        assert relay.desk._counters.counts["requests_withdrawn"] == 50
        assert not relay.desk._journal.owed and not platform.calls and not relay.desk._owed

    play(platform, tmp_path, monkeypatch, steps)
