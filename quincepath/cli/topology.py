"""``quincepath fleet topology``: propose, adopt, inspect and roll back a shard map."""

import json
import sys
from pathlib import Path

import click

from quincepath.cli.fleet import AT, BY, JSON, KEY, fetch_page, print_table, send_command
from quincepath.config.load import ConfigError, parse
from quincepath.config.schema.base import Model
from quincepath.config.schema.holders import Shards


class MapFile(Model):
    """A file with a ``shards:`` section as in a broker's configuration."""

    shards: Shards


@click.group()
def topology() -> None:
    """Change the shard map of the fleet: one change at a time, through the consensus log."""


@topology.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--may-lose", multiple=True, help="A value that the new map may omit; may be repeated.")
@AT
@BY
@KEY
def propose(file: Path, may_lose: tuple[str, ...], at: str, by: str, key: str) -> None:
    """Propose the shard map in FILE (a section shards:, as in the configuration) to the fleet."""
    try:
        shards = parse(file.read_text(), MapFile, str(file)).shards
    except (ConfigError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    entries = [[entry.name, entry.set or entry.name, entry.values] for entry in shards.map]
    proposed = [shards.label, entries, shards.unlabelled == "everywhere"]
    send_command(at, "propose", (), by, "", key, {"map": proposed, "may_lose": list(may_lose)})


@topology.command()
@click.option("--without", multiple=True, help="A broker that is gone and need not be waited for.")
@AT
@BY
@KEY
def adopt(without: tuple[str, ...], at: str, by: str, key: str) -> None:
    """Adopt the proposed map if the forecast accepts it; later, --without names brokers that are gone."""
    send_command(at, "adopt", without, by, "", key)


@topology.command()
@AT
@BY
@KEY
def back(at: str, by: str, key: str) -> None:
    """Withdraw a proposal that is not in use yet; otherwise stage the previous version again and use it."""
    send_command(at, "back", (), by, "", key)


@topology.command()
@AT
@JSON
def status(at: str, as_json: bool) -> None:
    """Show versions, the verdict, whom a step waits for. Exit status: 3 while a step is open, 4 if halted."""
    page = fetch_page(at, "/fleet/topology")
    if as_json:
        click.echo(json.dumps(page))
    else:
        summary = f"version {page['in_use']} in use"
        if page["proposed"]:
            what = "the way back" if page["going_back"] else "proposed"
            summary += f", version {page['proposed']} {what} by {page['by']}"
        click.echo(f"{summary}; step: {page['step']}; {page['adoptions']} adoptions measured")
        if page["halted"]:
            click.echo(f"halted: {page['halted']}")
        judged = page["verdict"]
        if judged is not None:
            sample = f"{judged['queries']} footprints, {judged['heard']} of {judged['of']} brokers heard"
            click.echo(f"verdict: {judged['answer']} ({sample}) {'; '.join(judged['why'])}".rstrip())
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
