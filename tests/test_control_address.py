"""The second address: each line gets one answer line; bad, silent and half-sent callers get FAILURE."""

import asyncio
import json

import pytest

from millweir.net import control
from millweir.net.control import ControlListener


class FakeDesk:
    def __init__(self):
        self.ready, self.calls, self.known = True, [], {b"h1"}

    def healthy(self):
        return self.ready

    def figures(self):
        return {"replies": {"gold": {"success": 3, "overload": 1, "error": 0}}, "concurrent": 2}

    def cordon(self, host, out):
        self.calls.append((host, out))
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
def test_each_call_gets_one_line_that_says_success_or_failure(line, starts):
    answer = ControlListener(None, FakeDesk()).call(line)
    assert answer.startswith(starts) and answer.endswith(b"\n")
    assert answer.count(b"\n") == 1


def test_counters_are_one_json_line_then_eot():
    # The form that the operators' bench reads: the JSON object alone on its line, then EOT.
    lines = ControlListener(None, FakeDesk()).call(b"counters").split(b"\n")
    assert lines[1] == b"EOT" and lines[2] == b""
    assert json.loads(lines[0])["replies"]["gold"]["success"] == 3


def test_health_says_no_when_not_ready():
    desk = FakeDesk()
    desk.ready = False
    assert ControlListener(None, desk).call(b"health").startswith(b"FAILURE")


async def talk(port, data, close=False):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if close:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 3)
    writer.close()
    return answer


def test_on_sockets_silent_half_sent_and_long_callers_are_answered_and_closed(monkeypatch):
    monkeypatch.setattr(control, "WAIT", 0.2)  # the wait is bounded: here short, lest the test wait long

    async def run():
        loop = asyncio.get_running_loop()
        listener = ControlListener(loop, FakeDesk())
        server = await loop.create_server(listener.link, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        answers = await asyncio.gather(
            talk(port, b"health\n"),
            talk(port, b""),
            talk(port, b"heal"),
            talk(port, b"x" * (control.LINE_MOST + 10)),
            talk(port, b"cordon h1", close=True),
            talk(port, b"health\r\nextra\n"),
        )
        server.close()
        return answers, listener.links

    answers, links = asyncio.run(run())
    assert answers[0] == b"SUCCESS ready\r\n"
    assert answers[1].startswith(b"FAILURE") and answers[2].startswith(b"FAILURE")
    assert answers[3].startswith(b"FAILURE") and b"longer" in answers[3]
    assert answers[4].startswith(b"SUCCESS")
    assert answers[5] == b"SUCCESS ready\r\n"
    assert links == 0


def test_more_callers_than_the_bound_are_turned_away_at_once(monkeypatch):
    monkeypatch.setattr(control, "LINKS_MOST", 2)
    monkeypatch.setattr(control, "WAIT", 0.3)

    async def run():
        loop = asyncio.get_running_loop()
        listener = ControlListener(loop, FakeDesk())
        server = await loop.create_server(listener.link, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        await asyncio.sleep(0.05)
        busy = await talk(port, b"health\n")
        for _, writer in silent:
            writer.close()
        server.close()
        return busy

    assert asyncio.run(run()).startswith(b"FAILURE busy")
