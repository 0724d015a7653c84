"""A relay in the test's own event loop, on real sockets: a test can fill them before the loop runs on."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import socket
import time
from dataclasses import replace

import uvloop
from rig import CONFIG, free_port

from millweir import __main__ as main
from millweir.net.config import read_config
from millweir.net.journal import Journal

TIMEOUT_SECONDS = 5.0  # for each condition that a test waits for


def request(ident, profile="again", left="16000m", dest=0, body=b"hello", **fields):
    """Encode a client's request that submits a message."""
    head = {
        "X-Correlation-Id": ident,
        "X-Service-Class": profile,
        "X-Time-Left": left,
        "X-Addressing": f"dest={dest}",
        "Content-Length": len(body),
    } | fields
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
    return f"POST /api HTTP/1.1\r\n{lines}\r\n".encode() + body


class Client:
    """A raw connection to the relay."""

    def __init__(self, port):
        self.loop = asyncio.get_running_loop()
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.read = b""
        self.ended = False
        self.reset = False

    def send(self, raw):
        """Write all of it to the socket while the relay's loop does not run; note a reset."""
        try:
            while raw:
                raw = raw[self.socket.send(raw) :]
        except BlockingIOError:
            raise AssertionError("more bytes than the socket buffers hold") from None
        except OSError:
            self.reset = True

    async def receive(self, within=TIMEOUT_SECONDS):
        """Read more; False if nothing was received in time."""
        try:
            more = await asyncio.wait_for(self.loop.sock_recv(self.socket, 1 << 16), within)
        except TimeoutError:
            return False
        except OSError:
            self.reset = True
            more = b""
        self.read = self.read + more
        self.ended = self.ended or not more
        return True

    async def end(self, within=TIMEOUT_SECONDS):
        """Read until the relay closes its end of the connection."""
        until = time.monotonic() + within
        while not self.ended:
            assert await self.receive(max(0.01, until - time.monotonic())), f"still open, read {self.read!r}"
        return self

    async def statuses(self, count):
        """Read until there are so many complete responses, or the end; return the status of each."""
        while len(self.answers) < count and not self.ended:
            assert await self.receive(), f"{self.answers} after {TIMEOUT_SECONDS} s"
        return self.answers

    @property
    def answers(self):
        found, rest = [], self.read
        while b"\r\n\r\n" in rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            if len(rest) < length:
                break
            found, rest = [*found, int(head.split()[1])], rest[length:]
        return found

    @property
    def whole(self):
        """Whether there was no reset and every response is complete."""
        return not self.reset and self.read.count(b"HTTP/1.1 ") == len(self.answers)

    def close(self):
        self.socket.close()


class GatedLoop:
    """The event loop, except that outgoing connections wait until `open` is set."""

    def __init__(self, loop):
        self._loop = loop
        self.open = asyncio.Event()
        self.waiting = 0

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, *given):
        self.waiting += 1
        await self.open.wait()
        return await self._loop.create_connection(*given)


class InProcessRelay:
    """One relay: `server` gives access to its components, `server_task` ends when its process would."""

    def __init__(self, platform, folder, monkeypatch, config, **bounds):
        self.platform = platform
        self.folder = folder / "state"
        self.patch = monkeypatch
        self.folder.mkdir(exist_ok=True)
        self.config = config
        self.bounds = bounds
        self.server = None
        self.clients = []
        self.port = free_port()

    async def open(self):
        path = self.folder.parent / "config.json"
        path.write_text(
            json.dumps(
                {
                    "seed": "2a",
                    "limits": {"memory_mb": 192, "sockets": 256, "disk_mb": 1},
                    "settings": CONFIG,
                    "known": self.platform.list() | {"index": 0},
                }
                | self.config
            )
        )
        config = read_config(
            {
                "RELAY_CONFIG": str(path),
                "RELAY_STATE": str(self.folder),
                "RELAY_NAME": "n0",
                "RELAY_LISTEN": f"127.0.0.1:{self.port}",
                "RELAY_DISCOVERY": self.platform.discovery,
            }
        )
        given = self.bounds

        class DecisionEngine(main.DecisionEngine):
            def __init__(self, *args):
                super().__init__(*args)
                self.bounds = replace(self.bounds, **given)

        class RelayServer(main.RelayServer):
            def __init__(server, *args):
                self.server = server
                super().__init__(*args)

        self.patch.setattr(main, "DecisionEngine", DecisionEngine)
        self.patch.setattr(main, "RelayServer", RelayServer)
        self.server_task = asyncio.get_running_loop().create_task(self._serve(config))
        await self.until(lambda: self.server and self.server.is_ready() and self.listens())
        await self.until(lambda: not self.server.host_list.waits_for_discovery)  # discovery has answered
        return self

    async def _serve(self, config):
        await main.serve(config)
        for connection in list(self.server.clients._connections):
            connection.abort()  # as the system does when a process ends

    def listens(self):
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port)):
            return True
        return False

    async def until(self, condition, within=TIMEOUT_SECONDS):
        end = time.monotonic() + within
        while not (found := condition()):
            assert not (
                self.server_task.done() and self.server_task.exception()
            ), self.server_task.exception()
            assert time.monotonic() < end, "the condition did not become true in time"
            await asyncio.sleep(0.005)
        return found

    def client(self):
        self.clients.append(Client(self.port))
        return self.clients[-1]

    async def connect_clients(self, count=1):
        """Open connections and have one request answered on each."""
        found = [self.client() for _ in range(count)]
        for client in found:
            client.send(b"GET /ready HTTP/1.1\r\n\r\n")
        for client in found:
            assert await client.statuses(1) == [200]
            client.read = b""
        return found

    def owed(self):
        """Read the journal as the next start does, after the end of this one: trips by message id."""
        self.server._journal.close()
        journal = Journal(self.folder, 500_000, 400_000, print)
        found = {message.id.decode(): len(message.trips) for message in journal.owed.values()}
        journal.close()
        return found


def run_with_relay(platform, folder, monkeypatch, steps, config=None, **bounds):
    """Run a test's steps with a relay in the same loop, of the kind that the program runs on."""

    async def run_steps():
        relay = InProcessRelay(platform, folder, monkeypatch, config or {}, **bounds)
        await relay.open()
        try:
            await asyncio.wait_for(steps(relay), 20)
        finally:
            for client in relay.clients:
                client.close()
            relay.server.stop()
            relay.server._journal.close()
            await asyncio.wait_for(relay.server_task, TIMEOUT_SECONDS)

    thresholds, descriptors = gc.get_threshold(), len(os.listdir("/proc/self/fd"))
    try:
        uvloop.run(run_steps())
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
    return descriptors
