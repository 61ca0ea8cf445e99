"""The ``quincepath`` command: run a broker, query it, simulate incidents. Exit status 2: invalid input."""

import http.client
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import click
from rich.console import Console
from rich.table import Table

from quincepath.broker.service import Broker
from quincepath.cli.configuration import configuration
from quincepath.cli.fleet import fleet
from quincepath.cli.lab import fail, hunt, rehearse_command, replay
from quincepath.cli.topology import topology
from quincepath.config.load import ConfigError, load
from quincepath.config.schema import Config, Roster, check_holders, config_as_dict
from quincepath.fronts.remote_read.codec import HEADERS, VERSION_HEADER, CodecError, decode_response, encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest, ReadResponse
from quincepath.lab.audit import audit as run_audit
from quincepath.lab.day import DayScript, run_day
from quincepath.lab.demo import demo_config, make_cluster
from quincepath.lab.openloop import OpenLoop, QueryMix, by_tenant
from quincepath.net.loop import READ, Loop
from quincepath.observe.logs import setup
from quincepath.standins.data import LABEL, METRICS, Store
from quincepath.standins.leaf import Leaf, Service
from quincepath.standins.record import Writer

MATCHER_OPERATORS = {
    "=~": LabelMatcher.RE,
    "!~": LabelMatcher.NRE,
    "!=": LabelMatcher.NEQ,
    "=": LabelMatcher.EQ,
}


def _load(path: Path) -> Config:
    try:
        return load(path, Config)
    except ConfigError as error:
        fail(error.lines)
        raise AssertionError from None


@click.group()
@click.option("--log-format", type=click.Choice(["json", "console"]), default="json")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def main(log_format: Any, log_level: str) -> None:
    """A query aggregator: spreads queries over shards, merges, and gives one honest answer."""
    setup(log_format, log_level)


def run_until_signal(loop: Loop, broker: Broker) -> None:
    """Run until SIGINT or SIGTERM, then until each open query is answered."""
    stop = {name: lambda: broker.stop(loop.stop) for name in (signal.SIGINT, signal.SIGTERM)}
    loop.on_signals({**stop, signal.SIGHUP: lambda: broker.read_list(force=True)})
    loop.run()
    broker.close()
    loop.close()


@main.command()
@click.option("-c", "--config", "path", type=click.Path(path_type=Path), required=True)
def serve(path: Path) -> None:
    """Run one broker. SIGTERM: answer open queries, accept no new ones. SIGHUP: reload the roster."""
    config = _load(path)
    loop = Loop()
    try:
        broker = Broker(config, loop, path.parent)
    except OSError as error:
        fail([f"{path}: cannot listen: {error}"])
    addresses = {"remote_read": broker.url, "metrics": broker.metrics_url}
    if broker.fleet is not None:
        addresses["fleet"] = broker.fleet.address
    click.echo(json.dumps(addresses))
    sys.stdout.flush()
    run_until_signal(loop, broker)


@main.command()
@click.argument("files", nargs=-1, type=click.Path(path_type=Path), required=True)
@click.option("--show", is_flag=True, help="Print the validated configuration with defaults; times in ns.")
def check(files: tuple[Path, ...], show: bool) -> None:
    """Validate configuration files; print all errors at once. Exit status 2 if there is one."""
    lines: list[str] = []
    for path in files:
        try:
            config = load(path, Config)
            if config.roster:
                roster = load(path.parent / config.roster, Roster)
                try:
                    check_holders(config.shards, roster.holders)
                except ValueError as error:
                    lines.append(f"{path.parent / config.roster}:1: {error}")
            if show:
                click.echo(json.dumps(config_as_dict(config), indent=2))
        except ConfigError as error:
            lines.extend(error.lines)
    if lines:
        fail(lines)
    click.echo(f"{len(files)} sound")


@main.command()
@click.option("--name", default="leaf")
@click.option("--port", default=0)
@click.option("--districts", required=True, help="Comma-separated list.")
@click.option("--seed", default=1)
@click.option("--tractors", default=4, help="Tractors per district.")
@click.option("--work-ms", default=4.0, help="Service time of a part when warm.")
@click.option("--cores", default=2)
@click.option("--speed", default=1.0, help="Work (ms) that a warm core does per ms.")
@click.option("--room", default=64, help="Length of the queue of calls.")
@click.option("--cold", default=1.0, help="Share of capacity at the start; 1 is warm.")
@click.option("--ramp-s", default=10.0)
@click.option("--spread", default=0.0, help="Spread of the work of parts, as the sigma of a log-normal.")
@click.option("--works", default="", help="METRIC=MS,...: metrics served and the work of a part of each.")
@click.option(
    "--fall-multiple",
    default=2.0,
    help="While cold, it crashes under load beyond this multiple of its capacity.",
)
@click.option("--record", type=click.Path(path_type=Path))
@click.option(
    "--guarded", is_flag=True, help="Exit when standard input closes, so that no child outlives its parent."
)
def leaf(
    name: str,
    port: int,
    districts: str,
    seed: int,
    tractors: int,
    work_ms: float,
    cores: int,
    speed: float,
    room: int,
    cold: float,
    ramp_s: float,
    spread: float,
    works: str,
    fall_multiple: float,
    record: Path | None,
    guarded: bool,
) -> None:
    """Run a simulated holder with seeded data."""
    loop = Loop()
    by_metric: dict[str, int] = {}
    try:
        for item in filter(None, works.split(",")):
            metric, _, ms = item.partition("=")
            by_metric[metric] = int(float(ms) * 1e6)
    except ValueError:
        fail([f"--works {works!r}: expected METRIC=MS,..."])
    store = Store(seed, districts.split(","), tractors, tuple(by_metric) or METRICS)
    ramp = int(ramp_s * 1e9)
    service = Service(
        int(work_ms * 1e6), cores, room, cold, ramp, spread, by_metric, fall_multiple, speed=speed
    )
    holder = Leaf(
        loop, name, store, service, Writer(record, name) if record else None, port, on_crash=loop.stop
    )
    click.echo(json.dumps({"name": name, "port": holder.port, "url": holder.url}))
    sys.stdout.flush()
    loop.on_signals({signal.SIGINT: loop.stop, signal.SIGTERM: loop.stop})
    if guarded:
        loop.watch(sys.stdin, READ, lambda _: loop.stop())  # type: ignore[arg-type]
    loop.run()
    holder.close()


@main.command()
@click.option("--seed", default=1, help="Seed of the data.")
@click.option("--port", default=0, help="Port of the remote read front; 0 picks a free one.")
def demo(seed: int, port: int) -> None:
    """Run one broker and six holders on loopback; prints one line of JSON when ready."""
    cluster = make_cluster(seed, [], None)
    try:
        cluster.start()
        config = Config.model_validate(demo_config(port, holders=cluster.entries(set())))
        loop = Loop()
        broker = Broker(config, loop)
        ready = {
            "remote_read": broker.url,
            "metrics": broker.metrics_url,
            "holders": [
                {"name": h.name, "url": h.url, "shards": h.shards, "zone": h.zone} for h in cluster.holders
            ],
            "shard_label": LABEL,
            "classes": [entry.name for entry in config.classes],
        }
        click.echo(json.dumps(ready))
        sys.stdout.flush()
        run_until_signal(loop, broker)
    except OSError as error:
        fail([f"cannot listen on port {port}: {error}"])
    finally:
        cluster.stop()


def parse_matcher(text: str) -> LabelMatcher:
    """Parse ``district=~"north.*"``, with or without quotes. Raises ``click.BadParameter``."""
    for position in range(len(text)):
        for operator, kind in MATCHER_OPERATORS.items():
            if text.startswith(operator, position) and position:
                value = text[position + len(operator) :]
                if len(value) > 1 and value[0] == value[-1] == '"':
                    value = value[1:-1]
                return LabelMatcher(type=kind, name=text[:position], value=value)
    raise click.BadParameter(f"{text!r}: expected LABEL=VALUE, LABEL!=VALUE, LABEL=~EXPR or LABEL!~EXPR")


def fetch(url: str, request: ReadRequest, timeout: float) -> tuple[int, dict[str, str], ReadResponse | str]:
    """Send one remote read over HTTP; return status, headers in lower case, and the answer or error text."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(parts.hostname or "127.0.0.1", parts.port, timeout=timeout)
    try:
        connection.request("POST", parts.path or "/", encode(request), {**HEADERS, **VERSION_HEADER})
        response = connection.getresponse()
        body = response.read()
        headers = {name.lower(): value for name, value in response.getheaders()}
        if response.status != 200:
            return response.status, headers, body.decode("utf-8", "replace").strip()
        return response.status, headers, decode_response(body, 1 << 30)
    finally:
        connection.close()


@main.command()
@click.argument("url")
@click.argument("matchers", nargs=-1, required=True)
@click.option("--start", type=int, help="Milliseconds since the epoch.")
@click.option("--end", type=int, help="Milliseconds since the epoch; default: now.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--timeout", default=30.0, help="Seconds.")
def query(
    url: str, matchers: tuple[str, ...], start: int | None, end: int | None, as_json: bool, timeout: float
) -> None:
    """Read series through a broker or directly from a holder. Exit status 1 without an answer.

    MATCHERS have the form __name__=engine_hours district=~"north.*".
    """
    request = ReadRequest()
    until = end if end is not None else int(time.time() * 1000)
    read = request.queries.add(start_timestamp_ms=0 if start is None else start, end_timestamp_ms=until)
    read.matchers.extend(parse_matcher(text) for text in matchers)
    try:
        status, headers, answer = fetch(url, request, timeout)
    except (OSError, http.client.HTTPException, CodecError) as error:
        click.echo(f"{url}: no answer: {error}", err=True)
        sys.exit(1)
    if isinstance(answer, str):
        retry_after = headers.get("retry-after")
        click.echo(
            f"status {status}: {answer}" + (f" (retry after {retry_after} s)" if retry_after else ""),
            err=True,
        )
        sys.exit(1)
    completeness = (
        f"{headers.get('quincepath-answer', 'unmarked')}, parts {headers.get('quincepath-parts', '?')}"
    )
    series = answer.results[0].timeseries if answer.results else []
    if as_json:
        rows = [
            {
                "labels": {la.name: la.value for la in s.labels},
                "samples": [[p.timestamp, p.value] for p in s.samples],
            }
            for s in series
        ]
        click.echo(
            json.dumps({"answer": headers.get("quincepath-answer"), "parts": completeness, "series": rows})
        )
        return
    table = Table(title=completeness)
    for column in ("series", "samples", "first", "last", "last value"):
        table.add_column(column, overflow="fold")
    for s in series:
        name = ", ".join(f"{la.name}={la.value}" for la in s.labels)
        first, last = (s.samples[0].timestamp, s.samples[-1]) if s.samples else (0, None)
        table.add_row(
            name, str(len(s.samples)), str(first), str(last.timestamp if last else 0),
            f"{last.value:.3f}" if last else "",
        )  # fmt: skip
    Console(width=max(Console().width, 120)).print(table)


@main.command()
@click.argument("record", type=click.Path(path_type=Path, exists=True))
def audit(record: Path) -> None:
    """Check records in a folder (or one file) against the six rules. Exit status 1 if one is broken."""
    paths = sorted(record.glob("*.jsonl")) if record.is_dir() else [record]
    report = run_audit(paths)
    for finding in report.findings[:20]:
        click.echo(str(finding))
    outcomes = ", ".join(f"{count} {kind}" for kind, count in report.outcomes.items())
    click.echo(f"{report.queries} queries ({outcomes}), {report.parts_got} parts seen at holders")
    for name, share in report.limit_use.items():
        click.echo(f"rule {name}: {share:.2f} of its limit used")
    click.echo(f"{len(report.findings)} findings" if report.findings else "no rule broken")
    sys.exit(1 if report.findings else 0)


@main.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option(
    "--record", type=click.Path(path_type=Path), help="Folder for the records; must be new or empty."
)
@click.option("--seed", type=int, help="Overrides the seed of the script.")
def day(script: Path, record: Path | None, seed: int | None) -> None:
    """Run a scripted day over loopback and audit it. Exit status 1 if a rule is broken."""
    try:
        result = run_day(load(script, DayScript), record, seed=seed)
    except ConfigError as error:
        fail(error.lines)
    except ValueError as error:  # unknown holder, folder in use
        fail([f"{script}: {error}"])
    for finding in result.report.findings[:20]:
        click.echo(str(finding))
    click.echo(result.summary())
    sys.exit(1 if result.report.findings else 0)


@main.command(name="load")
@click.argument("url")
@click.option("--query", "queries", multiple=True, required=True, help="[WEIGHT*]MATCHER[;MATCHER...]")
@click.option("--rate", default=50.0, help="Mean rate of queries per second.")
@click.option("--seconds", default=10.0)
@click.option("--start", default=0, help="Milliseconds since the epoch.")
@click.option("--end", type=int, help="Milliseconds since the epoch; default: now.")
@click.option("--timeout", default=10.0, help="Seconds after which the client gives up a query.")
@click.option(
    "--most-open", default=1000, help="Limit on open queries; queries due beyond it count as unsent."
)
@click.option("--retries", default=0, help="Retries of an unanswered query, marked as retries.")
@click.option("--tenant", "tenants", multiple=True, help="NAME or NAME=WEIGHT; repeatable.")
@click.option("--tenant-header", default="X-Scope-OrgID", help="Header that carries the name of the tenant.")
@click.option("--seed", default=1)
@click.option("--json", "as_json", is_flag=True)
def load_command(
    url: str,
    queries: tuple[str, ...],
    rate: float,
    seconds: float,
    start: int,
    end: int | None,
    timeout: float,
    most_open: int,
    retries: int,
    tenants: tuple[str, ...],
    tenant_header: str,
    seed: int,
    as_json: bool,
) -> None:
    """Send an open-loop load to a remote read URL on this machine. Exit status 1 if nothing was answered.

    A query has the form 3*__name__=fuel_use_liters;district=~.+ with its weight in front.
    """
    host = urlsplit(url).hostname or ""
    if host != "localhost" and not host.startswith("127."):
        fail([f"{url}: expected an address of this machine (127.0.0.0/8): this tool loads nothing else"])
    if not 0 < rate <= 100_000 or not 0 < seconds <= 3600:
        fail([f"rate {rate}, seconds {seconds}: expected a rate up to 100000 and up to 3600 seconds"])
    until = end if end is not None else int(time.time() * 1000)
    mixes = []
    for text in queries:
        weight, separator, rest = text.partition("*")
        try:
            share = float(weight) if separator else 1.0
        except ValueError:
            share, rest = 1.0, text
        matchers = tuple(parse_matcher(matcher) for matcher in (rest if separator else text).split(";"))
        mixes.append(QueryMix(text, share, matchers, start, until, int(timeout * 1e9)))
    try:
        weights = {name: float(weight or 1) for name, _, weight in (word.partition("=") for word in tenants)}
    except ValueError:
        fail([f"--tenant {', '.join(tenants)!r}: expected NAME or NAME=WEIGHT"])
    if weights:
        mixes = by_tenant(mixes, weights, tenant_header)
    loop = Loop()
    load_run = OpenLoop(loop, url, mixes, rate, seconds, seed, most_open, retries)
    loop.run_until(load_run.done, seconds + timeout + 5)
    load_run.client.close()
    loop.close()
    result = load_run.result
    if as_json:
        totals = {
            "sent": result.sent,
            "unsent": result.unsent,
            "retried": result.retried,
            "late_most_ms": result.max_lag / 1e6,
        }
        click.echo(json.dumps({**totals, "queries": result.rows()}))
    else:
        rows = result.rows()
        columns = list(dict.fromkeys(key for row in rows for key in row))
        table = Table(title=f"{result.sent} sent, {result.unsent} unsent")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(str(row.get(column, "")) for column in columns))
        Console(width=max(Console().width, 120)).print(table)
    answered = sum(histogram.get_total_count() for histogram in result.times.values())
    sys.exit(0 if answered else 1)


fleet.add_command(topology)
fleet.add_command(configuration)
for command in (rehearse_command, replay, hunt, fleet):
    main.add_command(command)
