"""SIGHUP on real processes: at the start, and with files that lack the platform's address."""

import json
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from rig import CONFIG, Platform, Program, reply, until

from millweir import __main__ as main
from net.inside import run_with_relay

ROOT = Path(__file__).parent.parent.parent
SHELL_STARTS = 0.02  # seconds until the shell of `run` executes its first command


def test_repeated_signals_during_the_start_do_not_end_the_process(tmp_path):
    platform = Platform(hosts=1)
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    (tmp_path / "state").mkdir()
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    config = {"seed": "2a", "limits": {}, "settings": CONFIG, "known": platform.list() | {"index": 0}}
    (tmp_path / "config.json").write_text(json.dumps(config))
    env = {
        "RELAY_CONFIG": str(tmp_path / "config.json"),
        "RELAY_STATE": str(tmp_path / "state"),
        "RELAY_LISTEN": listen,
        "RELAY_DISCOVERY": platform.discovery,
        "PATH": "/usr/bin:/bin",
    }
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            ["sh", "-c", run.replace(".venv/bin/python", sys.executable)], env=env, stderr=log, cwd=ROOT
        )
    try:
        time.sleep(SHELL_STARTS)
        until(lambda: process.send_signal(signal.SIGHUP) or b"ready " in (tmp_path / "log").read_bytes())
        until(lambda: b"reloaded discovery=" in (tmp_path / "log").read_bytes())
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


def test_a_configuration_change_before_the_signal_is_handled_is_read(tmp_path, monkeypatch):
    platform = Platform(hosts=1)
    later = Platform(hosts=1)
    path = tmp_path / "config.json"

    class Journal(main.Journal):
        """Loading the journal may take long; meanwhile the platform configures another discovery."""

        def __init__(self, *args):
            super().__init__(*args)
            path.write_text(json.dumps(json.loads(path.read_text()) | {"discovery": later.discovery}))

    monkeypatch.setattr(main, "Journal", Journal)
    for name, value in {
        "RELAY_CONFIG": str(path),
        "RELAY_STATE": str(tmp_path / "state"),
        "RELAY_DISCOVERY": platform.discovery,
        "RELAY_LISTEN": "127.0.0.1:9",
    }.items():
        monkeypatch.setenv(name, value)

    async def steps(relay):
        host, _, port = later.discovery.partition(":")
        await relay.until(lambda: relay.server._discovery_address == (host, int(port)))

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_messages_had_no_final_outcome_after_a_file_without_discovery(tmp_path):
    """On a real process: the address has moved; then a file lacks it, and another names a dead one."""
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(500)  # a non-idempotent message ends by a notification
    program = Program(platform, tmp_path)
    try:
        program.reload({"discovery": platform.move()})
        until(lambda: program.log().count("reloaded discovery=") == 1)
        program.reload({})
        until(lambda: program.log().count("reloaded discovery=") + program.log().count("reload-failed") == 2)
        assert program.hand_in("a", "once") == 202
        until(lambda: "a" in platform.notified_at)
        program.reload({"discovery": "127.0.0.1:9"})
        until(lambda: "reloaded discovery=127.0.0.1:9 " in program.log())
        assert program.hand_in("b", "once") == 202
        until(lambda: "b" in platform.notified_at, 1.0)
    finally:
        program.end()
