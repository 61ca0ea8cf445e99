"""Recorded events through two versions of the decision module: are the actions the same, byte for byte?

    python -m benchmarks.replay_decisions record examples/incidents/holders-hang.yaml hang.events
    python -m benchmarks.replay_decisions draw shared --seed 3 shared.events
    git worktree add ../before COMMIT
    python -m benchmarks.replay_decisions compare ../before . hang.events day.wire

Two kinds of file. ``NAME.events``: what ``record`` writes, a script run in virtual time with this tree's
module, or ``draw``, a drawn world of ``benchmarks/replay_worlds.py`` (queries of 130 parts); JSON lines, a
broker's start or one call of ``handle`` with its events and what it returned. Any other name: what came in on
the standard input of ``quincepath.drill``; where ``NAME.out`` stands beside it, that is what went out. Each
file is played in a process of its own for each tree, which imports ``quincepath`` from there alone. Ends with
1 where a tree differs from the other or from the record, or where nothing was played.
"""

import os
import subprocess
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import click
import msgspec

import quincepath
from quincepath import interface
from quincepath.interface import Action, Event, Settings
from quincepath.policy import Aggregator

EVENTS = ".events"


class Begin(msgspec.Struct, frozen=True, tag="begin"):
    """A broker starts, empty; one more of the same number takes its place."""

    broker: int
    settings: Settings
    seed: int


class Step(msgspec.Struct, frozen=True, tag="step"):
    """One call: ``events`` as pairs of type and value, ``actions`` as printed."""

    broker: int
    now: int
    events: list[tuple[str, msgspec.Raw]]
    actions: str


Entry = Begin | Step


class Recorder:
    """Makes modules that note what goes in and comes out; ``make`` is what a rehearsal takes."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self._brokers = 0

    def make(self, settings: Settings, seed: int) -> "Noted":
        """A module for one start of a broker; each start has a number of its own."""
        number, self._brokers = self._brokers, self._brokers + 1
        self.entries.append(Begin(number, settings, seed))
        return Noted(Aggregator(settings, seed), number, self.entries)


@dataclass(slots=True)
class Noted:
    """A module under a recorder."""

    inner: Aggregator
    number: int
    entries: list[Entry]

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """As the module's own."""
        batch = list(events)
        actions = self.inner.handle(now, batch)
        told = [(type(event).__name__, msgspec.Raw(msgspec.json.encode(event))) for event in batch]
        self.entries.append(Step(self.number, now, told, repr(actions)))
        return actions


def line(step: Step, actions: str) -> str:
    """One step's actions as compared."""
    return f"{step.broker} {step.now} {actions}\n"


def recorded(entries: Iterable[Entry]) -> Iterator[str]:
    """The actions as they were recorded."""
    return (line(entry, entry.actions) for entry in entries if isinstance(entry, Step))


def replay(entries: Iterable[Entry]) -> Iterator[str]:
    """The actions of this process's module for the recorded events."""
    brokers: dict[int, Aggregator] = {}
    for entry in entries:
        if isinstance(entry, Begin):
            brokers[entry.broker] = Aggregator(entry.settings, entry.seed)
        else:
            events = [msgspec.json.decode(raw, type=getattr(interface, name)) for name, raw in entry.events]
            yield line(entry, repr(brokers[entry.broker].handle(entry.now, events)))


def read(path: Path) -> Iterator[Entry]:
    """Entries of a file that ``record`` wrote. Raises ``msgspec.DecodeError`` where a line is none."""
    decoder = msgspec.json.Decoder(Entry)
    with path.open("rb") as file:
        for text in file:
            yield decoder.decode(text)


def play(path: Path, sink: BinaryIO) -> None:
    """Write all that this process's module answers to a file."""
    if path.suffix == EVENTS:
        for text in replay(read(path)):
            sink.write(text.encode())
    else:
        from quincepath.drill import serve

        with path.open("rb") as source:
            serve(source, sink)


def played(tree: Path, path: Path) -> bytes:
    """What the module of a source tree answers, from a process that has no other."""
    command = [sys.executable, "-P", __file__, "play", str(tree.resolve()), str(path.resolve())]
    env = {**os.environ, "PYTHONPATH": str(tree.resolve()), "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(command, env=env, cwd=tree, stdout=subprocess.PIPE, check=True).stdout


def difference(one: bytes, other: bytes) -> str:
    """Empty, or where two outputs part."""
    if one == other:
        return ""
    least = min(len(one), len(other))
    at = next((i for i in range(least) if one[i] != other[i]), least)
    return f"differ at byte {at} (line {one.count(bytes([10]), 0, at) + 1}) of {len(one)} and {len(other)}"


def verdicts(before: Path, after: Path, path: Path) -> dict[str, Any]:
    """Both trees on one file: sizes, and where they differ from each other or from the record."""
    first, second = played(before, path), played(after, path)
    if path.suffix == EVENTS:
        record: bytes | None = "".join(recorded(read(path))).encode()
    else:
        out = path.with_suffix(".out")
        record = out.read_bytes() if out.exists() else None
    found = {"before and after": difference(first, second)}
    if record is not None:
        found["record and before"] = difference(record, first)
    return {"file": path.name, "bytes": len(first), "differences": {k: v for k, v in found.items() if v}}


@click.group()
def main() -> None:
    """Record events, and compare two versions on them."""


@main.command("record")
@click.argument("script", type=click.Path(exists=True, path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
def record_command(script: Path, out: Path) -> None:
    """Run a script in virtual time and keep its modules' events and actions."""
    from quincepath.config.load import load
    from quincepath.lab.emulator.rehearsal import rehearse
    from quincepath.lab.emulator.script import Script

    if out.suffix != EVENTS:
        raise click.BadParameter(f"{out}: the name has to end in {EVENTS}")
    recorder = Recorder()
    rehearse(load(script, Script), make_module=recorder.make)
    out.write_bytes(b"".join(msgspec.json.encode(entry) + b"\n" for entry in recorder.entries))
    click.echo(f"{out}: {len(recorder.entries)} entries")


@main.command("draw")
@click.argument("case")
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def draw_command(case: str, out: Path, seed: int) -> None:
    """Play a drawn world around this tree's module and keep its events and actions."""
    from benchmarks.replay_worlds import CASES, World, case_settings

    if case not in CASES:
        raise click.BadParameter(f"{case}: one of {', '.join(CASES)} was expected")
    if out.suffix != EVENTS:
        raise click.BadParameter(f"{out}: the name has to end in {EVENTS}")
    recorder = Recorder()
    World(CASES[case], recorder.make(case_settings(CASES[case]), seed), seed).play()
    out.write_bytes(b"".join(msgspec.json.encode(entry) + b"\n" for entry in recorder.entries))
    click.echo(f"{out}: {len(recorder.entries)} entries")


@main.command("play")
@click.argument("tree", type=click.Path(exists=True, path_type=Path))
@click.argument("file", type=click.Path(exists=True, path_type=Path))
def play_command(tree: Path, file: Path) -> None:
    """Write what the module of TREE answers; ``compare`` starts this."""
    if not Path(quincepath.__file__).is_relative_to(tree):
        raise click.ClickException(f"the module comes from {quincepath.__file__}, not from {tree}")
    play(file, sys.stdout.buffer)


@main.command("compare")
@click.argument("before", type=click.Path(exists=True, path_type=Path))
@click.argument("after", type=click.Path(exists=True, path_type=Path))
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def compare_command(before: Path, after: Path, files: tuple[Path, ...]) -> None:
    """Play each file through both trees."""
    bad = 0
    for file in files:
        found = verdicts(before, after, file)
        bad += bool(found["differences"]) or not found["bytes"]
        click.echo(msgspec.json.encode(found).decode())
    click.echo(f"{len(files)} files, {bad} that differ or are empty")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
