"""``quincepath fleet``: one member's view of the fleet as a table or as JSON, and commands to the fleet."""

import getpass
import http.client
import json
import sys
import time
import uuid
from typing import Any
from urllib.parse import quote, urlsplit

import click
from rich.console import Console
from rich.table import Table

PAGE_TIMEOUT_S = 5.0
COMMAND_TIMEOUT_S = 15.0  # longer than the broker itself waits
MIN_TABLE_WIDTH = 130  # characters
AT = click.option("--at", required=True, help="Metrics address of any member, such as http://127.0.0.1:9090.")
JSON = click.option("--json", "as_json", is_flag=True)


def fetch_page(at: str, path: str) -> Any:
    """Get a page from a member's metrics listener; exits with status 1 if there is no answer."""
    parts = urlsplit(at if "//" in at else f"//{at}")
    try:
        if not parts.hostname or not parts.port:
            raise OSError("expected an address with a port, such as http://127.0.0.1:9090")
        connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=PAGE_TIMEOUT_S)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
        if response.status != 200:
            text = body.decode("utf-8", "replace").strip()
            click.echo(f"{at}: status {response.status}: {text}", err=True)
            if response.status == 404 and "metrics are at" in text:
                click.echo("this broker has no fleet: section in its configuration", err=True)
            sys.exit(1)
        return json.loads(body)
    except (OSError, ValueError, http.client.HTTPException) as error:
        click.echo(f"{at}: no answer: {error}", err=True)
        sys.exit(1)


def send_command(
    at: str,
    what: str,
    names: tuple[str, ...],
    by: str,
    why: str,
    key: str,
    extra: dict[str, Any] | None = None,
) -> None:
    """Send a command to a member and print the results; exits with status 1 if anything was refused."""
    order = {"id": key or uuid.uuid4().hex, "by": by, "names": list(names), "why": why, **(extra or {})}
    parts = urlsplit(at if "//" in at else f"//{at}")
    connection = http.client.HTTPConnection(parts.hostname or "", parts.port, timeout=COMMAND_TIMEOUT_S)
    try:
        connection.request("POST", f"/fleet/{what}", json.dumps(order), {"Content-Type": "application/json"})
        response = connection.getresponse()
        answer = json.loads(response.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        click.echo(
            f"{at}: no answer: {error}; retry with --key {order['id']}: a repeated key has no second effect",
            err=True,
        )
        sys.exit(1)
    finally:
        connection.close()
    if "results" not in answer:
        click.echo(f"{at}: {answer.get('error', answer)}", err=True)
        sys.exit(1)
    for name, refused in answer["results"].items():
        click.echo(f"{what} {name}".strip() + (f": {refused}" if refused else ": agreed"))
    sys.exit(1 if any(answer["results"].values()) else 0)


def print_table(title: str, columns: list[str], rows: list[list[Any]]) -> None:
    """Print a table; an absent value is an empty cell."""
    table = Table(title=title)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    Console(width=max(Console().width, MIN_TABLE_WIDTH)).print(table)


def _clock(at: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(at)) + f".{int(at % 1 * 1000):03d}"


@click.group()
def fleet() -> None:
    """Show a member's view of the fleet, and send commands to the fleet."""


@fleet.command()
@AT
@JSON
def view(at: str, as_json: bool) -> None:
    """Show all members as one of them sees them. Exit status 3 if its view is not settled."""
    page = fetch_page(at, "/fleet/view")
    if as_json:
        click.echo(json.dumps(page))
    else:
        state = "settled" if page["settled"] else "unsettled, because " + "; ".join(page["unsettled"])
        title = f"{page['fleet']} as {page['member']} sees it: {page['live']} live, "
        title += f"{page['configured']} configured; {state}"
        columns = [
            "name",
            "phase",
            "for s",
            "heard s ago",
            "told by",
            "accusers",
            "zone",
            "version",
            "config",
        ]
        rows = [
            [
                row["name"], row["phase"] + (", draining" if row["draining"] else ""), row["for_s"],
                row["heard_s"], row["told_by"], ", ".join(row["accusers"]), row["zone"], row["version"],
                row["config"],
            ]
            for row in page["members"]
        ]  # fmt: skip
        rows += [[name, "never heard", *[None] * 7] for name in page["never_heard"]]
        print_table(title, columns, rows)
    sys.exit(0 if page["settled"] else 3)


@fleet.command()
@click.argument("name")
@AT
@JSON
def explain(name: str, at: str, as_json: bool) -> None:
    """Show why a member is in its phase, and what happens next."""
    page = fetch_page(at, f"/fleet/explain/{quote(name, safe='')}")
    if as_json:
        click.echo(json.dumps(page))
        return
    belief = page["belief"]
    state = "unknown" if belief is None else f"{belief['phase']} for {belief['for_s']} s"
    click.echo(f"{name} as {page['by']} sees it: {state}, because {page['because']}; {page['next']}")
    _print_history(page["history"])


@fleet.command()
@AT
@JSON
def history(at: str, as_json: bool) -> None:
    """Show changes of belief, oldest first."""
    page = fetch_page(at, "/fleet/history")
    if as_json:
        click.echo(json.dumps(page))
        return
    _print_history(page)


def _print_history(changes: list[dict[str, Any]]) -> None:
    columns = ["at", "name", "was", "now", "incarnation", "told by", "cause"]
    rows = [
        [
            _clock(change["at"]),
            *(change[key] for key in ("name", "was", "now", "incarnation", "told_by", "cause")),
        ]
        for change in changes
    ]
    print_table("changes of belief", columns, rows)


BY = click.option("--by", default=getpass.getuser, help="Who sends the command, for the log.")
KEY = click.option("--key", default="", help="Idempotency key: a repeated key has no second effect.")
WHY = click.option("--why", required=True)


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@AT
@BY
@KEY
def drain(names: tuple[str, ...], at: str, by: str, key: str) -> None:
    """Drain holders, within the fleet's limits. ``status`` shows when they are drained."""
    send_command(at, "drain", names, by, "", key)


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@AT
@BY
@KEY
def undrain(names: tuple[str, ...], at: str, by: str, key: str) -> None:
    """End the drain of holders: all brokers send to them again."""
    send_command(at, "undrain", names, by, "", key)


@fleet.command(name="close")
@click.argument("names", nargs=-1, required=True)
@AT
@BY
@KEY
@WHY
def close_(names: tuple[str, ...], at: str, by: str, key: str, why: str) -> None:
    """Close a permit by hand, whatever the state of the one that holds it."""
    send_command(at, "close", names, by, why, key)


@fleet.command()
@AT
@BY
@KEY
@WHY
def halt(at: str, by: str, key: str, why: str) -> None:
    """Grant no permits until ``resume``."""
    send_command(at, "halt", (), by, why, key)


@fleet.command()
@AT
@BY
@KEY
def resume(at: str, by: str, key: str) -> None:
    """Grant permits again."""
    send_command(at, "resume", (), by, "", key)


@fleet.command()
@AT
@JSON
def status(at: str, as_json: bool) -> None:
    """Show permits, drains and what they wait for, voters. Exit status 3 while a drain is not done."""
    page = fetch_page(at, "/fleet/status")
    if as_json:
        click.echo(json.dumps(page))
    else:
        summary = f"keepers {', '.join(page['keepers'])}; leader {page['leader'] or 'unknown'}"
        click.echo(
            f"{summary}; {page['member']}: {page['role']}, entry {page['applied']}, store {page['store']}"
        )
        if page["halted"]:
            click.echo(f"halted: {page['halted']}")
        if page["overdue"]:
            click.echo(f"overdue: {', '.join(page['overdue'])}")
        for permit in page["permits"]:
            click.echo(f"{permit['name']}: {permit['purpose']}, asked by {permit['by']}")
        for one in page["drains"]:
            waits = "; ".join(f"{name} {why}" for name, why in one["waits_for"].items())
            click.echo(f"{one['name']}: drained" if one["done"] else f"{one['name']}: waits: {waits}")
        if page["progress_at"] and page["permits"]:
            click.echo(page["progress_at"])
    sys.exit(0 if all(one["done"] for one in page["drains"]) else 3)
