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


SHARED_BY_GRADES = set.intersection(*(set(grade) for grade in CONFIG["grades"]))
REQUIRED = [
    path
    for path in list_paths(WHOLE)
    if path[1:2] != ("grades",) or len(path) < 4 or path[3] in SHARED_BY_GRADES
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
