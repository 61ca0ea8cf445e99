"""``quincepath fleet topology``: a new shard map proposed, adopted, looked at, and taken back."""

import json
import sys
from pathlib import Path

import click

from quincepath.cli.fleet import AT, BY, JSON, KEY, fetch_page, print_table, send_command
from quincepath.config.load import ConfigError, parse
from quincepath.config.schema.base import Model
from quincepath.config.schema.holders import Shards


class MapFile(Model):
    """A file with the section ``shards:`` as in a broker's configuration."""

    shards: Shards


@click.group()
def topology() -> None:
    """The shard map of the fleet: one change at a time, through the keepers' log."""


@topology.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--may-lose", multiple=True, help="A value that the new map may leave out; may be repeated.")
@AT
@BY
@KEY
def propose(file: Path, may_lose: tuple[str, ...], at: str, by: str, key: str) -> None:
    """Put the shard map of FILE (a section shards:, as in the configuration) before the fleet."""
    try:
        shards = parse(file.read_text(), MapFile, str(file)).shards
    except (ConfigError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    entries = [[one.name, one.set or one.name, one.values] for one in shards.map]
    found = [shards.label, entries, shards.unlabelled == "everywhere"]
    send_command(at, "propose", (), by, "", key, {"map": found, "may_lose": list(may_lose)})


@topology.command()
@click.option("--without", multiple=True, help="A broker that is gone and need not be waited for.")
@AT
@BY
@KEY
def adopt(without: tuple[str, ...], at: str, by: str, key: str) -> None:
    """Use the proposed map, as far as the forecast accepts it; --without: name who is gone, later on."""
    send_command(at, "adopt", without, by, "", key)


@topology.command()
@AT
@BY
@KEY
def back(at: str, by: str, key: str) -> None:
    """Give up a proposal that nobody uses yet; else stage the version before again and use it."""
    send_command(at, "back", (), by, "", key)


@topology.command()
@AT
@JSON
def status(at: str, as_json: bool) -> None:
    """Versions, the verdict, whom a step waits for. Exit status 3 while a step is open, 4 where it halted."""
    page = fetch_page(at, "/fleet/topology")
    if as_json:
        click.echo(json.dumps(page))
    else:
        said = f"version {page['in_use']} in use"
        if page["proposed"]:
            what = "the way back" if page["going_back"] else "proposed"
            said += f", version {page['proposed']} {what} by {page['by']}"
        click.echo(f"{said}; step: {page['step']}; {page['adoptions']} adoptions measured")
        if page["halted"]:
            click.echo(f"halted: {page['halted']}")
        judged = page["verdict"]
        if judged is not None:
            heard = f"{judged['queries']} footprints, {judged['heard']} of {judged['of']} brokers heard"
            click.echo(f"verdict: {judged['answer']} ({heard}) {'; '.join(judged['why'])}".rstrip())
            if judged["bars"]:
                rows = [
                    [kind, where or "all", *(f"{x:.4g}" for x in bar)] for kind, where, *bar in judged["bars"]
                ]
                print_table("forecast", ["figure", "of", "value", "low", "high"], rows)
        rows = [[name, why] for name, why in page["waits_for"].items()]
        rows += [[name, f"away: {why}"] for name, why in page["away"].items()]
        if rows:
            print_table(f"{page['step']}, as {page['member']} sees it", ["waits for", "because"], rows)
    sys.exit(4 if page["halted"] else 3 if page["step"] in ("staging", "measuring") else 0)
