"""The bench adapter: batches are encoded here and its replies decoded."""

import io
import json
import struct

import pytest

from millweir.adapter.wire import ProtocolError, serve

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


def select_relay(number=3):
    return struct.pack("<HI", 1110, number)


def start_relay(config=None):
    text = json.dumps(CONFIG if config is None else config).encode()
    return struct.pack("<HQI", 1000, 5, len(text)) + text


def host_list(number=2, phase=1):
    return struct.pack("<HHI", 1100, number, 1) + struct.pack("<6sBHHBfQ", HOST, 0, 0, 57, phase, 4.0, 0)


def host_list_update(number=2, kind=2):
    return struct.pack("<HQHB", 1010, 1, number, kind)


def packet(packet_id, deadline_us, profile=0):
    return struct.pack("<HIBIQQIfB", 1020, packet_id, profile, 0, 0, deadline_us, 0, 57.0, 0)


def end_trip(packet_id, reason, finished):
    return struct.pack("<HIIHIBB6sB", 1040, packet_id, 0, reason, 9000, finished, 0, HOST, 0)


def serve_batches(*batches):
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


def test_a_packet_is_sent_and_ends():
    replies = serve_batches(
        (0, b""),
        (1000, host_list() + select_relay() + start_relay() + host_list_update() + packet(7, 16_001_000)),
        (10000, select_relay() + end_trip(7, 200, 1)),
    )
    assert replies[0] == b""
    assert replies[1].startswith(struct.pack("<HI", 1050, 3))
    assert struct.pack("<HI6s", 1070, 7, HOST) in replies[1]
    assert b"\x56\x04" + struct.pack("<I", 7) not in replies[2]


def test_a_restart_within_a_batch_drops_packets_and_uses_the_list_given_before_it():
    start = host_list() + select_relay() + start_relay() + host_list_update()
    again = (
        struct.pack("<H", 1090)
        + start_relay()
        + host_list(phase=2)
        + host_list_update()
        + packet(8, 16_001_000)
    )
    replies = serve_batches((1000, start + packet(7, 16_001_000)), (2_000_000, select_relay() + again))
    assert struct.pack("<HI6s", 1070, 8, HOST) not in replies[1]  # draining since before the restart
    assert struct.pack("<I", 7) + HOST not in replies[1]


def test_records_for_unknown_packets_are_ignored():
    start = host_list() + select_relay() + start_relay() + host_list_update()
    reply = serve_batches(
        (1000, start), (2000, select_relay() + end_trip(99, 504, 0) + struct.pack("<HI", 1050, 98))
    )[1]
    assert reply == b""


def test_an_exception_in_the_decisions_is_reported_with_its_text():
    unknown_profile = packet(7, 16_001_000, profile=9)
    body = host_list() + select_relay() + start_relay() + host_list_update() + unknown_profile
    reply = serve_batches((1000, body))[0]
    assert struct.pack("<H", 1000) in reply and b"IndexError" in reply


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (select_relay() + b"\xff\xff", "unknown record code 65535"),
        (select_relay() + packet(7, 1)[:-3], "cut short"),
        (host_list()[:-1], "past the end"),
        (select_relay() + start_relay({}), "grades"),
        (select_relay() + host_list_update(9), "list 9"),
        (packet(7, 1), "before any select"),
    ],
)
def test_malformed_input_is_described(body, message):
    with pytest.raises(ProtocolError, match=message):
        serve_batches((1000, body))
