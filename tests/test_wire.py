"""The adapter: frames encoded here go in, and what comes out is decoded here."""

import io
import json
import struct

import pytest

from millweir.adapter.wire import Malformed, serve

HOST = bytes((10, 0, 0, 1, 80, 0))
CONFIG = {
    "balancers": 1,
    "period-us": 5000,
    "weight-source": "nominal",
    "membership-mode": "push",
    "new-key": [1],
    "grades": [{"objective-us": 2000000, "give-up-us": 16000000, "semantics": "pure"}],
    "family-info": {"slots": 4},
    "ceilings": {"max-attempts": 3, "max-open": 50},
    "obligations": {"drain-grace-us": 500000, "cold-from": 0.2, "fall-multiple": 2, "fall-us": 2000000},
}


def select(number=3):
    return struct.pack("<HI", 1110, number)


def power_on(config=None):
    text = json.dumps(CONFIG if config is None else config).encode()
    return struct.pack("<HQI", 1000, 5, len(text)) + text


def roster(number=2, phase=1):
    return struct.pack("<HHI", 1100, number, 1) + struct.pack("<6sBHHBfQ", HOST, 0, 0, 57, phase, 4.0, 0)


def targets(number=2, kind=2):
    return struct.pack("<HQHB", 1010, 1, number, kind)


def order(ident, not_after, profile=0):
    return struct.pack("<HIBIQQIfB", 1020, ident, profile, 0, 0, not_after, 0, 57.0, 0)


def settled(ident, reason, finished):
    return struct.pack("<HIIHIBB6sB", 1040, ident, 0, reason, 9000, finished, 0, HOST, 0)


def play(*batches):
    """Serve the batches, (clock, body) each, and return the bodies of the replies."""
    source = io.BytesIO(b"".join(struct.pack("<IQ", len(body), now) + body for now, body in batches))
    sink = io.BytesIO()
    serve(source, sink)
    replies, raw = [], sink.getvalue()
    while raw:
        (size,) = struct.unpack_from("<I", raw)
        replies.append(raw[4 : 4 + size])
        raw = raw[4 + size :]
    return replies


def test_a_packet_goes_out_and_comes_back():
    replies = play(
        (0, b""),
        (1000, roster() + select() + power_on() + targets() + order(7, 16_001_000)),
        (10000, select() + settled(7, 200, 1)),
    )
    assert replies[0] == b""
    assert replies[1].startswith(struct.pack("<HI", 1050, 3))
    assert struct.pack("<HI6s", 1070, 7, HOST) in replies[1]
    assert b"\x56\x04" + struct.pack("<I", 7) not in replies[2]


def test_a_restart_in_one_batch_forgets_and_a_list_number_is_read_in_order():
    start = roster() + select() + power_on() + targets()
    again = struct.pack("<H", 1090) + power_on() + roster(phase=2) + targets() + order(8, 16_001_000)
    replies = play((1000, start + order(7, 16_001_000)), (2_000_000, select() + again))
    assert struct.pack("<HI6s", 1070, 8, HOST) not in replies[1]  # draining, as an earlier life was told
    assert struct.pack("<I", 7) + HOST not in replies[1]


def test_late_and_unknown_packets_are_ignored():
    start = roster() + select() + power_on() + targets()
    reply = play((1000, start), (2000, select() + settled(99, 504, 0) + struct.pack("<HI", 1050, 98)))[1]
    assert reply == b""


def test_a_fault_of_the_module_is_declared_with_its_text():
    wrong_class = order(7, 16_001_000, profile=9)
    body = roster() + select() + power_on() + targets() + wrong_class
    reply = play((1000, body))[0]
    assert struct.pack("<H", 1000) in reply and b"IndexError" in reply


@pytest.mark.parametrize(
    ("body", "says"),
    [
        (select() + b"\xff\xff", "unknown record code 65535"),
        (select() + order(7, 1)[:-3], "cut short"),
        (roster()[:-1], "past the end"),
        (select() + power_on({}), "grades"),
        (select() + targets(9), "list 9"),
        (order(7, 1), "before any select"),
    ],
)
def test_malformed_input_is_named(body, says):
    with pytest.raises(Malformed, match=says):
        play((1000, body))
