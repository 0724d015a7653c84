"""The relay as a process on sockets: what clients, hosts and discovery observe, restarts included."""

import base64
import fcntl
import http.client
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from rig import CONFIG, Platform, Program, reply, until


@pytest.fixture
def start(tmp_path):
    started = []

    def begin(platform, **given):
        started.append(Program(platform, tmp_path, **given))
        return started[-1]

    yield begin
    for program in started:
        program.end()


def build_request(ident="r1", profile="again", left="16000m", length=2, **fields):
    fields = {
        "X-Correlation-Id": ident,
        "X-Service-Class": profile,
        "X-Time-Left": left,
        "X-Addressing": "dest=0",
        "Content-Length": length,
    } | fields
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST /api HTTP/1.1\r\nHost: x\r\n{head}\r\n".encode()


def test_a_packet_goes_through_unchanged(start):
    platform = Platform()
    relay, body = start(platform), bytes(range(256))
    assert relay.hand_in("p1", "marked", body=body, Idempotency_Key="m1") == 202
    call = until(lambda: platform.sent("p1"))[0]
    assert (call.path, call.body, call.head["idempotency-key"]) == ("/hook", body, "m1")
    assert 0 < int(call.head["x-time-left"].removesuffix("m")) <= 16000
    time.sleep(0.3)
    assert len(platform.calls) == 1 and not platform.notifications
    assert b"packets_fulfilled 1\n" in relay.ask("GET", "/counters/all")[1]


@pytest.mark.parametrize("grace_us", [None, 0, 10_000])
def test_no_call_went_out_where_the_settings_name_no_grace_for_drains(start, grace_us):
    """Guards the bound on a held-up call, which follows from that grace (issue 79)."""
    platform = Platform(hosts=1)
    obligations = {key: value for key, value in CONFIG["obligations"].items() if key != "drain-grace-us"}
    if grace_us is not None:
        obligations["drain-grace-us"] = grace_us
    relay = start(platform, settings=CONFIG | {"obligations": obligations})
    assert relay.hand_in("a") == 202
    until(lambda: platform.sent("a"))
    assert "call-withheld" not in relay.log()


def test_packets_held_for_one_host_are_sent_as_one_batch_with_an_outcome_each(start):
    platform = Platform(hosts=0)
    relay = start(platform)
    names = [f"p{n}" for n in range(5)]
    for name, profile in zip(names, ["again", "once", "once", "again", "once"], strict=True):
        assert relay.hand_in(name, profile, body=name.encode(), Idempotency_Key="m" + name) == 202
    states = dict(zip(names, ["accepted", "fault", "deferred", "expired", "no_more"], strict=True))

    def decide(call):
        if call.path == "/hook":
            return reply(200)
        rows = [{"id": row["id"], "state": states[row["id"]]} for row in call.rows]
        return reply(200, json.dumps(rows).encode(), Retry_After="0.7")

    platform.decide = decide
    platform.add("b0", kind="big")
    batch = until(lambda: platform.calls)[0]
    assert batch.path == "/hook/batch" and [row["id"] for row in batch.rows] == names
    assert [base64.b64decode(row["body"]) for row in batch.rows] == [name.encode() for name in names]
    assert [row["key"] for row in batch.rows] == ["m" + name for name in names]
    until(lambda: platform.notification_results("p1") == ["dead"])
    later = until(lambda: len(platform.calls) > 1 and platform.calls[1:])
    # A retry-after wait is binding also in an answer that accepts packets.
    assert later[0].at - batch.at >= 0.69
    until(
        lambda: {
            row["id"]
            for call in platform.calls[1:]
            for row in (call.rows if call.path != "/hook" else [{"id": call.id}])
        }
        == {"p2", "p4"}
    )
    assert not platform.notification_results("p0") and not platform.notification_results("p3")


def test_invalid_answers_to_a_batch_may_have_run_and_the_relay_keeps_serving(start):
    platform = Platform(hosts=0)
    bodies = iter([b"[" * 60000, b"7", b'[{"id":[]}]', b'[{"id":"p3","state":{}}]', b"\xff"])
    platform.decide = lambda call: reply(200, next(bodies), X_Backend_Load="x0=nan,x1=inf", Retry_After="inf")
    relay = start(platform, settings=CONFIG | {"report": {"fields": ["x0", "x1"]}})
    for n in range(10):
        relay.hand_in(f"p{n}", "once", dest=n // 2)
    for n in range(5):
        platform.add(f"b{n}", kind="big", group=n)
    until(lambda: len(platform.notifications) == 10)
    assert {notice["result"] for notice in platform.notifications} == {"dead"}
    assert [call.path for call in platform.calls] == ["/hook/batch"] * 5 and "Traceback" not in relay.log()


def test_accepted_packets_survive_a_kill(start):
    platform = Platform(hosts=0)
    relay = start(platform)
    for ident, profile, left in (("a", "again", "16000m"), ("b", "once", "16000m"), ("c", "again", "900m")):
        assert relay.hand_in(ident, profile, left) == 202
    relay.end()
    platform.add("h0")
    time.sleep(1)
    relay.start()
    until(lambda: platform.sent("a") and platform.sent("b") and platform.notification_results("c"))
    assert platform.notification_results("c") == ["bounced"] and not platform.sent("c")
    until(lambda: b"packets_fulfilled 2\n" in relay.ask("GET", "/counters/all")[1])
    relay.end()
    relay.start()
    time.sleep(0.5)
    assert (
        len(platform.calls) == 2 and len(platform.notifications) == 1
    )  # final outcomes are in the journal too


def test_a_trip_in_flight_at_a_kill_may_have_run(start):
    platform = Platform()
    platform.decide = lambda call: None
    relay = start(platform)
    for ident, profile in (("a", "again"), ("b", "once"), ("c", "marked"), ("d", "marked")):
        assert relay.hand_in(ident, profile, Cookie="about=k") == 202
    until(lambda: len(platform.calls) == 3)  # the second of one key waits for the first
    relay.end()
    platform.decide = lambda call: reply(200)
    relay.start()
    until(lambda: platform.notification_results("b") == ["dead"] and platform.sent("d"))
    assert [len(platform.sent(ident)) for ident in "abcd"] == [2, 1, 2, 1]
    assert platform.sent("d")[0].at > platform.sent("c")[1].at


def test_refused_trips_are_known_never_to_have_run_after_a_kill(start):
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(429, Retry_After="1.5")
    relay = start(platform)
    relay.hand_in("a", "once")
    until(lambda: b"trips_full 1\n" in relay.ask("GET", "/counters/all")[1])
    relay.end()
    platform.decide = lambda call: reply(200)
    relay.start()
    until(lambda: len(platform.sent("a")) == 2)
    assert not platform.notifications


def test_a_torn_tail_of_the_journal_is_dropped_and_logged(start):
    platform = Platform(hosts=0)
    relay = start(platform)
    relay.hand_in("a")
    relay.end()
    with open(relay.folder / "state" / "journal", "ab") as journal:
        journal.write(b"\x40\0\0\0torn")
    platform.add("h0")
    relay.start()
    until(lambda: platform.sent("a"))
    assert "journal-torn dropped_bytes=8" in relay.log()


def test_sigterm_accepts_nothing_new_and_loses_nothing(start):
    platform = Platform()
    release = []

    def decide(call):
        until(lambda: release)
        return reply(200)

    platform.decide = decide
    relay = start(platform)
    relay.hand_in("out", "once")
    relay.hand_in("held", "once", dest=9)
    until(lambda: platform.sent("out"))
    began = time.monotonic()
    relay.send_signal(signal.SIGTERM)
    until(lambda: relay.get("/ready") == 503)
    status, _, head = relay.ask(
        "POST",
        "/api",
        b"x",
        X_Correlation_Id="new",
        X_Service_Class="again",
        X_Time_Left="16000m",
        X_Addressing="dest=0",
    )
    assert status == 503 and float(head["Retry-After"]) > 0 and head["Connection"] == "close"
    time.sleep(1)
    release.append(True)
    assert relay.process.wait(6) == 0 and time.monotonic() - began < 3.7
    assert "counters " in relay.log() and not platform.notifications
    platform.add("h9", group=9)
    relay.start()
    until(lambda: platform.sent("held"))
    time.sleep(0.3)
    assert len(platform.sent("out")) == 1 and not platform.sent("new") and not platform.notifications


def test_sigterm_waits_for_a_silent_host_no_longer_than_the_shutdown_timeout(start):
    platform = Platform(hosts=1)
    platform.decide = lambda call: None
    relay = start(platform)
    relay.hand_in("once", "once")
    relay.hand_in("again")
    until(lambda: len(platform.calls) == 2)
    began = time.monotonic()
    relay.send_signal(signal.SIGTERM)
    assert relay.process.wait(6) == 0 and 3 < time.monotonic() - began < 3.7
    platform.decide = lambda call: reply(200)
    relay.start()
    until(lambda: platform.notification_results("once") == ["dead"] and platform.calls[-1].id == "again")
    assert len(platform.sent("once")) == 1


def test_sigterm_ends_an_idle_relay_only_after_late_connections(start):
    relay = start(Platform())
    relay.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    assert relay.hand_in("late") == 503
    assert relay.process.wait(2) == 0


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (build_request(left="soon") + b"hi", 400),
        (build_request(left="-5m") + b"hi", 400),
        (build_request(left="9" * 14 + "m") + b"hi", 400),
        (build_request(profile="unheard-of") + b"hi", 400),
        (build_request(ident="") + b"hi", 400),
        (build_request(ident="x" * 200) + b"hi", 400),
        (build_request(**{"X-Addressing": "dest=north"}) + b"hi", 400),
        (build_request(length="two") + b"hi", 400),
        (build_request(length=70000) + b"hi", 413),
        (build_request(length=0, **{"Transfer-Encoding": "chunked"}) + b"hi", 400),
        (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + build_request()[20:] + b"0\r\n\r\n", 400),
        (build_request(**{"x-correlation-id": "another"}) + b"hi", 400),
        (build_request(**{"content-length": 5}) + b"hi", 400),
        (build_request(length=-2) + b"hi", 400),
        (build_request(length=200_000) + b"x" * 200_000, 413),
        (b"GET /" + b"a" * 20000, 400),
        (b"POST /api HTTP/1.1\r\n" + b"X-Long: " + b"a" * 20000, 400),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", 404),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    ],
    ids=lambda given: str(given)[-30:],
)
def test_malformed_requests_are_refused_and_their_connections_closed(start, raw, status):
    platform = Platform()
    relay = start(platform)
    assert relay.send_raw(raw).startswith(b"HTTP/1.1 %d " % status)
    assert relay.hand_in("fine") == 202
    until(lambda: platform.sent("fine"))
    assert len(platform.calls) == 1


def test_silent_and_half_sent_requests_are_closed_in_time_and_delay_no_other_client(start):
    platform = Platform()
    relay, began = start(platform), time.monotonic()
    address = ("127.0.0.1", relay.port)
    silent = [socket.create_connection(address, timeout=4) for _ in range(60)]
    half = [socket.create_connection(address, timeout=4) for _ in range(60)]
    for n, link in enumerate(half):
        link.sendall(build_request()[: 20 + n])
    kept = http.client.HTTPConnection(*address, timeout=4)
    for n in range(25):
        head = {
            "X-Correlation-Id": f"p{n}",
            "X-Service-Class": "again",
            "X-Time-Left": "9000m",
            "X-Addressing": "dest=0",
        }
        kept.request("POST", "/api", b"x", head)
        assert kept.getresponse().read() == b"" and kept.sock
        time.sleep(0.02)
    assert all(link.recv(99) == b"" for link in silent)
    assert all(link.recv(99).startswith(b"HTTP/1.1 408 ") for link in half)
    assert time.monotonic() - began < 3
    until(lambda: b"packets_fulfilled 25\n" in relay.ask("GET", "/counters/all")[1])


def test_requests_that_can_not_be_served_are_not_accepted(start):
    platform = Platform()
    relay = start(platform)
    status, _, head = relay.ask(
        "POST",
        "/api",
        b"x",
        X_Correlation_Id="lost",
        X_Service_Class="again",
        X_Time_Left="9000m",
        X_Addressing="dest=70000",
    )
    assert status == 503 and float(head["Retry-After"]) > 0
    raw = (
        build_request("chunks", **{"Transfer-Encoding": "chunked"}).replace(b"Content-Length: 2\r\n", b"")
        + b"2\r\nhi\r\n0\r\nX-Addressing: dest=70000\r\nX-Correlation-Id: other\r\n\r\n"
    )
    assert relay.send_raw(raw.replace(b"Host: x", b"Connection: close")).startswith(b"HTTP/1.1 202 ")
    assert until(lambda: platform.calls)[0].id == "chunks"  # trailers after a body do not change the request


def test_an_accepted_id_is_not_accepted_again(start):
    platform = Platform()
    relay = start(platform)
    for body in (b"mine", b""):  # the second may come from another client
        assert relay.hand_in("a", "once", body=body) == 202
        until(lambda: b"packets_fulfilled 1\n" in relay.ask("GET", "/counters/all")[1])
    time.sleep(0.2)
    assert [call.body for call in platform.calls] == [b"mine"]


def test_a_packet_that_no_host_can_read_does_not_fail_the_rest_of_its_batch(start):
    platform = Platform(hosts=0)
    relay = start(platform)
    for ident in ("a", "odd", "b", "c"):
        relay.hand_in(ident, "once")

    def decide(call):
        rows = [row["id"] for row in call.rows] if call.path != "/hook" else [call.id]
        states = [{"id": ident, "state": "accepted"} for ident in rows]
        return reply(400) if "odd" in rows else reply(200, json.dumps(states).encode())

    platform.decide = decide
    platform.add("b0", kind="big")
    until(lambda: platform.notification_results("odd") == ["bounced"])
    until(lambda: b"packets_fulfilled 3\n" in relay.ask("GET", "/counters/all")[1])
    assert len(platform.calls) == 5 and len(platform.sent("odd")) == 1


def test_random_bytes_and_truncated_requests_do_not_end_the_process(start):
    chance, relay = random.Random(5), start(Platform())
    whole = build_request() + b"hi"
    for _ in range(150):
        raw = bytearray(whole)
        for _ in range(chance.choice((0, 1, 4))):
            raw[chance.randrange(len(raw))] = chance.randrange(256)
        with socket.create_connection(("127.0.0.1", relay.port)) as link:
            link.sendall(raw[: chance.randrange(len(raw) + 1)])
    assert relay.hand_in("fine") == 202 and "Traceback" not in relay.log()


def test_a_client_that_closes_before_its_answer_withdraws_its_request(start):
    platform = Platform()
    relay = start(platform)
    relay.send_signal(signal.SIGSTOP)
    with socket.create_connection(("127.0.0.1", relay.port)) as link:
        link.sendall(build_request("gone") + b"hi")
    time.sleep(0.05)
    relay.send_signal(signal.SIGCONT)
    assert relay.hand_in("stays") == 202
    until(lambda: platform.sent("stays"))
    assert not platform.sent("gone")
    assert b"requests_withdrawn 1\n" in relay.ask("GET", "/counters/all")[1]


def test_pipelined_requests_are_answered_in_order(start):
    platform = Platform()
    relay = start(platform)
    last = build_request("b", Connection="close") + b"yo"
    answers = relay.send_raw(build_request("a") + b"hi" + b"GET /nowhere HTTP/1.1\r\n\r\n" + last)
    assert [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]] == [b"202", b"404", b"202"]
    upgrade = relay.send_raw(build_request("c", Connection="Upgrade", Upgrade="other") + b"hi")
    assert upgrade.count(b"HTTP/1.1 ") == upgrade.count(b"HTTP/1.1 202 ") == 1
    until(lambda: platform.sent("a") and platform.sent("b") and platform.sent("c"))


def test_notifications_are_resent_until_acknowledged_also_after_a_kill(start):
    platform = Platform()
    platform.decide = lambda call: "reset"
    platform.notification_status = 500
    relay = start(platform)
    relay.hand_in("a", "once")
    until(lambda: platform.notification_calls > 2)
    relay.end()
    platform.notification_status = 204
    relay.start()
    until(lambda: platform.notification_results("a") == ["dead"])
    time.sleep(0.3)
    assert platform.notification_results("a") == ["dead"] and len(platform.calls) == 1


@pytest.mark.parametrize(
    "answer",
    [
        "reset",
        b"HTTP/1.1 2x0 ?\r\n\r\n",
        b"\0\1\2",
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 OK 200\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\ncut",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 5000,
        b"HTTP/1.1 500 X\r\nX-Pad: p",
    ],
    ids=lambda given: str(given)[:40],
)
def test_an_answer_that_does_not_rule_out_execution_ends_a_non_idempotent_packet(start, answer):
    platform = Platform(hosts=1)
    platform.decide = lambda call: answer if 1 < len(platform.calls) < 4 else reply(200)
    relay = start(platform)
    relay.hand_in("first")
    until(lambda: b"packets_fulfilled 1\n" in relay.ask("GET", "/counters/all")[1])
    relay.hand_in("once", "once")  # on the connection that has just carried a good answer
    until(lambda: platform.notification_results("once") == ["dead"])
    relay.hand_in("again", "again")
    until(lambda: len(platform.sent("again")) == 2)
    assert len(platform.sent("once")) == 1


@pytest.mark.parametrize(
    "answer",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut",),
        (b"HTTP/1.1 200 OK\r\n\r\nwithout a length",),
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\nHTTP/",
        b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200, b"well"),
        [b"HTTP/1.1 102 Processing\r\n\r\n", 0.8, reply(200, b"well")],
        b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + reply(200),
        b"HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nX-Pad: p",
        (b"HTTP/1.1 200 OK\r\n",),
        (b"HTTP/1.1 200 \r\n",),
        [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 O", 0.1, b"K\r", 0.1, b"\n"],
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 200_000,
    ],
    ids=lambda given: str(given)[:60],
)
def test_a_status_line_with_200_counts_as_delivered_whatever_follows_it(start, answer):
    platform = Platform()
    platform.decide = lambda call: answer
    relay = start(platform)
    for n in range(3):
        relay.hand_in(f"p{n}", "once")
        until(lambda n=n: platform.sent(f"p{n}"))
    until(lambda: b"packets_fulfilled 3\n" in relay.ask("GET", "/counters/all")[1])
    assert not platform.notifications and len(platform.calls) == 3


@pytest.mark.parametrize("more", [b"\xff\xfe noise\r\n\r\n", reply(500), b"\r\n"])
def test_surplus_bytes_after_a_good_answer_do_no_harm(start, more):
    platform = Platform(hosts=0)
    relay = start(platform)

    def decide(call):
        first = [row["id"] for row in call.rows] if call.path != "/hook" else [call.id]
        taken = json.dumps([{"id": ident, "state": "accepted"} for ident in first]).encode()
        return (reply(503) if len(platform.calls) == 1 else reply(200, taken)) + more

    platform.decide = decide
    for n in range(3):
        relay.hand_in(f"p{n}", "once")
    platform.add("b0", kind="big")
    until(lambda: b"packets_fulfilled 3\n" in relay.ask("GET", "/counters/all")[1])
    assert len(platform.calls) == 2 and not platform.notifications


def test_a_host_that_can_not_be_reached_has_run_nothing(start):
    platform = Platform(hosts=1)
    with socket.create_server(("127.0.0.1", 0)) as free:
        platform.add("shut", address=f"127.0.0.1:{free.getsockname()[1]}")
    relay = start(platform)
    for n in range(8):
        relay.hand_in(f"p{n}", "once")
    until(lambda: len(platform.calls) == 8)
    assert not platform.notifications and "reason=unconnected" in relay.log()


def test_the_log_names_each_refusal_failed_attempt_ejection_and_end_with_its_id_and_reason(start):
    platform = Platform(hosts=0)
    with socket.create_server(("127.0.0.1", 0)) as free:
        platform.add("shut", address=f"127.0.0.1:{free.getsockname()[1]}")
    relay = start(platform)
    assert relay.hand_in("unlisted", dest=99) == 503
    assert relay.hand_in("late", "once", left="2500m") == 202
    until(lambda: platform.notification_results("late"))
    log = relay.log()
    assert "message-refused id=unlisted destination=99 reason=destination-not-listed" in log
    assert "attempt-failed id=late peer=shut outcome=unconnected finished=False" in log
    assert re.search(r"attempt-failed id=late .* next_ms=[1-9]\d* destination=\d+\n", log)
    assert "host-state peer=shut state=ejected cause='unconnected' pace=" in log
    assert "message-ended id=late end=bounced reason=deadline attempts=" in log
    relay.hand_in("owed", "again")
    relay.end()
    relay.start()
    until(lambda: "message-restored id=owed attempts=" in relay.log())


def test_a_connection_that_is_never_established_has_run_nothing(start):
    platform = Platform(hosts=0)
    with socket.socket() as full, socket.socket() as first, socket.socket() as second:
        full.bind(("127.0.0.1", 0))
        full.listen(0)  # its accept queue is filled below, so no other connection is established
        for link in (first, second):
            link.setblocking(False)
            link.connect_ex(full.getsockname())
        platform.add("mute", address=f"127.0.0.1:{full.getsockname()[1]}")
        relay = start(platform)
        relay.hand_in("a", "once")
        until(lambda: b"connects_failed 1\n" in relay.ask("GET", "/counters/all")[1])
        platform.add("h0")
        until(lambda: platform.sent("a"))
    assert not platform.notifications


def test_while_discovery_is_silent_the_last_list_is_used_and_notifications_wait(start):
    platform = Platform(hosts=1)
    relay = start(platform)
    platform.silent = True
    relay.hand_in("a")
    relay.hand_in("b", left="300m", dest=7)
    until(lambda: platform.sent("a"))
    time.sleep(1)
    assert not platform.notifications
    platform.silent = False
    until(lambda: platform.notification_results("b") == ["bounced"])


def test_a_silent_host_costs_an_idempotent_packet_one_timeout(start):
    platform = Platform()
    platform.decide = lambda call: None if len(platform.calls) == 1 else reply(200)
    relay = start(platform)
    relay.hand_in("a")
    until(lambda: len(platform.sent("a")) == 2)
    assert platform.sent("a")[1].at - platform.sent("a")[0].at > 1.5


def test_after_a_stall_pending_input_is_read_before_anything_is_given_up_or_sent(start):
    platform = Platform(hosts=1)

    def decide(call):
        time.sleep(0.6)
        return reply(200)

    platform.decide = decide
    relay = start(platform)
    relay.hand_in("a")  # its timeout and the other's deadline pass while the relay is stopped
    relay.hand_in("b", "once", "1500m")
    until(lambda: len(platform.calls) == 2)
    relay.send_signal(signal.SIGSTOP)
    time.sleep(3)
    relay.send_signal(signal.SIGCONT)
    until(lambda: b"packets_fulfilled 2\n" in relay.ask("GET", "/counters/all")[1])
    time.sleep(0.3)
    assert len(platform.calls) == 2 and not platform.notifications


def test_expired_packets_are_notified_in_time(start):
    platform = Platform()
    platform.decide = lambda call: None
    relay = start(platform)
    began = time.monotonic()
    relay.hand_in("held", "once", "700m", dest=5)
    relay.hand_in("out", "once", "700m")
    until(
        lambda: platform.notification_results("held") == ["bounced"]
        and platform.notification_results("out") == ["dead"]
    )
    assert 0.6 < time.monotonic() - began < 2


def test_list_updates_are_applied_and_invalid_ones_ignored(start):
    platform = Platform(hosts=1)
    relay = start(platform)
    platform.raw_list = b'{"index":90,"snapshot":true,"endpoints":[{"name":"h9"}]}'
    with platform.changed:
        platform.index += 1
        platform.changed.notify_all()
    until(lambda: "list-failed" in relay.log())
    relay.hand_in("a")
    until(lambda: platform.sent("a"))
    platform.add("h1")
    platform.add("h0", status="DRAINING")
    time.sleep(0.7)
    for n in range(5):
        relay.hand_in(f"p{n}")
    until(lambda: len(platform.calls) == 6)
    assert {call.who for call in platform.calls[1:]} == {"h1"}


def test_sighup_moves_to_the_new_discovery_without_a_gap_and_a_bad_file_changes_nothing(start):
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(500)
    relay = start(platform)
    for n, bad in enumerate(("{", "[]", json.dumps(relay.config | {"discovery": "nowhere"}), "{}")):
        relay.reload(bad)
        until(lambda n=n: relay.log().count("reload-failed") == n + 1)
    for n in range(3):
        relay.hand_in(f"before{n}", "once")
        relay.reload({"discovery": platform.move()})
        platform.add(f"new{n}", group=n + 1)
        relay.hand_in(f"after{n}", "once", dest=n + 1)
        until(lambda n=n: platform.sent(f"after{n}"), 1)
        until(
            lambda n=n: {f"before{n}", f"after{n}"} <= {notice["ref"] for notice in platform.notifications}, 1
        )
        time.sleep(0.7)
    assert (
        len(platform.notifications) == 6 and relay.process.poll() is None and "Traceback" not in relay.log()
    )


def test_sighup_keeps_the_old_discovery_while_the_new_one_is_unreachable(start):
    platform = Platform(hosts=1)
    relay = start(platform)
    with socket.create_server(("127.0.0.1", 0)) as free:
        nobody = f"127.0.0.1:{free.getsockname()[1]}"
    relay.reload({"discovery": nobody})
    until(lambda: "reloaded discovery=" in relay.log())
    platform.add("h5", group=5)
    relay.hand_in("a", dest=5)
    until(lambda: platform.sent("a"), 2)
    relay.reload({"discovery": platform.move()})
    time.sleep(0.7)
    platform.add("h6", group=6)
    relay.hand_in("b", dest=6)
    until(lambda: platform.sent("b"), 2)


def test_the_relay_is_ready_only_once_it_has_a_list(start):
    platform = Platform(hosts=1)
    relay = start(platform)
    relay.end()
    relay.config["known"] = {"index": 3, "endpoints": [{"name": "h0", "status": "LOST"}]}
    platform.silent = True
    relay.start(ready=503)
    time.sleep(0.2)
    assert relay.get("/ready") == 503
    relay.end()
    platform.silent = False
    relay.start()
    relay.hand_in("a")
    until(lambda: platform.sent("a"))


def test_a_retry_after_wait_is_binding(start):
    platform = Platform()
    platform.decide = lambda call: reply(429, Retry_After="0.8") if len(platform.calls) == 1 else reply(200)
    relay = start(platform)
    relay.hand_in("a", "once")
    until(lambda: platform.calls)
    relay.hand_in("b")
    until(lambda: len(platform.calls) == 3)
    assert min(call.at for call in platform.calls[1:]) - platform.calls[0].at >= 0.79


def test_a_retry_after_wait_in_an_answer_that_accepts_all_packets_is_binding(start):
    platform = Platform(hosts=0)
    relay = start(platform)
    for ident in "ab":
        relay.hand_in(ident, "once")

    def decide(call):
        taken = [{"id": row["id"], "state": "accepted"} for row in call.rows] if call.path != "/hook" else []
        return reply(200, json.dumps(taken).encode(), Retry_After="0.8")

    platform.decide = decide
    platform.add("b0", kind="big")
    until(lambda: len(platform.calls) == 1)
    relay.hand_in("c")
    until(lambda: platform.sent("c"))
    assert platform.sent("c")[0].at - platform.calls[0].at >= 0.79


@pytest.mark.parametrize("seed", range(2))
def test_rules_hold_under_random_kills_and_answers(start, seed):
    chance, platform, taken = random.Random(seed), Platform(hosts=3, rate=300.0), {}
    lock, ran = threading.Lock(), {}

    def decide(call):
        with lock:
            how, wait = chance.choice("wwwwfrxs"), chance.random() * 0.2
            ran.setdefault(call.id, []).append((call.at, how))
        if how == "s":
            return None
        time.sleep(wait)
        return {"w": reply(200), "f": reply(500), "r": reply(503), "x": "reset"}[how]

    platform.decide = decide
    relay, ends = start(platform), []
    for run in range(4):
        for n in range(40):
            profile = chance.choice(("again", "once", "marked"))
            ident, head = f"p{run}-{n}", {"Idempotency-Key": "m", "Cookie": f"about=k{n % 3}"}
            if relay.hand_in(ident, profile, "2500m", **head) == 202:
                taken[ident] = profile
            time.sleep(chance.random() * 0.02)
        signalled_at = time.monotonic()
        relay.end(chance.choice((signal.SIGKILL, signal.SIGTERM)))
        ends.append((signalled_at, time.monotonic()))
        relay.start()
    done = lambda ident: platform.notification_results(ident) or "w" in [how for _, how in ran.get(ident, [])]  # noqa: E731
    until(lambda: all(map(done, taken)))
    for ident, profile in taken.items():
        calls, notified_at = ran.get(ident, []), platform.notified_at.get(ident, [])
        # A process may end after the platform has read a notification and before that is recorded.  The next
        # process then sends it again, which the protocol allows; without such an end it must not be repeated.
        assert len(set(platform.notification_results(ident))) <= 1, (
            ident,
            platform.notification_results(ident),
            notified_at,
            ends,
        )
        for first, second in itertools.pairwise(notified_at):
            between = [end for end in ends if first <= end[1] and end[0] <= second and end[0] - first < 0.5]
            assert between, (ident, notified_at, ends, relay.log())
        if profile == "once":
            assert all(
                how == "r" for _, how in calls[:-1]
            ), "a non-idempotent packet was repeated though it may have run"
            if platform.notification_results(ident) == ["bounced"]:
                assert all(how == "r" for _, how in calls), "a packet that may have run was dismissed"
    assert len(taken) > 100 and "Traceback" not in relay.log()


def test_connections_are_kept_open_and_reused(start):
    platform = Platform(hosts=1)
    relay = start(platform)
    for n in range(6):
        relay.hand_in(f"p{n}")
        until(lambda n=n: platform.sent(f"p{n}"))
        time.sleep(0.02)
    assert platform.connection_count == 1


def test_messages_beyond_the_disk_limit_are_refused_until_space_is_free(start):
    platform = Platform(hosts=0)
    relay = start(platform)
    answers = [relay.hand_in(f"p{n}", "again", "3000m", body=b"x" * 60000) for n in range(12)]
    taken = answers.count(202)
    assert 0 < taken < 12 and answers == [202] * taken + [503] * (12 - taken)
    until(lambda: len(platform.notifications) == taken)
    assert relay.hand_in("later", body=b"x" * 60000) == 202
    size = sum(os.path.getsize(entry.path) for entry in os.scandir(relay.folder / "state"))
    assert size < 1 << 20


def test_a_full_disk_causes_refusals_and_no_losses(start):
    platform = Platform(hosts=0)
    relay = start(platform, max_file_bytes=1500)
    answers = [relay.hand_in(f"p{n}", "once", body=b"x" * 300) for n in range(8)]
    taken = answers.count(202)
    assert 0 < taken < 8 and answers == [202] * taken + [503] * (8 - taken)
    platform.add("h0")
    until(
        lambda: len({call.id for call in platform.calls} | {n["ref"] for n in platform.notifications})
        == taken
    )
    relay.end()
    relay.start(max_file_bytes=None)
    assert relay.hand_in("later") == 202
    until(lambda: platform.sent("later"))
    assert all(len(platform.sent(f"p{n}")) <= 1 for n in range(8)) and "Traceback" not in relay.log()


def test_too_many_client_connections_close_the_one_idle_longest(start):
    relay = start(Platform())
    links = [socket.create_connection(("127.0.0.1", relay.port), timeout=2) for _ in range(140)]
    assert relay.hand_in("fine") == 202
    assert links[0].recv(1) == b""
    for link in links:
        link.close()


def test_counters_are_logged_on_sigusr1(start):
    relay = start(Platform())
    relay.hand_in("a")
    relay.send_signal(signal.SIGUSR1)
    until(lambda: "packets_taken=1" in relay.log())


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"settings": {}}, "grades"),
        ({"listen": "nowhere"}, "RELAY_LISTEN"),
        ({"seed": "not hex"}, "not hex"),
        (None, "is not JSON"),
    ],
)
def test_an_invalid_configuration_ends_the_start_with_one_line(tmp_path, change, says):
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": CONFIG}
    (tmp_path / "config").write_text("{" if change is None else json.dumps(config | change))
    env = {"PATH": os.environ["PATH"], "RELAY_CONFIG": str(tmp_path / "config"), "RELAY_STATE": str(tmp_path)}
    command = [sys.executable, "-m", "millweir"]
    ended = subprocess.run(command, env=env, capture_output=True, text=True, timeout=10)
    assert ended.returncode == 1
    assert ended.stderr.startswith("millweir: ") and says in ended.stderr and "Traceback" not in ended.stderr


def test_sighup_enables_a_new_profile_and_rejects_a_file_that_allows_no_trips(start):
    platform = Platform(hosts=1)
    relay = start(platform)
    given = relay.config["settings"]
    assert relay.hand_in("early", "fresh") == 400  # not known yet
    fresh = dict(given["grades"][0], name="fresh")
    relay.reload({"settings": given | {"grades": [*given["grades"], fresh]}})
    until(lambda: "new-or-changed=1" in relay.log())
    assert relay.hand_in("n", "fresh") == 202
    until(lambda: platform.sent("n"), 2)
    relay.reload({"settings": given | {"ceilings": given["ceilings"] | {"max-attempts": 0}}})
    until(lambda: "reload-failed" in relay.log())
    assert relay.hand_in("m", "fresh") == 202  # the last valid file stays in effect
    until(lambda: platform.sent("m"), 2)


def test_a_retry_after_that_came_unasked_holds_back_the_next_message(start):
    """It is the true answer to a call for which a copy passed (rule 6)."""
    platform = Platform()
    late = [reply(200) + reply(429, Retry_After="1.2"), reply(200)]
    platform.decide = lambda call: late.pop(0)
    relay = start(platform)
    relay.hand_in("a")
    until(lambda: platform.sent("a"))
    time.sleep(0.1)
    handed_in_at = time.monotonic()
    relay.hand_in("b")
    until(lambda: platform.sent("b"))
    assert time.monotonic() - handed_in_at > 1.0


def test_a_log_that_nobody_read_stopped_the_relay(tmp_path):
    """Guards standard error that is a pipe: lines that it does not take are dropped."""
    os.mkfifo(tmp_path / "log")
    reader = os.open(tmp_path / "log", os.O_RDONLY | os.O_NONBLOCK)
    fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, 4096)
    platform = Platform(hosts=1)
    relay = Program(platform, tmp_path)
    try:
        for _ in range(100):  # a line each
            assert relay.get("/ready") == 200
        assert relay.hand_in("late") == 202
        until(lambda: platform.sent("late"))
        relay.send_signal(signal.SIGTERM)
        assert relay.process.wait(4) == 0
    finally:
        relay.end()
        os.close(reader)
