"""Configuration distribution, measured in virtual time at the size of the target: 2,600 brokers, 15 relays.

    python -m benchmarks.fleet_configuration                 # all cases, some twenty minutes on two cores
    python -m benchmarks.fleet_configuration --only calm     # one of them; the other rows stay
    python -m benchmarks.fleet_configuration --brokers 260 --file /tmp/rows.json  # another size
    python -m benchmarks.fleet_configuration --page          # no play: the page's tables from the results

Rows go to ``benchmarks/results/fleet_configuration.json``. Times are from commit until in force at every
broker that can be reached, in ms; bytes are counted with 52 bytes of IP and TCP around each message. A lost
message stays lost, where a stream would send it again. ``cost`` is processor time of the machine named there.
"""

import json
import math
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.fleet.configuration.applier import Applier
from quincepath.fleet.configuration.changes import Delta, Edit
from quincepath.fleet.configuration.messages import Heartbeat, Subscribe, encode_body, pack
from quincepath.fleet.configuration.ports import Committed, Loaded, Received
from quincepath.fleet.configuration.relay import Relay, RelayIdentity
from quincepath.fleet.configuration.relay_preference import RelayLocation
from quincepath.fleet.configuration.snapshots import Image, make_image
from quincepath.fleet.configuration.subscriber import Subscriber, SubscriberIdentity
from quincepath.lab.fleet.configuration_world import Network, baselines, cases
from quincepath.lab.fleet.configuration_world.scenery import node_name, node_value

FILE = RESULTS / "fleet_configuration.json"
PAGE = RESULTS.parent.parent / "docs" / "design" / "configuration.md"
BROKERS = 2600
Play = Callable[[int], dict[str, Any]]


def _row(play: Callable[..., cases.Row], *sizes: int, **options: Any) -> Play:
    def found(brokers: int) -> dict[str, Any]:
        row = play(brokers, *sizes, **options)
        return {**asdict(row), "good": row.good}

    return found


def _baseline(way: baselines.Way, loss: float) -> Play:
    def found(brokers: int) -> dict[str, Any]:
        return baselines.play(way, brokers, 100, network=Network(loss=loss))

    return found


def cost(brokers: int) -> dict[str, Any]:
    """Processor time of what a broker and a relay do at 12,000 nodes, and the size of a snapshot."""
    values = {node_name(number): node_value(number) for number in range(12_000)}
    begun = time.process_time()
    image = make_image(1, values)
    made = time.process_time()
    applier = Applier()
    applied = applier.apply_snapshot(image)
    ended = time.process_time()
    assert applied is not None and len(applier.table.values) == 12_000
    one_change = _one_change_us(applier, values)
    return {
        "nodes": 12_000,
        "snapshot_bytes": len(image.data),
        "value_bytes": sum(map(len, values.values())),
        "make_snapshot_ms": round((made - begun) * 1000, 1),
        "check_and_apply_snapshot_ms": round((ended - made) * 1000, 1),
        "apply_one_change_us": round(one_change, 1),
        "heartbeat_and_answer_us": round(_heartbeat_us(), 1),
        "relay_memory_bytes": _memory(lambda: _full_relay(values)),
        "broker_memory_bytes": _memory(lambda: _whole_applier(image)),
    }


def _memory(make: Callable[[], Any]) -> int:
    """Bytes that what is made holds on to."""
    tracemalloc.start()
    kept = make()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return held


def _whole_applier(image: Image) -> Applier:
    applier = Applier()
    assert applier.apply_snapshot(image) is not None
    return applier


def _full_relay(values: dict[str, bytes]) -> Relay:
    """A relay with 12,000 nodes, 4,096 deltas and 1,000 subscribers."""
    relay = Relay(RelayIdentity("lab", "relay", 1), 0)
    copied = {bytes(name, "utf8").decode(): bytes(bytearray(value)) for name, value in values.items()}
    relay.step(0, [Loaded(1, copied)])
    for revision in range(2, 4098):
        old, new = node_value(revision), node_value(revision, "draining")
        relay.step(0, [Committed(revision, (Delta(revision, (Edit(node_name(revision), old, new),)),))])
    for number in range(1000):
        name = f"b{number:04}"
        body = encode_body(Subscribe(4097, 4097))
        relay.step(0, [Received(name, pack("lab", name, 1, "relay", body))])
    return relay


def _heartbeat_us() -> float:
    """Processor time of a broker for one heartbeat of its relay, mean with an acknowledgement each three."""
    me = SubscriberIdentity("lab", "broker", "east", 1)
    subscriber = Subscriber(me, [RelayLocation("relay", "east")], 1, 0)
    beat = Received("relay", pack("lab", "relay", 1, "broker", encode_body(Heartbeat(0, 100))))
    subscriber.step(1_000_000_000, [])
    count = 5000
    begun = time.process_time()
    for second in range(count):
        subscriber.step((second + 1) * 1_000_000_000 + 1_000_000, [beat])
    assert subscriber.chooser.current == "relay"
    return (time.process_time() - begun) / count * 1e6


def _one_change_us(applier: Applier, values: dict[str, bytes]) -> float:
    """Mean processor time of one delta of one node, taken in, checked and applied."""
    count = 500
    deltas = [
        Delta(
            number + 2, (Edit(node_name(number), values[node_name(number)], node_value(number, "draining")),)
        )
        for number in range(count)
    ]
    begun = time.process_time()
    for delta in deltas:
        applier.hold([delta])
        applier.apply_held()
    assert applier.revision == count + 1
    return (time.process_time() - begun) / count * 1e6


PLAYS: dict[str, Play] = {
    "region_cut": _row(cases.region_cut, 166),
    "calm": _row(cases.calm, 220),
    "ordinary_day": _row(cases.ordinary_day, 600),
    "loss": _row(cases.loss, 100),
    "leader_killed": _row(cases.leader_killed, 10),
    "relay_killed": _row(cases.relay_killed, 15),
    "relay_vanishes": _row(cases.relay_killed, 15, told=False),
    "relay_silent": _row(cases.relay_silent, 15),
    "relay_lags": _row(cases.relay_lags, 60),
    "reconnected_to_laggard": _row(cases.reconnected_to_laggard, 20),
    "twice_and_conflicting": _row(cases.twice_and_conflicting, 20),
    "burst": _row(cases.burst, 100),
    "zone_returns": _row(cases.zone_returns, 40, nodes=12_000, lean=True),
    "baseline_tells": _baseline(baselines.TELLS_EVERYBODY, 0.0),
    "baseline_tells_loss": _baseline(baselines.TELLS_EVERYBODY, 0.05),
    "baseline_polls": _baseline(baselines.EVERYBODY_POLLS, 0.0),
    "baseline_polls_loss": _baseline(baselines.EVERYBODY_POLLS, 0.05),
    "cost": cost,
}


def _played(name: str, brokers: int) -> tuple[str, dict[str, Any]]:
    begun = time.process_time()
    found = PLAYS[name](brokers)
    return name, {**found, "processor_s": round(time.process_time() - begun, 1)}


def _plain(value: Any) -> Any:
    """Infinite times, of a revision that never was in force everywhere, as words: JSON has none."""
    if isinstance(value, float) and not math.isfinite(value):
        return "never"
    if isinstance(value, dict):
        return {key: _plain(one) for key, one in value.items()}
    return [_plain(one) for one in value] if isinstance(value, list) else value


def keep(file: Path, name: str, row: dict[str, Any]) -> None:
    """Put one row into the results, beside those that are there."""
    found = json.loads(file.read_text()) if file.exists() else {"rows": {}}
    found["machine"] = machine()
    found["rows"][name] = _plain(row)
    found["rows"] = {known: found["rows"][known] for known in PLAYS if known in found["rows"]}
    file.write_text(json.dumps(found, indent=1) + "\n")


LABELS = {
    "calm": "calm, a change each two seconds",
    "loss": "5% of messages lost, 2% doubled, 2% late by up to 2 s",
    "leader_killed": "leader killed between commit and telling",
    "relay_killed": "relay killed amid a delta, its connections end",
    "relay_vanishes": "relay vanishes amid a delta, without a word",
    "relay_silent": "relay silent but connected",
    "relay_lags": "relay lags behind the log",
    "reconnected_to_laggard": "a relay that lags is reconnected to",
    "twice_and_conflicting": "each change proposed twice, one conflicting",
    "burst": "100 changes in a second",
    "zone_returns": "a zone returns at once, with nothing",
    "region_cut": "a region cut off for an hour",
    "ordinary_day": "pace of an ordinary day",
}


def times_table(rows: dict[str, Any]) -> list[str]:
    """Times of all cases, as the page has them."""
    found = [
        "| case | changes | median ms | 99th | most | within 7 s | unequal in the end | back or by half |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, label in LABELS.items():
        row = rows.get(name)
        if row is None:
            found.append(f"| {label} | not run | | | | | | |")
            continue
        times = " | ".join(str(row[key]) for key in ("median_ms", "p99_ms", "most_ms"))
        good = "yes" if row["good"] else "**no**"
        wrong = len(row["violations"])
        found.append(f"| {label} | {row['changes']} | {times} | {good} | {row['unequal']} | {wrong} |")
    return found


def baseline_table(rows: dict[str, Any]) -> list[str]:
    """What else could carry it, beside the relays."""
    found = [
        "| way | loss | median ms | 99th | most | leader: bytes/s | messages/s | broker: bytes/s |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, row in rows.items():
        if not name.startswith("baseline"):
            continue
        columns = [row["way"], f"{row['loss']:.0%}", row["median_ms"], row["p99_ms"], row["most_ms"]]
        columns += [
            row["leader_bytes_a_second"],
            row["leader_messages_a_second"],
            row["broker_bytes_a_second"],
        ]
        found.append(f"| {' | '.join(map(str, columns))} |")
    return found


def figures_table(rows: dict[str, Any]) -> list[str]:
    """What only some of the cases have, as it was measured."""
    found = ["| case | figure | value |", "| --- | --- | --- |"]
    for name, row in rows.items():
        figures = row.get("figures", row if name == "cost" else {})
        label = LABELS.get(name, "cost on the machine")
        found += [f"| {label} | {key} | {value} |" for key, value in figures.items()]
    return found


def with_tables(page: str, rows: dict[str, Any]) -> str:
    """The page with the tables of the results between its marks."""
    for mark, table in (("times", times_table), ("baselines", baseline_table), ("figures", figures_table)):
        begin, end = f"<!-- {mark} -->\n", f"<!-- end of {mark} -->"
        before, _, rest = page.partition(begin)
        _, found, after = rest.partition(end)
        if not found:
            raise click.ClickException(f"{PAGE.name}: no {begin.strip()} ... {end}")
        page = before + begin + "\n" + "\n".join(table(rows)) + "\n\n" + end + after
    return page


@click.command()
@click.option("--brokers", default=BROKERS, type=click.IntRange(20, 5000))
@click.option("--only", type=click.Choice(list(PLAYS)), multiple=True)
@click.option("--processes", default=2, type=click.IntRange(1, 8))
@click.option("--page", is_flag=True, help="Write the page's tables from the results, and play nothing.")
@click.option("--file", default=FILE, type=click.Path(path_type=Path, dir_okay=False))
def main(brokers: int, only: tuple[str, ...], processes: int, page: bool, file: Path) -> None:
    """Play the cases, the longest first, and keep each row when it is done."""
    if page:
        PAGE.write_text(with_tables(PAGE.read_text(), json.loads(file.read_text())["rows"]))
        return
    names = [name for name in PLAYS if not only or name in only]
    with ProcessPoolExecutor(processes) as pool:
        for found in [pool.submit(partial(_played, name, brokers)) for name in names]:
            name, row = found.result()
            keep(file, name, row)
            click.echo(f"{name}: {json.dumps(_plain(row))}")


if __name__ == "__main__":
    main()
