"""What peers can make a relay hold, in the relay's own process."""

import json
import tracemalloc

import pytest
from rig import Platform

from millweir.events import RefusalReason
from millweir.interface import Limits
from millweir.memory_policy import PROCESS_BYTES, derive_memory_shares, limit_list_bytes
from millweir.net import clock
from millweir.net.discovery import decode_host_list
from millweir.net.replies import ReplyCounts
from millweir.net.request_reader import MAX_FIELDS, RequestReader
from net.agent import SETTINGS, encode_list, make_row
from net.inside import request, run_with_relay

MEGABYTE = 1 << 20
HEAD_LIMIT, BODY_LIMIT = 1000, 4000


@pytest.mark.parametrize("memory_mb", [32, 64, 192, 2048])
def test_shares_of_memory_fit_into_the_limit(memory_mb):
    limits = Limits(descriptors=1024, disk_bytes=MEGABYTE, memory_bytes=memory_mb * MEGABYTE)
    shares = derive_memory_shares(limits)
    total = shares.client_connections + shares.messages + shares.known_ids + shares.host_lists
    assert PROCESS_BYTES + limits.disk_bytes + total <= limits.memory_bytes


def test_requests_behind_the_one_in_hand_took_ten_times_their_bytes():
    reader = RequestReader(HEAD_LIMIT, BODY_LIMIT)
    raw = request("a") * 100
    reader.feed(raw)
    assert reader.read_request().id == b"a" and reader.has_unparsed_bytes
    assert reader.held_bytes == len(raw) - len(request("a"))


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_a_body_in_small_chunks_took_many_times_its_size(size):
    """Read from pieces of any size, also with line ends in its data; what follows is a request of its own."""
    data = b"\r\n\r\nx" * 200
    chunks = b"".join(b"2\r\n" + data[at : at + 2] + b"\r\n" for at in range(0, len(data), 2))
    head = request("a", body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    raw = head + chunks + b"0\r\nX: y\r\n\r\n" + request("b", body=b"\r\n\r\n")
    reader, requests, held = RequestReader(HEAD_LIMIT, BODY_LIMIT), [], 0
    for at in range(0, len(raw), size):
        reader.feed(raw[at : at + size])
        while complete := reader.read_request():
            requests.append((complete.id, complete.body))
        held = max(held, len(reader._body))
    assert requests == [(b"a", data), (b"b", b"\r\n\r\n")] and held <= len(data)


@pytest.mark.parametrize(
    "raw, status",
    [
        (request("a").replace(b"\r\n\r\n", b"\r\n" + b"a:b\r\n" * MAX_FIELDS + b"\r\n"), 431),
        (b"\r\n" * HEAD_LIMIT, 400),
        (b"GET /" + b"x" * HEAD_LIMIT, 400),
        (b"GET /" + b"x" * HEAD_LIMIT + b" HTTP/1.1\r\n\r\n", 400),
        (request("a", body=b"x" * (BODY_LIMIT + 1)), 413),
    ],
)
def test_an_unsound_request_was_held_or_failed_inside(raw, status):
    reader = RequestReader(HEAD_LIMIT, BODY_LIMIT)
    reader.feed(raw + request("behind"))
    assert reader.read_request().error_status == status
    assert reader.ended and not reader.held_bytes and reader.read_request() is None


def test_class_names_of_any_length_were_kept_for_the_counters():
    counts = ReplyCounts()
    counts.add_unknown(b"x" * 10_000)
    counts.add_unknown(b"short")
    assert list(counts.counts_by_class()) == ["short"]


def test_an_id_forgotten_under_a_flood_of_new_ids_ran_twice(tmp_path, monkeypatch):
    """While as many ids are known as may be, new messages are refused and no id is forgotten."""
    platform, left = Platform(hosts=1), "700m"

    async def steps(relay):
        (client,) = await relay.connect_clients()
        for n in range(5):
            client.send(request(f"p{n}", left=left))
            assert await client.statuses(n + 1) == [202] * (n + 1)
        await relay.until(lambda: not relay.server._owed)
        assert len(platform.calls) == 5
        client.send(request("new", left=left) + request("p0", left=left))
        assert (await client.statuses(7))[5:] == [503, 202]
        assert relay.server._counters.counts[f"packets_refused_{RefusalReason.IDS_FULL.value}"] == 1
        ended_ids = relay.server._journal.ended_ids
        await relay.until(lambda: ended_ids.drop_expired(clock.monotonic_ns()) or not len(ended_ids))
        client.send(request("later", left=left))
        assert (await client.statuses(8))[7:] == [202]
        assert len(platform.sent("p0")) == 1

    run_with_relay(platform, tmp_path, monkeypatch, steps, max_known_ids=5)


def test_half_requests_of_many_clients_took_more_than_their_share(tmp_path, monkeypatch):
    """The connection that holds most is answered and closed; the others and new ones are served."""

    async def steps(relay):
        server = relay.server
        server.clients._account.max_bytes = 120_000
        clients = await relay.connect_clients(6)
        for n, client in enumerate(clients):
            client.send(request(f"p{n}", body=b"x" * 60_000)[:-20_000])
        await relay.until(lambda: server._counters.counts["clients_closed_memory"] >= 3)
        assert server.clients._account.held_bytes <= 120_000
        (other,) = await relay.connect_clients()
        other.send(request("whole"))
        assert await other.statuses(1) == [202]
        closed = [client for client in clients if await client.receive(0.05)]
        assert len(closed) >= 3 and all(client.answers == [503] for client in closed)

    run_with_relay(Platform(hosts=1), tmp_path, monkeypatch, steps)


@pytest.mark.parametrize("indent", [None, 2])
def test_a_host_list_took_ten_times_its_bytes_beyond_the_memory_limit(indent):
    """Guards the length of a list that is decoded: what it takes meanwhile stays in its share."""
    shares = derive_memory_shares(Limits(1024, MEGABYTE, 64 * MEGABYTE))
    rows = [make_row(f"s-{n:08x}") for n in range(500)]
    raw = encode_list(1, *rows, full=True, indent=indent)
    tracemalloc.start()
    try:
        decode_host_list(json.loads(raw), SETTINGS)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert limit_list_bytes(shares) * (1 + peak / len(raw)) <= shares.host_lists
