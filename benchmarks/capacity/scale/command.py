"""The command line of a scale run: options, refusals, progress on standard error, one line of JSON."""

import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import FrameType

import click
import msgspec

from benchmarks.capacity.scale.faults import FaultError, read_faults
from benchmarks.capacity.scale.load import Profile
from benchmarks.capacity.scale.machine import Machine, RefusedError, check, host_processes
from benchmarks.capacity.scale.pace import carried
from benchmarks.capacity.scale.plan import PORT, Mechanism, Plan
from benchmarks.capacity.scale.result import Result, Verdict, line
from benchmarks.capacity.scale.run import Options, Run
from benchmarks.capacity.scale.simulated import SimulationError, simulate_ledger, simulate_view

BROKERS_MOST = 2600
PEERS_MOST = 1000  # of fleet.peers in a broker's configuration
REAL_MOST = 10
STATUS = {Verdict.GOOD: 0, Verdict.SIMULATED: 0, Verdict.FAILED: 1, Verdict.VOID: 3}
BAD_OPTION = 2
BLOCKS = range(20, 100)  # second octets that runs use; the laboratory's relay uses 100 to 199


class MechanismList(click.ParamType):  # type: ignore[type-arg]
    """Names of mechanisms, separated by commas."""

    name = "list"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[Mechanism, ...]:
        """Raises click's error for an unknown name, one that stands twice, and one that lacks another."""
        names = [name.strip() for name in value.split(",")]
        known = [one.value for one in Mechanism]
        for name in names:
            if name not in known:
                self.fail(f"{name!r}: expected some of {', '.join(known)}", param, ctx)
            if names.count(name) > 1:
                self.fail(f"{name!r} stands twice: expected each at most once", param, ctx)
        if Mechanism.LEDGER in names and Mechanism.VIEW not in names:
            self.fail(f"{value!r}: expected {Mechanism.VIEW} beside {Mechanism.LEDGER}", param, ctx)
        if Mechanism.CONFIGURATION in names and Mechanism.LOG not in names:
            self.fail(f"{value!r}: expected {Mechanism.LOG} beside {Mechanism.CONFIGURATION}", param, ctx)
        return tuple(one for one in Mechanism if one in names)


@click.command("scale")
@click.option("--brokers", type=click.IntRange(3, BROKERS_MOST), required=True, help="Of the whole fleet.")
@click.option("--real", type=click.IntRange(0, REAL_MOST), default=0, help="Broker processes among them.")
@click.option("--seed", type=click.IntRange(0, 1 << 30), default=1)
@click.option("--mechanisms", type=MechanismList(), default=",".join(Mechanism), help="Which are on.")
@click.option("--duration", type=click.FloatRange(2, 600), default=20.0, help="Seconds of the calm phase.")
@click.option("--queries", type=click.FloatRange(0, 1000), default=10.0, help="A second, at each broker.")
@click.option(
    "--profile",
    type=click.Choice([one.value for one in Profile]),
    default=Profile.DEMO.value,
    help="What hollow brokers count: as the demo's queries, or as at the planned size.",
)
@click.option(
    "--changes",
    type=click.IntRange(0, 1000),
    default=10,
    help="Of the configuration, in the calm; each must come into force everywhere.",
)
@click.option("--kill-share", type=click.FloatRange(0, 0.5, min_open=True), default=0.02)
@click.option(
    "--faults",
    "fault_path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="File of faults, played in place of the kill; see the folder scripts beside this package.",
)
@click.option(
    "--processes", type=click.IntRange(1, 190), help="Of hollow brokers; by the cores if not given."
)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="File for the same JSON.")
def scale(
    brokers: int,
    real: int,
    seed: int,
    mechanisms: tuple[Mechanism, ...],
    duration: float,
    queries: float,
    profile: str,
    changes: int,
    kill_share: float,
    fault_path: Path | None,
    processes: int | None,
    out: Path | None,
) -> Result:
    """Run a fleet of BROKERS on this machine's loopback, REAL of them as processes of their own."""
    if real > brokers:
        raise click.BadParameter(f"{real}: expected at most --brokers ({brokers})", param_hint="--real")
    if real and brokers > PEERS_MOST:
        raise click.BadParameter(
            f"{real}: expected 0 with over {PEERS_MOST} brokers, the most that a configuration takes",
            param_hint="--real",
        )
    if Mechanism.VIEW not in mechanisms and (real or fault_path is not None):
        raise click.BadParameter(
            f"{','.join(mechanisms)}: expected {Mechanism.VIEW} among them with --real or --faults",
            param_hint="--mechanisms",
        )
    if out is not None and not out.absolute().parent.is_dir():
        raise click.BadParameter(f"{out}: expected a file in a folder that exists", param_hint="--out")
    machine = Machine.read()
    hollow = brokers - real
    with tempfile.TemporaryDirectory(prefix="quincepath-scale-") as folder, leased_block() as block:
        plan = Plan(
            brokers=brokers,
            real=real,
            seed=seed,
            mechanisms=mechanisms,
            processes=min(processes or host_processes(hollow, machine), hollow),
            queries=queries,
            profile=Profile(profile),
            folder=folder,
            block=block,
            relayed=real > 0 and fault_path is not None,
        )
        kept, dropped = carried(plan, machine)
        for one in dropped:
            say(f"not carried: {one.mechanism}: {one.why}")
        plan = msgspec.structs.replace(plan, mechanisms=kept)
        check(plan, machine)
        faults = None if fault_path is None else read_faults(fault_path, plan)
        options = Options(duration=duration, kill_share=kill_share, changes=changes, faults=faults)
        run = Run(plan, options, machine, say)
        result = run.play() if kept else run.not_played()
    began = time.monotonic()
    result.not_carried = dropped
    simulate(plan, kill_share, machine, result)
    result.took_s = round(result.took_s + time.monotonic() - began, 1)
    if out is not None:
        out.write_text(line(result) + "\n")
    return result


def simulate(plan: Plan, kill_share: float, machine: Machine, result: Result) -> None:
    """What the run did not carry, in virtual time: the view and the ledger can be played so."""
    missing = {one.mechanism for one in result.not_carried}
    try:
        if Mechanism.VIEW in missing:
            found, event, dropped = simulate_view(plan.brokers, plan.seed, kill_share, machine, say)
            result.simulated[Mechanism.VIEW] = found
            result.events.append(event)
            result.dropped.update(dropped)
        if Mechanism.LEDGER in missing:
            found = simulate_ledger(plan.brokers, plan.seed, plan.queries, say)
            result.simulated[Mechanism.LEDGER] = found
    except SimulationError as error:
        result.why.append(str(error))
        result.verdict = Verdict.FAILED


@contextmanager
def leased_block() -> Iterator[int]:
    """A block of loopback addresses that no other run has: held by a socket at its last address.

    Raises ``RefusedError`` where all are in use.
    """
    first_tried = os.getpid() % len(BLOCKS)
    for block in (*BLOCKS[first_tried:], *BLOCKS[:first_tried]):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as lease:
            try:
                lease.bind((f"127.{block}.255.254", PORT))
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as first:
                    first.bind((f"127.{block}.0.1", PORT))
            except OSError:
                continue
            yield block
            return
    raise RefusedError(f"port {PORT} is taken on 127.{BLOCKS[0]}.255.254 and in all further blocks")


def say(text: str) -> None:
    """For people; standard output is for the one line."""
    print(text, file=sys.stderr, flush=True)


def _terminated(number: int, _: FrameType | None) -> None:
    """SIGTERM ends a run as SIGINT does: through all ``finally`` blocks."""
    raise KeyboardInterrupt(signal.Signals(number).name)


def main(arguments: list[str]) -> int:
    """Exit status: 0 good, 1 failed, 2 bad option or refused, 3 void, 130 interrupted."""
    before = signal.signal(signal.SIGTERM, _terminated)
    try:
        result = scale.main(arguments, prog_name="scale", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return BAD_OPTION
    except (RefusedError, FaultError) as error:
        say(f"refused: {error}")
        return BAD_OPTION
    except (click.Abort, KeyboardInterrupt):
        say("interrupted: all processes of the run have ended")
        return 130
    finally:
        signal.signal(signal.SIGTERM, before)
    if not isinstance(result, Result):  # --help
        return 0
    print(line(result), flush=True)
    return STATUS[result.verdict]
