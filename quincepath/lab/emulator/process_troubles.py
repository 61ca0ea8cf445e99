"""Applies each kind of trouble to processes on loopback: the counterpart of ``troubles`` in virtual time.

Troubles of one holder may overlap: its faults combine all troubles that have begun and not ended.
"""

import signal
import time
from collections import defaultdict
from collections.abc import Callable
from http.client import HTTPConnection
from typing import Any, Protocol

import msgspec

from quincepath.lab.cluster import HolderProcess
from quincepath.lab.emulator.processes import BrokerProcess, RosterFiles
from quincepath.lab.emulator.script import Script, TroubleEntry
from quincepath.lab.emulator.troubles import AGEING_STEPS, DEPLOY_DRAIN_NS
from quincepath.lab.emulator.world import RESTART_DELAY_NS
from quincepath.lab.load import Client
from quincepath.net.loop import Loop
from quincepath.standins.leaf import Faults
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Halt, Mark, Writer

MS = 1_000_000
# Between checks for holders that exited by themselves and for processes that are starting.
POLL_INTERVAL_NS = 50 * MS


def combine_faults(active: list[Faults]) -> Faults:
    """Combine faults: factors multiply, the larger share wins, and so does the latest fault of calls."""
    combined = Faults()
    for one in active:
        combined.slow *= one.slow
        combined.steal, combined.lose = max(combined.steal, one.steal), max(combined.lose, one.lose)
        combined.paused = combined.paused or one.paused
        combined.handshake_ms = max(combined.handshake_ms, one.handshake_ms)
        combined.deaf_to = sorted({*combined.deaf_to, *one.deaf_to})
        if one.fault != "none":
            combined.fault, combined.share, combined.metric = one.fault, one.share, one.metric
    return combined


class TroubleTarget(Protocol):
    """What troubles act on: processes, roster files, clients and client behaviour (``SocketRun``)."""

    script: Script
    seed: int
    begin: int  # ns on the loop's clock
    loop: Loop
    writer: Writer
    by_name: dict[str, HolderProcess]
    brokers: list[BrokerProcess]
    clients: list[Client]
    roster_files: RosterFiles
    restarted: set[str]  # holders that were relaunched
    rate_factor: float  # multiplies the usual query rate
    patience_divisor: float  # divides the patience of clients
    immediate_retries: bool  # whether clients retry without a delay
    heavy_factors: dict[int, tuple[float, float]]  # by class: share of queries, factor of work
    poison_shares: dict[int, float]  # by class: share of queries


class ProcessTroubleInjector:
    """Injects a script's troubles into a run on sockets, at their times on its loop."""

    def __init__(self, run: TroubleTarget) -> None:
        self.run, self.loop, self.script = run, run.loop, run.script
        self.active_faults: dict[str, dict[int, Faults]] = defaultdict(dict)
        self.down: set[str] = set()
        self.last_fault_id = 0
        for index, entry in enumerate(self.script.troubles):
            draw = RandomStream(run.seed, f"trouble {index}")
            self.loop.call_at(run.begin + entry.at, self._begin(entry, draw))
        self._check_holders()

    def _begin(self, entry: TroubleEntry, draw: RandomStream) -> Callable[[], None]:
        def start() -> None:
            self.mark(f"begins: {entry.kind}")
            act: Callable[[TroubleEntry, RandomStream], None] = getattr(self, f"_{entry.kind}")
            act(entry, draw)

        return start

    def mark(self, what: str) -> None:
        """Write a mark into the clients' record."""
        self.run.writer.write(Mark(time.monotonic_ns(), what))

    # --- helpers ---

    def _pick_holders(self, entry: TroubleEntry, draw: RandomStream) -> list[HolderProcess]:
        return [self.run.by_name[name] for name in draw.pick(list(self.run.by_name), entry.holders)]

    def _pick_brokers(self, entry: TroubleEntry, draw: RandomStream) -> list[int]:
        names = [f"broker{broker.number}" for broker in self.run.brokers]
        return [int(name[6:]) for name in draw.pick(names, entry.brokers)]

    def _apply_for(self, holder: HolderProcess, duration: int, faults: Faults) -> None:
        """Apply faults to a holder for a time; a process that is relaunched meanwhile starts without them."""
        self.last_fault_id += 1
        fault_id = self.last_fault_id
        self.active_faults[holder.name][fault_id] = faults
        self._send_faults(holder)

        def end() -> None:
            if self.active_faults[holder.name].pop(fault_id, None) is not None:
                self._send_faults(holder)

        if duration:
            self.loop.call_in(duration, end)

    def _send_faults(self, holder: HolderProcess) -> None:
        """Send the process its faults. Blocks the loop for about 1 ms: a live holder answers at once."""
        if holder.name in self.down or holder.process is None:
            return
        connection = HTTPConnection("127.0.0.1", holder.port, timeout=2)
        try:
            connection.request(
                "POST",
                "/control",
                msgspec.json.encode(combine_faults([*self.active_faults[holder.name].values()])),
            )
            connection.getresponse().read()
        except OSError as error:
            self.mark(f"{holder.name} does not take its faults: {error}")
        finally:
            connection.close()

    def _apply_to_holders(self, entry: TroubleEntry, draw: RandomStream, faults: Faults) -> None:
        for holder in self._pick_holders(entry, draw):
            self._apply_for(holder, entry.last, faults)

    def _metric_name(self, entry: TroubleEntry) -> str:
        return f"class_{self._class_index(entry)}"

    def _class_index(self, entry: TroubleEntry) -> int:
        return next(k for k, known in enumerate(self.script.classes) if known.name == entry.of_class)

    # --- holders ---

    def _hang(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._apply_to_holders(entry, draw, Faults(fault="hang"))

    def _slow(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._apply_to_holders(entry, draw, Faults(slow=entry.times))

    def _slowdown(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self.run.by_name.values():
            self._apply_for(holder, entry.last, Faults(slow=entry.times))

    def _errors(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._apply_to_holders(entry, draw, Faults(fault="errors", share=entry.share))

    def _class_errors(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._apply_to_holders(
            entry, draw, Faults(fault="errors", share=entry.share, metric=self._metric_name(entry))
        )

    def _lost_answers(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._apply_to_holders(entry, draw, Faults(lose=entry.share))

    def _slow_handshakes(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """The kernel accepts connections by itself, so the holder delays its first read instead."""
        self._apply_to_holders(entry, draw, Faults(handshake_ms=entry.pause / MS))

    def _one_sided(self, entry: TroubleEntry, draw: RandomStream) -> None:
        numbers = self._pick_brokers(entry, draw)
        self._apply_to_holders(entry, draw, Faults(deaf_to=numbers))

    def _pauses(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            at = int(draw() * entry.every)
            while at < entry.last:
                self._apply_later(at, holder, entry.pause, Faults(paused=True))
                at += int(entry.every * draw.between(0.8, 1.2))

    def _preemption(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            at = int(draw() * entry.every / 2)
            while at < entry.last:
                self._apply_later(at, holder, entry.every // 2, Faults(steal=min(entry.share, 0.95)))
                at += int(entry.every * draw.between(0.8, 1.2))

    def _apply_later(self, wait: int, holder: HolderProcess, duration: int, faults: Faults) -> None:
        self.loop.call_in(wait, lambda: self._apply_for(holder, duration, faults))

    def _ageing(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            for step in range(AGEING_STEPS):
                slower = Faults(slow=entry.times ** (1 / AGEING_STEPS))
                self._apply_later(entry.last * step // AGEING_STEPS, holder, 0, slower)
            self.loop.call_in(entry.last, lambda h=holder: self._stop_for(h, entry.every))  # type: ignore[misc]

    def _kill(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            self._stop_for(holder, entry.last)

    _restart = _kill

    def _silence(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            self._stop_for(holder, entry.last, silent=True)

    def _flapping(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            at = int(draw() * entry.every / 2)
            while at < entry.last:
                self.loop.call_in(at, lambda h=holder: self._stop_for(h, entry.every // 3))  # type: ignore[misc]
                at += entry.every

    def _zone_loss(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self.run.by_name.values():
            if holder.zone == entry.zone:
                self._stop_for(holder, entry.last, silent=True)
        if entry.share >= 1:
            for broker in self.run.brokers:
                if broker.zone == entry.zone:
                    self._kill_broker(broker.number, entry.last)

    def _drain(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._pick_holders(entry, draw):
            holder.phase = "draining"
            self.run.roster_files.publish(holder.name)
            self.loop.call_in(entry.last, lambda h=holder: self._end_drain(h))  # type: ignore[misc]

    def _end_drain(self, holder: HolderProcess) -> None:
        if holder.name not in self.down:
            holder.phase = "ready"
            self.run.roster_files.publish(holder.name)

    def _deploy(self, entry: TroubleEntry, draw: RandomStream) -> None:
        chosen = self._pick_holders(entry, draw)
        for wave in range(self.script.fleet.replicas):
            for holder in chosen:
                if holder.name.endswith(f"r{wave}"):
                    self.loop.call_in(wave * entry.every, lambda h=holder: self._drain_and_restart(h, entry))  # type: ignore[misc]

    def _drain_and_restart(self, holder: HolderProcess, entry: TroubleEntry) -> None:
        if holder.name not in self.down:
            holder.phase = "draining"
            self.run.roster_files.publish(holder.name)
            wait = self.script.discovery.lag[1] + DEPLOY_DRAIN_NS
            self.loop.call_in(wait, lambda: self._stop_for(holder, entry.pause))

    # --- stopping and relaunching processes ---

    def _stop_for(self, holder: HolderProcess, duration: int, silent: bool = False) -> None:
        """Kill a holder's process, or suspend it: then its connections stay open and silent."""
        if holder.name in self.down or holder.process is None:
            return
        self.down.add(holder.name)
        self.active_faults[holder.name].clear()
        if silent:
            holder.signal(signal.SIGSTOP)
        else:
            holder.kill()
        self.run.roster_files.publish(holder.name)
        self.loop.call_in(duration, lambda: self._relaunch(holder))

    def _relaunch(self, holder: HolderProcess) -> None:
        if holder.process is not None:
            holder.kill()
        holder.launch(self.script.fleet.cold)
        self._await_ready(holder)

    def _await_ready(self, holder: HolderProcess) -> None:
        if not holder.ready():
            self.loop.call_in(POLL_INTERVAL_NS, lambda: self._await_ready(holder))
            return
        holder.wait()
        holder.phase = "ready"
        self.down.discard(holder.name)
        self.run.restarted.add(holder.name)
        self.run.roster_files.publish(holder.name)

    def _check_holders(self) -> None:
        """Relaunch holders that a poisoned query killed; those that collapsed under load stay down."""
        for holder in self.run.by_name.values():
            if (
                holder.name not in self.down
                and holder.process is not None
                and holder.process.poll() is not None
            ):
                self.mark(f"{holder.name} ended by itself")
                self._stop_for(holder, RESTART_DELAY_NS)
        self.loop.call_in(POLL_INTERVAL_NS, self._check_holders)

    # --- brokers and their roster files ---

    def _broker_stall(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._pick_brokers(entry, draw):
            broker, now = self.run.brokers[number], time.monotonic_ns()
            if broker.alive:
                self.run.writer.write(Halt(now, number, now + entry.last, False))
                broker.signal(signal.SIGSTOP)
                self.loop.call_in(entry.last, lambda b=broker: b.signal(signal.SIGCONT))  # type: ignore[misc]

    def _broker_crash(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._pick_brokers(entry, draw):
            self._kill_broker(number, entry.last)

    def _kill_broker(self, number: int, duration: int) -> None:
        broker = self.run.brokers[number]
        if broker.alive:
            broker.kill()
            broker.halted = (time.monotonic_ns(), duration)
            self.loop.call_in(duration, lambda: self._relaunch_broker(number))

    def _relaunch_broker(self, number: int) -> None:
        self.run.brokers[number].launch()
        self._await_broker(number)

    def _await_broker(self, number: int) -> None:
        broker = self.run.brokers[number]
        if not broker.ready():
            self.loop.call_in(POLL_INTERVAL_NS, lambda: self._await_broker(number))
            return
        broker.wait()
        self.record_downtime(number)
        self.run.clients[number].move(broker.url)
        # Its roster file catches up after the usual lag, as in virtual time.
        lag = int(self.run.roster_files.lag() * self.run.roster_files.rosters[number].lag_factor)
        self.loop.call_in(lag, lambda: self.run.roster_files.catch_up(number))

    def record_downtime(self, number: int) -> None:
        """Record for the audit when a broker was down: until now, at the latest."""
        broker = self.run.brokers[number]
        if broker.halted is not None:
            since, _ = broker.halted
            broker.halted = None
            self.run.writer.write(Halt(since, number, time.monotonic_ns(), True))

    def _list_late(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._pick_brokers(entry, draw):
            roster = self.run.roster_files.rosters[number]
            roster.lag_factor *= entry.times
            self.loop.call_in(entry.last, self._restore_lag(roster, entry.times))

    @staticmethod
    def _restore_lag(roster: Any, times: float) -> Callable[[], None]:
        def restore() -> None:
            roster.lag_factor /= times

        return restore

    def _list_frozen(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._pick_brokers(entry, draw):
            self.run.roster_files.freeze(number)
            self.loop.call_in(entry.last, lambda n=number: self.run.roster_files.unfreeze(n))  # type: ignore[misc]

    # --- clients ---

    def _burst(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self.run.rate_factor *= entry.times

        def end() -> None:
            self.run.rate_factor /= entry.times

        self.loop.call_in(entry.last, end)

    def _impatience(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self.run.patience_divisor = entry.times

        def end() -> None:
            self.run.patience_divisor = 1.0

        self.loop.call_in(entry.last, end)

    def _retry_storm(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self.run.immediate_retries = True

        def end() -> None:
            self.run.immediate_retries = False

        self.loop.call_in(entry.last, end)

    def _heavy_tail(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, heavy = self._class_index(entry), self.run.heavy_factors
        heavy[kind] = (entry.share, entry.times)

        def end() -> None:
            heavy.pop(kind, None)

        self.loop.call_in(entry.last, end)

    def _poison(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, poison = self._class_index(entry), self.run.poison_shares
        poison[kind] = entry.share

        def end() -> None:
            poison.pop(kind, None)

        self.loop.call_in(entry.last, end)
