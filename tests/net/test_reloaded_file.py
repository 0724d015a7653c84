"""Files read at SIGHUP that lack something: rejected whole, or the platform's address is kept.

Seen: a file without `discovery` sent the notifications to the address of the start, so that accepted messages
had no final outcome (docs/incidents/review-reload-without-discovery.md).
"""

import asyncio
import copy
import json
from types import SimpleNamespace

import pytest
import uvloop
from rig import CONFIG, settings

from millweir.control import bounds
from millweir.net.config import read_config
from millweir.net.counters import Counters
from millweir.net.notices import NotificationSender
from millweir.net.owed_message import OwedMessage
from millweir.net.reload import ConfigReloader
from net.agent import LIMITS, Agent

START, MOVED, MOVED_AGAIN = "127.0.0.1:4001", "127.0.0.1:4002", "127.0.0.1:4003"
WHOLE = {
    "name": "n0",
    "listen": "127.0.0.1:4000",
    "control": "127.0.0.1:4010",
    "discovery": START,
    "seed": "2a",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 1},
    "known": {"index": 0, "endpoints": []},
    "settings": CONFIG,
}


class Reloads:
    """Files read one after the other; the variables name the addresses, or the first file alone does."""

    def __init__(self, folder, first=WHOLE, with_variables=True):
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(first))
        self.applied, self.reload_counts, self.lines = [], [0, 0], []
        environ = {"RELAY_CONFIG": str(self.path), "RELAY_STATE": str(folder)}
        if with_variables:
            environ |= {"RELAY_NAME": "n0", "RELAY_LISTEN": WHOLE["listen"], "RELAY_DISCOVERY": START}
            environ |= {"RELAY_CONTROL": WHOLE["control"]}
        log = SimpleNamespace(always=self.lines.append)
        self.reloader = ConfigReloader(read_config(environ), environ, self, log)

    def reload(self, config):
        self.applied.append(config)

    def read(self, document):
        """Read a file; returns whether it was applied."""
        self.path.write_text(document if isinstance(document, str) else json.dumps(document))
        counted, applied = sum(self.reload_counts), len(self.applied)
        self.reloader.reload()
        assert sum(self.reload_counts) == counted + 1 and self.reload_counts[0] == len(self.applied)
        return len(self.applied) > applied

    @property
    def discovery(self):
        return ":".join(map(str, self.applied[-1].discovery))


def without(*path, source=WHOLE):
    document = copy.deepcopy(source)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return document


def changed(value, *path):
    document = copy.deepcopy(WHOLE)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return document


def list_paths(value, path=()):
    """All keys of a document, at any depth; the entries of lists by their numbers."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in rows:
        if isinstance(value, dict):
            yield (*path, key)
        yield from list_paths(inner, (*path, key))


OPTIONAL = ("settings", "obligations", "key-quiet-us")  # by WIRE: "if present"
SHARED_BY_GRADES = set.intersection(*(set(grade) for grade in CONFIG["grades"]))
REQUIRED = [
    path
    for path in list_paths(WHOLE)
    if path != OPTIONAL and (path[1:2] != ("grades",) or len(path) < 4 or path[3] in SHARED_BY_GRADES)
]


@pytest.mark.parametrize("with_variables", [True, False])
@pytest.mark.parametrize("path", [path for path in REQUIRED if path[0] != "known" or len(path) == 1], ids=str)
def test_a_reloaded_file_that_lacked_a_key_was_filled_up(path, with_variables, tmp_path):
    """Missing or null, after the start and after another file: rejected, and what is in force stays."""
    reloads = Reloads(tmp_path, with_variables=with_variables)
    assert not reloads.read(without(*path))
    assert reloads.read(WHOLE | {"discovery": MOVED})
    assert not reloads.read(without(*path, source=WHOLE | {"discovery": MOVED}))
    if not isinstance(path[-1], int):
        assert not reloads.read(changed(None, *path))
    assert reloads.discovery == MOVED and reloads.reload_counts[0] == 1


@pytest.mark.parametrize(
    "document",
    [
        "",
        "{}",
        "[]",
        "null",
        json.dumps(WHOLE)[:-1],
        json.dumps(WHOLE) + "}",
        "[" * 100_000,
        changed("", "discovery"),
        changed("127.0.0.1", "discovery"),
        changed("127.0.0.1:0", "discovery"),
        changed("127.0.0.1:http", "discovery"),
        changed(4002, "discovery"),
        changed([MOVED], "discovery"),
        changed({"address": MOVED}, "discovery"),
        changed("127.0.0.1:70000", "listen"),
        changed("nowhere", "control"),
        changed([], "limits"),
        changed("many", "limits", "sockets"),
        changed([], "known"),
        changed([3], "settings", "grades"),
        changed("yes", "settings", "ceilings", "cancel"),
        changed(float("inf"), "limits", "disk_mb"),
        changed("xyz", "seed"),
    ],
    ids=lambda document: str(document)[-40:],
)
def test_a_reloaded_file_with_an_unusable_value_was_filled_up(document, tmp_path):
    reloads = Reloads(tmp_path)
    assert not reloads.read(document)
    assert reloads.read(WHOLE | {"discovery": MOVED})
    assert not reloads.read(document)
    assert reloads.discovery == MOVED


def test_a_key_that_a_reload_brought_is_required_from_then_on(tmp_path):
    """The start's file left the address to the environment: a file without it keeps what is in force."""
    reloads = Reloads(tmp_path, without("discovery"))
    assert reloads.read(without("discovery")) and reloads.discovery == START
    assert reloads.read(WHOLE | {"discovery": MOVED}) and reloads.discovery == MOVED
    assert not reloads.read(without("discovery"))
    assert not reloads.read(WHOLE | {"discovery": None})
    assert reloads.read(WHOLE | {"discovery": MOVED_AGAIN}) and reloads.discovery == MOVED_AGAIN
    assert reloads.reload_counts == [3, 2]


FULL_GRADE = {
    "name": "full",
    "objective-us": 2_000_000,
    "give-up-us": 16_000_000,
    "semantics": "token",
    "key-scope": "all",
    "dedup-window-us": 6_000_000,
    "one-at-a-time": True,
    "aim-stretch": 2.0,
}
GRADES = ("settings", "grades")
LEFT_OUT = {
    "one-at-a-time": without("one-at-a-time", source=FULL_GRADE),
    "aim-stretch": without("aim-stretch", source=FULL_GRADE),
    "both": without("one-at-a-time", source=without("aim-stretch", source=FULL_GRADE)),
    "key-scope": without("key-scope", source=FULL_GRADE | {"semantics": "pure"}),
    "dedup-window-us": without("dedup-window-us", source=FULL_GRADE | {"semantics": "side_effect"}),
}


@pytest.mark.parametrize("grade", LEFT_OUT.values(), ids=LEFT_OUT)
def test_a_class_without_a_key_that_the_pages_call_optional_was_turned_down(grade, tmp_path):
    """Guards good files: each earlier class had the key; the new class comes beside them or alone."""
    reloads = Reloads(tmp_path, changed([FULL_GRADE], *GRADES))
    assert reloads.read(changed([FULL_GRADE, grade | {"name": "new"}], *GRADES)), reloads.lines
    assert reloads.read(changed([grade], *GRADES)), reloads.lines
    assert reloads.read(changed([FULL_GRADE], *GRADES)), reloads.lines
    assert [profile.name for profile in reloads.applied[0].settings.profiles] == ["full", "new"]


def test_a_file_without_the_optional_quiet_time_of_keys_was_turned_down(tmp_path):
    """Guards good files; a null or another type in its place is turned down, before and after."""
    reloads = Reloads(tmp_path)
    for bad in (None, "300000", -1, [], {}, True):
        assert not reloads.read(changed(bad, *OPTIONAL))
    assert reloads.read(without(*OPTIONAL)), reloads.lines
    for bad in (None, "300000", -1, [], {}, True):
        assert not reloads.read(changed(bad, *OPTIONAL))
    assert reloads.read(WHOLE), reloads.lines


@pytest.mark.parametrize("key", [key for key in FULL_GRADE if key not in LEFT_OUT])
def test_a_class_without_a_required_key_is_turned_down(key, tmp_path):
    reloads = Reloads(tmp_path, changed([FULL_GRADE], *GRADES))
    new = without(key, source=FULL_GRADE)
    assert not reloads.read(changed([FULL_GRADE, new], *GRADES))
    assert not reloads.read(changed([new], *GRADES))


@pytest.mark.parametrize("key", ["key-scope", "dedup-window-us"])
def test_a_class_idempotent_by_key_needs_its_window_and_scope(key, tmp_path):
    reloads = Reloads(tmp_path, changed([FULL_GRADE], *GRADES))
    assert not reloads.read(changed([FULL_GRADE, without(key, source=FULL_GRADE)], *GRADES))


@pytest.mark.parametrize(
    "key, value",
    [
        ("one-at-a-time", None),
        ("one-at-a-time", "true"),
        ("one-at-a-time", 1),
        ("aim-stretch", None),
        ("aim-stretch", "2"),
        ("aim-stretch", -1),
        ("dedup-window-us", -1),
        ("dedup-window-us", "6s"),
        ("key-scope", 3),
        ("semantics", "both"),
        ("objective-us", 0),
        ("give-up-us", float("nan")),
    ],
)
@pytest.mark.parametrize("at_start", [FULL_GRADE, CONFIG["grades"][0]], ids=["had-it", "had-not"])
def test_a_class_with_an_unusable_value_is_turned_down(at_start, key, value, tmp_path):
    """Also where no earlier file had the key, so that its type is known from the pages alone."""
    reloads = Reloads(tmp_path, changed([at_start], *GRADES))
    bad = FULL_GRADE | {"name": "new", key: value}
    assert not reloads.read(changed([at_start, bad], *GRADES))
    assert not reloads.read(changed([bad], *GRADES))


def test_a_file_that_the_relay_started_with_was_turned_down_when_it_came_again(tmp_path):
    """Guards starts with a value that is not as the pages say: what was used may come again."""
    odd = changed([FULL_GRADE | {"one-at-a-time": None, "aim-stretch": "2"}], *GRADES)
    reloads = Reloads(tmp_path, odd)
    assert reloads.read(odd | {"discovery": MOVED}), reloads.lines


def test_files_with_classes_that_appear_change_and_vanish_are_applied(tmp_path):
    reloads = Reloads(tmp_path)
    pure, by_key, single = CONFIG["grades"]
    for grades in ([by_key], [pure, single | {"name": "once-2"}], [single], [by_key, pure]):
        assert reloads.read(changed(grades, "settings", "grades")), reloads.lines
        assert [profile.name for profile in reloads.applied[-1].settings.profiles] == [
            grade["name"] for grade in grades
        ]


class Notified:
    """A sender of notifications that is told of a new address; the old one is the last that answered."""

    def __init__(self, old, new):
        self.acknowledged, self.answering = [], old.address
        self.new = new
        self.sender = NotificationSender(
            asyncio.get_running_loop(),
            old.address,
            lambda: self.answering,
            bounds(settings(), LIMITS),
            lambda message: self.acknowledged.append(message.id),
            SimpleNamespace(info=lambda line: None),
            Counters(),
        )

    def notify(self, name):
        message = OwedMessage(name, b"once", b"", b"", b"", 0, 0, b"")
        message.given_up = (False, 0)
        self.sender.add(message)
        self.sender.send_pending()

    def move(self):
        self.sender.set_address(self.new.address)


def run_notified(steps):
    async def run():
        old, new = await Agent().open(), await Agent().open()
        notified = Notified(old, new)
        try:
            await asyncio.wait_for(steps(notified, old, new), 10)
        finally:
            notified.sender.close()
            old.close()
            new.close()

    uvloop.run(run())


ACKNOWLEDGED = b"HTTP/1.1 204 X\r\n\r\n"


def test_a_notification_on_its_way_at_the_move_waited_for_the_old_address():
    async def steps(notified, old, new):
        notified.notify(b"a")
        await old.next_request()
        notified.move()
        (await new.next_request(0.1)).write(ACKNOWLEDGED)
        await asyncio.sleep(0.05)
        assert notified.acknowledged == [b"a"]

    run_notified(steps)


def test_a_notification_was_kept_for_a_new_address_that_does_not_answer():
    async def steps(notified, old, new):
        notified.move()
        for name in (
            b"a",
            b"b",
        ):  # the first is given up at the new address in time; then the old one is used
            notified.notify(name)
            (await old.next_request(0.2)).write(ACKNOWLEDGED)
            await asyncio.sleep(0.02)
        assert notified.acknowledged == [b"a", b"b"] and new.requests.qsize() == 1
        notified.answering = new.address
        notified.notify(b"c")
        await new.next_request()
        (await new.next_request(0.1)).write(ACKNOWLEDGED)
        await asyncio.sleep(0.02)
        assert notified.acknowledged[-1] == b"c" and not old.requests.qsize()

    run_notified(steps)


def test_notifications_go_to_the_new_address_where_the_old_one_refuses_them():
    async def steps(notified, old, new):
        notified.move()
        old.close()
        notified.notify(b"a")
        await new.next_request()  # not answered
        (await new.next_request(0.4)).write(ACKNOWLEDGED)
        await asyncio.sleep(0.02)
        assert notified.acknowledged == [b"a"]

    run_notified(steps)
