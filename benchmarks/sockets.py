"""Measures a relay on one core between simulated clients and hosts, all on loopback.

    python benchmarks/sockets.py links        messages per second by connections, beside a bare server
    python benchmarks/sockets.py load --times 0.1 1 10  goodput by offered load; 1 is the capacity of a core
    python benchmarks/sockets.py ... --against ../other  alternating with another checkout

`links` is a closed loop: each connection sends a request, waits for its 202 and sends the next.  `load` is an
open loop: requests are due at random times regardless of responses, latency counts from the due time, and
rejected requests are retried after their retry-after.  Hosts respond at once, or after --answer milliseconds.
Connections, requests and durations are bounded.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing as mp
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

import httptools
import uvloop

CHECKOUT = Path(__file__).resolve().parent.parent
DESTINATIONS = 16
LOOPBACK_ADDRESS = "127.0.10.1"


class Server(asyncio.Protocol):
    """An HTTP server connection; `respond` builds the bytes of each response."""

    def __init__(self, respond, delay=0.0):
        self.respond, self.delay, self.parser = respond, delay, httptools.HttpRequestParser(self)
        self.url, self.body = b"", b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_url(self, url):
        self.url, self.body = url, b""

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        raw = self.respond(self.url, self.body)
        if self.delay:
            asyncio.get_running_loop().call_later(self.delay, self.transport.write, raw)
        elif raw:
            self.transport.write(raw)


def build_response(status, body=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def pin_to_cpu(cpu):
    os.sched_setaffinity(0, {cpu % os.cpu_count()})


def serve_bare(port, cpu):
    """Run a server of uvloop and httptools that only responds, as the baseline."""

    async def run():
        await asyncio.get_running_loop().create_server(
            lambda: Server(lambda *_: build_response(202)), LOOPBACK_ADDRESS, port
        )
        await asyncio.sleep(600)

    pin_to_cpu(cpu)
    uvloop.run(run())


def serve_platform_and_hosts(port, answer_ms, cpu, delivered):
    """Run hosts that serve every call, discovery, and the receiver of notifications."""
    ended = Counter()

    def platform(url, body):
        if url.startswith(b"/v1/notices"):
            for line in body.splitlines():
                ended[json.loads(line)["result"]] += 1
            return build_response(204)
        if b"since=1" in url:  # a watch without updates: never answered
            return b""
        rows = [
            {
                "name": f"h{at}",
                "address": f"{LOOPBACK_ADDRESS}:{port + 1}",
                "zone": "a",
                "type": "large",
                "group": at,
                "status": "SERVING",
                "weight": 0.0,
                "since_ms": 0,
            }
            for at in range(DESTINATIONS)
        ]
        return build_response(200, json.dumps({"index": 1, "snapshot": True, "endpoints": rows}).encode())

    def host(url, body):
        rows = json.loads(body) if url.endswith(b"batch") else None
        ended["fulfilled"] += len(rows) if rows else 1
        delivered.value = ended["fulfilled"]
        if rows:
            return build_response(
                200, json.dumps([{"id": row["id"], "state": "accepted"} for row in rows]).encode()
            )
        return build_response(200)

    async def run():
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: Server(platform), LOOPBACK_ADDRESS, port)
        await loop.create_server(
            lambda: Server(host, answer_ms / 1e3), LOOPBACK_ADDRESS, port + 1, backlog=1024
        )
        await asyncio.sleep(600)

    pin_to_cpu(cpu)
    uvloop.run(run())


class Client(asyncio.Protocol):
    """A client connection; `on_response` gets the connection, the status (0: lost) and the Retry-After."""

    def __init__(self, on_response):
        self.on_response, self.parser, self.wait = on_response, httptools.HttpResponseParser(self), 0.0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_header(self, name, value):
        if name.lower() == b"retry-after":
            self.wait = float(value)

    def on_message_complete(self):
        status, wait, self.wait = self.parser.get_status_code(), self.wait, 0.0
        self.on_response(self, status, wait)

    def connection_lost(self, exc):
        self.on_response(self, 0, 0.0)

    def send_request(self, ident, remaining_ms):
        self.transport.write(
            b"POST /api HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: %b\r\nX-Service-Class: status\r\n"
            b"X-Time-Left: %dm\r\nX-Addressing: dest=%d\r\nContent-Length: 200\r\n\r\n%b"
            % (ident, remaining_ms, hash(ident) % DESTINATIONS, b"x" * 200)
        )


async def closed_loop(port, links, seconds):
    """Return messages per second, and the seconds from each request to its 202."""
    loop, latencies, sent_at, number = asyncio.get_running_loop(), [], {}, iter(range(1 << 40))
    end = time.monotonic() + seconds

    def send_next(client):
        sent_at[client] = time.monotonic()
        client.send_request(b"c%d" % next(number), 10000)

    def on_response(client, status, _):
        if status == 0:
            return
        if status == 202:
            latencies.append(time.monotonic() - sent_at[client])
        if time.monotonic() < end:
            send_next(client)

    clients = [
        (await loop.create_connection(lambda: Client(on_response), LOOPBACK_ADDRESS, port))[1]
        for _ in range(links)
    ]
    for client in clients:
        send_next(client)
    await asyncio.sleep(seconds + 0.3)
    for client in clients:
        client.transport.abort()
    return len(latencies) / seconds, latencies


async def open_loop(port, rate, seconds, time_limit, delivered, max_connections=250, seed=1):
    """Offer `rate` messages per second; return counts and the seconds from due time to response."""
    loop, rng = asyncio.get_running_loop(), random.Random(seed)
    idle, busy, queue, counts, latencies = [], {}, deque(), Counter(), []
    opening, end, number = 0, time.monotonic() + seconds, 0
    last = end + time_limit

    def on_response(client, status, wait):
        first, due, ident = busy.pop(client, (0.0, 0.0, b""))
        if not ident:
            if client in idle:
                idle.remove(client)
            return
        latencies.append(time.monotonic() - due)
        counts[status] += 1
        if status == 202:
            counts["202 after its time"] += time.monotonic() > first + time_limit
        elif time.monotonic() + wait < first + time_limit:
            loop.call_later(
                max(wait, 0.001), retry, first
            )  # after the retry-after, or the loss of the connection
        if status:
            idle.append(client)
        send_queued()

    def retry(first):
        queue.append((first, time.monotonic()))
        send_queued()

    def send_queued():
        nonlocal number, opening
        while queue and idle:
            first, due = queue.popleft()
            remains = first + time_limit - time.monotonic()
            if remains <= 0.05:
                counts["given up by clients"] += 1
                continue
            number += 1
            client, ident = idle.pop(), b"o%d" % number
            busy[client] = (first, due, ident)
            client.send_request(ident, int(remains * 1000))
        while queue and opening + len(busy) + len(idle) < max_connections and opening < len(queue):
            opening += 1
            loop.create_task(connect())

    async def connect():
        nonlocal opening
        try:
            _, client = await loop.create_connection(lambda: Client(on_response), LOOPBACK_ADDRESS, port)
        except OSError:
            return
        finally:
            opening -= 1
        idle.append(client)
        send_queued()

    at = time.monotonic()
    while (at := at + rng.expovariate(rate)) < end:
        while time.monotonic() < at:
            await asyncio.sleep(min(0.001, at - time.monotonic()))
        counts["offered"] += 1
        queue.append((at, at))
        send_queued()
    counts["delivered"] = delivered.value  # deliveries after the last offered message do not count as goodput
    await asyncio.sleep(last - time.monotonic())
    for client in [*idle, *busy]:
        client.transport.abort()
    return counts, latencies


class Relay:
    """A relay of one checkout on its own core, with the platform and hosts that it needs."""

    def __init__(self, src, port, answer_ms, cpu, max_open, slots, give_up=10):
        self.delivered = mp.Value("q", 0)
        self.platform_process = mp.Process(
            target=serve_platform_and_hosts, args=(port, answer_ms, cpu + 1, self.delivered), daemon=True
        )
        self.platform_process.start()
        self.folder, self.port = Path(tempfile.mkdtemp()), port + 2
        settings = json.loads((CHECKOUT / "examples/config.json").read_bytes())["settings"]
        settings["family-info"] |= {"slots": slots, "bundle-max": [1, 1]}
        settings["ceilings"]["max-open"] = max_open
        for grade in settings["grades"]:
            grade["give-up-us"] = give_up * 1000000
        config = {
            "name": "bench",
            "listen": f"{LOOPBACK_ADDRESS}:{self.port}",
            "discovery": f"{LOOPBACK_ADDRESS}:{port}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096, "disk_mb": 64},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        env = os.environ | {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_STATE": str(self.folder),
            "PYTHONPATH": str(src),
        }
        with open(self.folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "millweir"],
                cwd=src,
                env=env,
                stderr=log,
                preexec_fn=lambda: pin_to_cpu(cpu),
            )
        while b"ready" not in (self.folder / "log").read_bytes():
            assert self.process.poll() is None, (self.folder / "log").read_text()
            time.sleep(0.05)
        time.sleep(0.5)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(10)
        self.platform_process.kill()
        return self.delivered.value


def compute_quantiles_ms(latencies):
    latencies = sorted(latencies) or [0.0]
    return tuple(
        latencies[min(len(latencies) - 1, int(len(latencies) * quantile))] * 1e3
        for quantile in (0.5, 0.99, 0.999)
    )


def measure_connections(arguments, src, port):
    print("connections    packets/s        bare    ratio   ms to the 202: median, 99th, 99.9th percentile")
    for count in arguments.links:
        port += 10
        bare = mp.Process(target=serve_bare, args=(port + 5, 0), daemon=True)
        bare.start()
        time.sleep(0.4)
        pin_to_cpu(3)
        bare_rate, _ = uvloop.run(closed_loop(port + 5, count, arguments.seconds / 2))
        bare.kill()
        relay = Relay(src, port, arguments.answer, 0, 0, arguments.slots)
        rate, latencies = uvloop.run(closed_loop(relay.port, count, arguments.seconds))
        relay.stop()
        print(
            f"{count:>11} {rate:>12.0f} {bare_rate:>11.0f} {rate / bare_rate:>8.3f}   "
            + "  ".join(f"{ms:.1f}" for ms in compute_quantiles_ms(latencies)),
            flush=True,
        )


def measure_load(arguments, src, port):
    print("   times    offered/s   goodput/s   ms to an answer: median, 99th, 99.9th")
    for times in arguments.times:
        port += 10
        relay = Relay(src, port, arguments.answer, 0, arguments.open, arguments.slots, arguments.left)
        pin_to_cpu(3)
        counts, latencies = uvloop.run(
            open_loop(
                relay.port, arguments.serves * times, arguments.seconds, arguments.left, relay.delivered
            )
        )
        relay.stop()
        offered, delivered = counts["offered"] / arguments.seconds, counts["delivered"] / arguments.seconds
        print(
            f"{times:>8} {offered:>12.0f} {delivered:>11.0f}  "
            + "  ".join(f"{ms:.1f}" for ms in compute_quantiles_ms(latencies)),
            dict(counts),
            flush=True,
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("what", choices=("links", "load"))
    parser.add_argument("--links", type=int, nargs="+", default=[1, 8, 32, 256])
    parser.add_argument("--times", type=float, nargs="+", default=[0.1, 0.5, 1, 2, 5, 10])
    parser.add_argument("--serves", type=float, default=1000, help="messages per second that a core serves")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument(
        "--left", type=float, default=10, help="seconds within which a message may be delivered"
    )
    parser.add_argument("--answer", type=float, default=0, help="milliseconds until a host responds")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--open", type=int, default=2000)
    parser.add_argument("--against", type=Path)
    arguments = parser.parse_args()
    for src, port in ((CHECKOUT, 20000), (arguments.against, 22000)):
        if src:
            print(src.name)
            {"links": measure_connections, "load": measure_load}[arguments.what](arguments, src, port)


if __name__ == "__main__":
    main()
