"""`millweir members`: looking at a running relay's view, through its local socket."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import click

CALL_TIME = 3.0  # seconds


@click.group()
def members() -> None:
    """Who is there, as one relay sees it: a hint with degrees, never a right."""


def _socket(function: Any) -> Any:
    return click.option(
        "--socket",
        "path",
        envvar="MILLWEIR_SOCKET",
        required=True,
        type=click.Path(path_type=Path),
        help="the relay's local socket (members.sock in its folder)",
    )(function)


def _call(path: Path, do: str) -> socket.socket:
    """Ask; a relay that is not there ends the command with one line."""
    try:
        link = socket.socket(socket.AF_UNIX)
        link.settimeout(CALL_TIME)
        link.connect(str(path))
        link.sendall(json.dumps({"do": do}).encode() + b"\n")
    except OSError as fault:
        raise click.ClickException(f"no relay answers at {path}: {fault.strerror or fault}") from None
    return link


def _answer(path: Path, do: str) -> dict[str, Any]:
    with _call(path, do) as link, link.makefile("rb") as source:
        try:
            answer = json.loads(source.readline())
        except (OSError, ValueError):
            raise click.ClickException(f"no answer at {path}") from None
    if "fault" in answer:
        raise click.ClickException(answer["fault"])
    return answer


@members.command()
@_socket
@click.option("--json", "as_json", is_flag=True, help="the whole view as JSON")
def ls(path: Path, as_json: bool) -> None:
    """All members, one a line; exit 1 while this member is out or in doubt of itself."""
    view = _answer(path, "view")
    if as_json:
        click.echo(json.dumps(view, indent=1))
    else:
        doubt = f", in doubt of itself ({view['doubt']})" if view["doubt"] else ""
        click.echo(
            f"{view['name']}: {view['standing']}, incarnation {view['incarnation']}, slowed "
            f"{view['slow']} times, late by {view['late_ms']} ms{doubt}"
        )
        for row in view["members"]:
            line = (
                f"{row['name']:<20} {row['degree']:<9} since {row['since']:>9.1f} s by {row['by']:<12} "
                f"incarnation {row['incarnation']} at {row['address']} {' '.join(row['paths'])}"
            )
            click.echo(line.rstrip())
    raise SystemExit(1 if view["doubt"] or view["standing"] != "in" else 0)


@members.command()
@_socket
@click.argument("name")
def show(path: Path, name: str) -> None:
    """One member, everything held of it."""
    for row in _answer(path, "view")["members"]:
        if row["name"] == name:
            for key, value in row.items():
                click.echo(f"{key:<12} {value}")
            return
    raise click.ClickException(f"no member {name!r} is known here")


@members.command()
@_socket
@click.option("--for", "seconds", type=float, default=0.0, help="seconds to watch; without, until stopped")
def watch(path: Path, seconds: float) -> None:
    """Events as they come, one JSON object a line."""
    with _call(path, "watch") as link:
        link.settimeout(seconds or None)
        try:
            while line := link.recv(65536):
                click.echo(line, nl=False)
        except (TimeoutError, KeyboardInterrupt):
            return


@members.command()
@_socket
def leave(path: Path) -> None:
    """Take this relay out of the membership in order; the relay itself goes on."""
    _answer(path, "leave")
    click.echo("left")
