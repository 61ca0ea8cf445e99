"""``quincepath fleet config``: propose, roll back and inspect changes of the distributed configuration."""

import http.client
import json
import sys
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlsplit

import click
from pydantic import Field
from ruamel.yaml import YAML

from quincepath.cli.fleet import AT, BY, COMMAND_TIMEOUT_S, JSON, KEY, fetch_page
from quincepath.config.load import ConfigError, load
from quincepath.config.schema.base import Model

NOT_EVERYWHERE = 3  # exit status


class ChangeFile(Model):
    """A file with a change: ``revision`` as ``show`` printed it, new values by name, names to remove."""

    revision: int = Field(ge=0)
    set: dict[str, dict[str, Any]] = {}
    remove: list[str] = []


@click.group(name="config")
def configuration() -> None:
    """The configuration that the fleet distributes: committed by its keepers, in force at every broker."""


@configuration.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@AT
@BY
@KEY
def propose(file: Path, at: str, by: str, key: str) -> None:
    """Have the change in FILE committed; refused where a resource was changed after FILE's revision."""
    try:
        change = load(file, ChangeFile)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    _submit(at, "propose", by, key, change.model_dump())


@configuration.command()
@click.argument("revision", type=click.IntRange(min=1))
@AT
@BY
@KEY
def rollback(revision: int, at: str, by: str, key: str) -> None:
    """Commit a new revision with the values from before REVISION, where none was changed since."""
    _submit(at, "rollback", by, key, {"revision": revision})


@configuration.command()
@click.option("--revision", default=0, help="Wait for this one: a keeper may not know of it yet.")
@AT
@JSON
def status(revision: int, at: str, as_json: bool) -> None:
    """How many brokers are at which revision, who is behind since when, who refuses, and why.

    Ask a keeper. Exit status 3 while the newest revision, or that of --revision, is not in force everywhere.
    """
    page = fetch_page(at, "/fleet/config/status")
    if as_json:
        click.echo(json.dumps(page))
    else:
        for line in page["lines"]:
            click.echo(line)
        click.echo(_own_status_line(page["member"], page["own"]))
    if page["everywhere"] is None:
        click.echo(f"{page['member']} is no keeper; of the fleet know {', '.join(page['keepers'])}", err=True)
        sys.exit(1)
    done = page["everywhere"] and page["fleet"]["newest"] >= revision
    sys.exit(0 if done else NOT_EVERYWHERE)


def _own_status_line(member: str, own: dict[str, Any]) -> str:
    relay = f"relay {own['relay']}, its news {own['age_ms'] / 1000:.1f} s old" if own["relay"] else "no relay"
    refused = own["refused"]
    why = f"; refuses {refused['revision']}: {refused['resource']}: {refused['reason']}" if refused else ""
    return f"{member}: revision {own['revision']}, {relay}{why}"


@configuration.command()
@click.argument("name", default="")
@AT
@JSON
def show(name: str, at: str, as_json: bool) -> None:
    """Committed resources as a file for ``propose``: its revision, and the values to edit."""
    page = fetch_page(at, "/fleet/config/show" + (f"/{quote(name, safe='')}" if name else ""))
    if as_json:
        click.echo(json.dumps(page))
        return
    YAML(typ="safe").dump({"revision": page["revision"], "set": page["resources"]}, sys.stdout)


def _submit(at: str, action: str, by: str, key: str, request: dict[str, Any]) -> None:
    """Send a change to a member and print its result; exits with status 1 where it was refused."""
    id = key or uuid.uuid4().hex
    body = json.dumps({"id": id, "by": by, **request}, default=str)
    parts = urlsplit(at if "//" in at else f"//{at}")
    connection = http.client.HTTPConnection(parts.hostname or "", parts.port, timeout=COMMAND_TIMEOUT_S)
    try:
        connection.request("POST", f"/fleet/config/{action}", body, {"Content-Type": "application/json"})
        answer = json.loads(connection.getresponse().read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        click.echo(f"{at}: no answer: {error}; ask again with --key {id}: it does nothing twice", err=True)
        sys.exit(1)
    finally:
        connection.close()
    if "revision" not in answer:
        click.echo(f"{action}: {answer.get('error', answer)}", err=True)
        sys.exit(1)
    click.echo(f"{action}: committed as revision {answer['revision']}")
