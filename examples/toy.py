"""A minimal platform for trying millweir: discovery and two destinations on loopback.

Destination 1 has two fast hosts; destination 2 has one host that accepts two calls per second and rejects the
rest with a retry-after.  Calls and notifications are printed.
"""

from __future__ import annotations

import asyncio
import json
import time

DISCOVERY = ("127.0.0.1", 8500)
HOST_TABLE = {  # name: port, destination, kind, calls per second
    "quick-1": (9101, 1, "small", 20.0),
    "quick-2": (9102, 1, "small", 20.0),
    "strict": (9201, 2, "large", 2.0),
}
HOST_LIST = {
    "index": 1,
    "snapshot": True,
    "endpoints": [
        {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "zone": "here",
            "type": kind,
            "group": destination,
            "status": "SERVING",
            "weight": rate,
            "since_ms": 0,
        }
        for name, (port, destination, kind, rate) in HOST_TABLE.items()
    ],
}


async def read_request(source: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    method, path, _ = (await source.readline()).decode().split()
    head = {}
    while line := (await source.readline()).decode().strip():
        name, _, value = line.partition(": ")
        head[name.lower()] = value
    return method, path, head, await source.readexactly(int(head.get("content-length", 0)))


def build_response(status: str, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


async def serve_discovery(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
    """Serve the host list and a watch without updates, and print notifications."""
    while True:
        method, path, _, body = await read_request(source)
        if method == "POST":
            print("notice", body.decode().strip(), flush=True)
            sink.write(build_response("204 No Content"))
        elif "since=1" in path:
            await asyncio.sleep(20)
            no_changes = {"index": 1, "snapshot": False, "endpoints": []}
            sink.write(build_response("200 OK", json.dumps(no_changes).encode()))
        else:
            sink.write(build_response("200 OK", json.dumps(HOST_LIST).encode()))


class Host:
    """One host that accepts up to `rate` calls in each clock second and rejects the rest."""

    def __init__(self, name: str, rate: float) -> None:
        self.name, self.rate = name, rate
        self.second, self.accepted = 0, 0

    async def serve(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        while True:
            _, path, head, body = await read_request(source)
            second = int(time.time())
            if second != self.second:
                self.second, self.accepted = second, 0
            self.accepted += 1
            if self.accepted > self.rate:
                wait = second + 1 - time.time()
                print(f"{self.name} turns away a call for {wait:.2f} s", flush=True)
                sink.write(build_response("429 Too Many Requests", headers=f"Retry-After: {wait:.3f}\r\n"))
                continue
            await asyncio.sleep(0.1)
            rows = json.loads(body) if path == "/hook/batch" else [{"id": head["x-correlation-id"]}]
            print(f"{self.name} takes {[row['id'] for row in rows]}", flush=True)
            states = [{"id": row["id"], "state": "accepted"} for row in rows]
            sink.write(build_response("200 OK", json.dumps(states).encode()))


def close_on_error(serve):
    async def serve_connection(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            await serve(source, sink)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            sink.close()

    return serve_connection


async def main() -> None:
    await asyncio.start_server(close_on_error(serve_discovery), *DISCOVERY)
    for name, (port, _, _, rate) in HOST_TABLE.items():
        await asyncio.start_server(close_on_error(Host(name, rate).serve), "127.0.0.1", port)
    print("discovery and three hosts are up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
