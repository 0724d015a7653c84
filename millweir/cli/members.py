"""`millweir members`: shows a running relay's view of the membership, through its local socket."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import click

CALL_TIMEOUT_SECONDS = 3.0


@click.group()
def members() -> None:
    """The members as one relay sees them: a status of each, which grants no right."""


def _socket_option(function: Any) -> Any:
    return click.option(
        "--socket",
        "path",
        envvar="MILLWEIR_SOCKET",
        required=True,
        type=click.Path(path_type=Path),
        help="the relay's local socket (members.sock in its folder)",
    )(function)


def _send_command(path: Path, command: str) -> socket.socket:
    """Send a command and return the connection; ends with one line where the relay can't be reached."""
    try:
        connection = socket.socket(socket.AF_UNIX)
        connection.settimeout(CALL_TIMEOUT_SECONDS)
        connection.connect(str(path))
        connection.sendall(json.dumps({"do": command}).encode() + b"\n")
    except OSError as error:
        raise click.ClickException(f"no relay answers at {path}: {error.strerror or error}") from None
    return connection


def _request_answer(path: Path, command: str) -> dict[str, Any]:
    with _send_command(path, command) as connection, connection.makefile("rb") as source:
        try:
            answer = json.loads(source.readline())
        except (OSError, ValueError):
            raise click.ClickException(f"no answer at {path}") from None
    if "fault" in answer:
        raise click.ClickException(answer["fault"])
    return answer


@members.command()
@_socket_option
@click.option("--json", "as_json", is_flag=True, help="the whole view as JSON")
def ls(path: Path, as_json: bool) -> None:
    """List all members, one a line; exit 1 while this member is out of the membership or suspects itself."""
    view = _request_answer(path, "view")
    if as_json:
        click.echo(json.dumps(view, indent=1))
    else:
        self_suspicion = f", in doubt of itself ({view['doubt']})" if view["doubt"] else ""
        click.echo(
            f"{view['name']}: {view['standing']}, incarnation {view['incarnation']}, slowed "
            f"{view['slow']} times, late by {view['late_ms']} ms{self_suspicion}"
        )
        for row in view["members"]:
            line = (
                f"{row['name']:<20} {row['degree']:<9} since {row['since']:>9.1f} s by {row['by']:<12} "
                f"incarnation {row['incarnation']} at {row['address']} {' '.join(row['paths'])}"
            )
            click.echo(line.rstrip())
    raise SystemExit(1 if view["doubt"] or view["standing"] != "in" else 0)


@members.command()
@_socket_option
@click.argument("name")
def show(path: Path, name: str) -> None:
    """Show all that is known of one member."""
    for row in _request_answer(path, "view")["members"]:
        if row["name"] == name:
            for key, value in row.items():
                click.echo(f"{key:<12} {value}")
            return
    raise click.ClickException(f"no member {name!r} is known here")


@members.command()
@_socket_option
@click.option("--for", "seconds", type=float, default=0.0, help="seconds to watch; without, until stopped")
def watch(path: Path, seconds: float) -> None:
    """Print events as they arrive, one JSON object a line."""
    with _send_command(path, "watch") as connection:
        connection.settimeout(seconds or None)
        try:
            while line := connection.recv(65536):
                click.echo(line, nl=False)
        except (TimeoutError, KeyboardInterrupt):
            return


@members.command()
@_socket_option
def leave(path: Path) -> None:
    """Take this relay out of the membership gracefully; the relay itself keeps running."""
    _request_answer(path, "leave")
    click.echo("left")
