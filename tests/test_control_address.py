"""The control address: each command line gets one answer line; invalid, silent and half-sent ones FAILURE."""

import asyncio
import json

import pytest

from millweir.net import control
from millweir.net.control import ControlListener


class FakeRelay:
    def __init__(self):
        self.ready, self.calls, self.known = True, [], {b"h1"}

    def is_ready(self):
        return self.ready

    def collect_counters(self):
        return {"replies": {"gold": {"success": 3, "overload": 1, "error": 0}}, "concurrent": 2}

    def set_cordon(self, host, cordoned):
        self.calls.append((host, cordoned))
        return "" if host in self.known else "no host was ever listed"

    def quiesce(self):
        self.calls.append("quiesce")

    def resume(self):
        self.calls.append("resume")


@pytest.mark.parametrize(
    ("line", "starts"),
    [
        (b"health", b"SUCCESS"),
        (b"cordon h1", b"SUCCESS"),
        (b"uncordon h1", b"SUCCESS"),
        (b"cordon nope", b"FAILURE"),
        (b"cordon", b"FAILURE"),
        (b"cordon h1 h2", b"FAILURE"),
        (b"health now", b"FAILURE"),
        (b"reboot", b"FAILURE"),
        (b"", b"FAILURE"),
        (b"\xff\xfe", b"FAILURE"),
        (b"quiesce", b"SUCCESS"),
        (b"resume", b"SUCCESS"),
        (b"health\x00", b"FAILURE"),
        (b"health\r", b"SUCCESS"),
    ],
)
def test_each_command_gets_one_line_with_success_or_failure(line, starts):
    answer = ControlListener(None, FakeRelay()).execute_command(line)
    assert answer.startswith(starts) and answer.endswith(b"\n")
    assert answer.count(b"\n") == 1


def test_counters_are_one_json_line_then_eot():
    # The operators' benchmark reads this format: the JSON object alone on its line, then EOT.
    lines = ControlListener(None, FakeRelay()).execute_command(b"counters").split(b"\n")
    assert lines[1] == b"EOT" and lines[2] == b""
    assert json.loads(lines[0])["replies"]["gold"]["success"] == 3


def test_health_fails_while_the_relay_is_not_ready():
    relay = FakeRelay()
    relay.ready = False
    assert ControlListener(None, relay).execute_command(b"health").startswith(b"FAILURE")


async def send_command(port, data, close=False):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if close:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 3)
    writer.close()
    return answer


def test_silent_half_sent_and_overlong_commands_are_answered_and_closed(monkeypatch):
    monkeypatch.setattr(control, "LINE_TIMEOUT_SECONDS", 0.2)  # shorter, to keep the test short

    async def run():
        loop = asyncio.get_running_loop()
        listener = ControlListener(loop, FakeRelay())
        server = await loop.create_server(listener.create_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        answers = await asyncio.gather(
            send_command(port, b"health\n"),
            send_command(port, b""),
            send_command(port, b"heal"),
            send_command(port, b"x" * (control.MAX_LINE_BYTES + 10)),
            send_command(port, b"cordon h1", close=True),
            send_command(port, b"health\r\nextra\n"),
        )
        server.close()
        return answers, listener.open_connections

    answers, open_connections = asyncio.run(run())
    assert answers[0] == b"SUCCESS ready\r\n"
    assert answers[1].startswith(b"FAILURE") and answers[2].startswith(b"FAILURE")
    assert answers[3].startswith(b"FAILURE") and b"longer" in answers[3]
    assert answers[4].startswith(b"SUCCESS")
    assert answers[5] == b"SUCCESS ready\r\n"
    assert open_connections == 0


def test_connections_beyond_the_limit_are_refused_at_once(monkeypatch):
    monkeypatch.setattr(control, "MAX_CONTROL_CONNECTIONS", 2)
    monkeypatch.setattr(control, "LINE_TIMEOUT_SECONDS", 0.3)

    async def run():
        loop = asyncio.get_running_loop()
        listener = ControlListener(loop, FakeRelay())
        server = await loop.create_server(listener.create_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        await asyncio.sleep(0.05)
        busy = await send_command(port, b"health\n")
        for _, writer in silent:
            writer.close()
        server.close()
        return busy

    assert asyncio.run(run()).startswith(b"FAILURE busy")
