"""The operator's file: accepted in full, or rejected with file, line and key before anything is started."""

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from millweir.cli import main
from millweir.operator.file import InvalidOperatorFile, read_operator
from millweir.operator.start import SectionTypes

GOOD = """
[members]
cluster = "c1"
listen = "127.0.0.1:7946"
seeds = ["127.0.0.1:7947", "127.0.0.2:7946"]
interval = "250ms"
timeout = "100ms"
datagram-most = "1KiB"

[members.via]
"127.0.0.1:7947" = "127.0.0.1:9000"
"""


def read_faults(tmp_path, text):
    path = tmp_path / "o.toml"
    path.write_text(text)
    with pytest.raises(InvalidOperatorFile) as raised:
        read_operator(str(path), SectionTypes())
    return [fault.removeprefix(str(path)) for fault in raised.value.faults]


def test_a_valid_file_gives_typed_values(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text(GOOD)
    members = read_operator(str(path), SectionTypes())["members"]
    assert (members.interval, members.timeout, members.datagram_most) == (250_000_000, 100_000_000, 1024)
    assert members.rules().gossip_interval == 50_000_000 and members.via == {
        "127.0.0.1:7947": "127.0.0.1:9000"
    }
    path.write_text("")
    assert read_operator(str(path), SectionTypes()) == {}


def test_all_faults_are_reported_at_once_with_line_and_key(tmp_path):
    found = read_faults(
        tmp_path,
        '[members]\ncluster = "c"\nlisten = "nowhere"\nintervall = "1s"\ninterval = 5\n'
        "helpers = 99\nprotocol = 3\n\n[member]\nx = 1\n",
    )
    assert [fault.split(": ")[0:2] for fault in found] == [
        [":3", "members.listen"],
        [":4", "members.intervall"],
        [":5", "members.interval"],
        [":6", "members.helpers"],
        [":7", "members.protocol"],
        [":9", "member"],
    ]
    assert "did you mean 'interval'" in found[1] and "did you mean 'members'" in found[5]


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ('[members]\nlisten = "127.0.0.1:1"\n', ":1: members.cluster: is needed"),
        ('[members]\ncluster = "c"\nlisten = "host.example:1"\n', "want an IP address"),
        ('[members]\ncluster = "c"\nlisten = "0.0.0.0:1"\n', "members.advertise"),
        ('[members]\ncluster = "c"\nlisten = "127.0.0.1:1"\ntimeout = "2s"\n', "shorter than the interval"),
        ('[members]\ncluster = "c"\nlisten = "127.0.0.1:1"\nkey-file = "/nowhere"\n', "can't be read"),
        (
            '[members]\ncluster = "c"\nlisten = "127.0.0.1:1"\ninterval = "1 fortnight"\n',
            ":4: members.interval",
        ),
        ("members = 1\n", "want a section"),
        ("[members\n", "at line 1"),
    ],
)
def test_each_fault_is_reported(tmp_path, text, part):
    assert any(part in fault for fault in read_faults(tmp_path, text))


def test_the_relay_starts_nothing_from_an_invalid_file(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text("[members]\ncluster = 5\n")
    ended = subprocess.run(
        [sys.executable, "-m", "millweir", "--operator", str(path)],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent.parent,
        timeout=20,
    )
    assert ended.returncode == 1 and ended.stderr.startswith("millweir: ")
    assert f"{path}:2: members.cluster" in ended.stderr and "Traceback" not in ended.stderr


def test_without_a_file_no_component_is_imported():
    code = (
        "import sys, millweir.__main__; "
        "parts = ('millweir.' + n for n in ('members', 'operator', 'lab', 'cli')); "
        "parts = (*parts, 'msgspec', 'click'); print([n for n in sys.modules if n.startswith(parts)])"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=20,
        cwd=Path(__file__).parent.parent.parent,
    )
    assert ended.stdout.strip() == "[]"


def test_check_reports_success_or_the_faults(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text(GOOD)
    assert CliRunner().invoke(main, ["check", str(path)]).output == "fine: members\n"
    path.write_text("[nothing]\n")
    ended = CliRunner().invoke(main, ["check", str(path)])
    assert ended.exit_code == 1 and "no such section" in ended.output
