"""What each kind of trouble does to processes on loopback: the counterpart of ``troubles`` in virtual time.

Troubles of one holder may overlap: what is in force at it is the sum of those that have begun and not ended.
"""

import signal
import time
from collections import defaultdict
from collections.abc import Callable
from http.client import HTTPConnection
from typing import Any, Protocol

import msgspec

from quincepath.lab.cluster import HolderProcess
from quincepath.lab.emulator.processes import BrokerProcess, Lists
from quincepath.lab.emulator.script import Script, TroubleEntry
from quincepath.lab.emulator.troubles import AGEING_STEPS, DEPLOY_PAUSE
from quincepath.lab.emulator.world import RESTART_AFTER
from quincepath.lab.load import Client
from quincepath.net.loop import Loop
from quincepath.standins.leaf import Faults
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Halt, Mark, Writer

MS = 1_000_000
LOOK = 50 * MS  # between looks for holders that ended by themselves, and for processes that come up


def together(active: list[Faults]) -> Faults:
    """The sum of faults: times multiply, the larger share counts, the latest fault of a call is met."""
    whole = Faults()
    for one in active:
        whole.slow *= one.slow
        whole.steal, whole.lose = max(whole.steal, one.steal), max(whole.lose, one.lose)
        whole.paused = whole.paused or one.paused
        whole.handshake_ms = max(whole.handshake_ms, one.handshake_ms)
        whole.deaf_to = sorted({*whole.deaf_to, *one.deaf_to})
        if one.fault != "none":
            whole.fault, whole.share, whole.metric = one.fault, one.share, one.metric
    return whole


class Stage(Protocol):
    """What troubles act on: the run's processes, lists and clients, and how clients ask (``SocketRun``)."""

    script: Script
    seed: int
    begin: int  # ns on the loop's clock
    loop: Loop
    writer: Writer
    by_name: dict[str, HolderProcess]
    brokers: list[BrokerProcess]
    clients: list[Client]
    lists: Lists
    fresh: set[str]  # holders that were started again
    factor: float  # times the usual rate of queries
    hurry: float  # clients have so many times less patience
    storm: bool  # whether clients come back at once
    heavy: dict[int, tuple[float, float]]  # class: share of queries, times the work
    poison: dict[int, float]  # class: share of queries


class Staging:
    """Puts a script's troubles into a run on sockets, at their times on its loop."""

    def __init__(self, run: Stage) -> None:
        self.run, self.loop, self.script = run, run.loop, run.script
        self.active: dict[str, dict[int, Faults]] = defaultdict(dict)
        self.down: set[str] = set()
        self.count = 0
        for place, entry in enumerate(self.script.troubles):
            draw = RandomStream(run.seed, f"trouble {place}")
            self.loop.call_at(run.begin + entry.at, self._begin(entry, draw))
        self._watch()

    def _begin(self, entry: TroubleEntry, draw: RandomStream) -> Callable[[], None]:
        def go() -> None:
            self.mark(f"begins: {entry.kind}")
            act: Callable[[TroubleEntry, RandomStream], None] = getattr(self, f"_{entry.kind}")
            act(entry, draw)

        return go

    def mark(self, what: str) -> None:
        """Note something of the script."""
        self.run.writer.write(Mark(time.monotonic_ns(), what))

    # --- helpers ---

    def _chosen(self, entry: TroubleEntry, draw: RandomStream) -> list[HolderProcess]:
        return [self.run.by_name[name] for name in draw.pick(list(self.run.by_name), entry.holders)]

    def _numbers(self, entry: TroubleEntry, draw: RandomStream) -> list[int]:
        names = [f"broker{broker.number}" for broker in self.run.brokers]
        return [int(name[6:]) for name in draw.pick(names, entry.brokers)]

    def _for_a_while(self, holder: HolderProcess, last: int, faults: Faults) -> None:
        """Let faults act on a holder; a process that is started anew meanwhile is without them."""
        self.count += 1
        mine = self.count
        self.active[holder.name][mine] = faults
        self._apply(holder)

        def over() -> None:
            if self.active[holder.name].pop(mine, None) is not None:
                self._apply(holder)

        if last:
            self.loop.call_in(last, over)

    def _apply(self, holder: HolderProcess) -> None:
        """Tell the process. Off the loop for about a millisecond: a live holder answers at once."""
        if holder.name in self.down or holder.process is None:
            return
        line = HTTPConnection("127.0.0.1", holder.port, timeout=2)
        try:
            line.request(
                "POST", "/control", msgspec.json.encode(together([*self.active[holder.name].values()]))
            )
            line.getresponse().read()
        except OSError as error:
            self.mark(f"{holder.name} does not take its faults: {error}")
        finally:
            line.close()

    def _all(self, entry: TroubleEntry, draw: RandomStream, faults: Faults) -> None:
        for holder in self._chosen(entry, draw):
            self._for_a_while(holder, entry.last, faults)

    def _metric(self, entry: TroubleEntry) -> str:
        return f"class_{self._class(entry)}"

    def _class(self, entry: TroubleEntry) -> int:
        return next(k for k, known in enumerate(self.script.classes) if known.name == entry.of_class)

    # --- holders ---

    def _hang(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._all(entry, draw, Faults(fault="hang"))

    def _slow(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._all(entry, draw, Faults(slow=entry.times))

    def _slowdown(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self.run.by_name.values():
            self._for_a_while(holder, entry.last, Faults(slow=entry.times))

    def _errors(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._all(entry, draw, Faults(fault="errors", share=entry.share))

    def _class_errors(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._all(entry, draw, Faults(fault="errors", share=entry.share, metric=self._metric(entry)))

    def _lost_answers(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._all(entry, draw, Faults(lose=entry.share))

    def _slow_handshakes(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """The system takes connections by itself: what is slow is that the holder begins to read them."""
        self._all(entry, draw, Faults(handshake_ms=entry.pause / MS))

    def _one_sided(self, entry: TroubleEntry, draw: RandomStream) -> None:
        numbers = self._numbers(entry, draw)
        self._all(entry, draw, Faults(deaf_to=numbers))

    def _pauses(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            at = int(draw() * entry.every)
            while at < entry.last:
                self._later(at, holder, entry.pause, Faults(paused=True))
                at += int(entry.every * draw.between(0.8, 1.2))

    def _preemption(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            at = int(draw() * entry.every / 2)
            while at < entry.last:
                self._later(at, holder, entry.every // 2, Faults(steal=min(entry.share, 0.95)))
                at += int(entry.every * draw.between(0.8, 1.2))

    def _later(self, wait: int, holder: HolderProcess, last: int, faults: Faults) -> None:
        self.loop.call_in(wait, lambda: self._for_a_while(holder, last, faults))

    def _ageing(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            for step in range(AGEING_STEPS):
                slower = Faults(slow=entry.times ** (1 / AGEING_STEPS))
                self._later(entry.last * step // AGEING_STEPS, holder, 0, slower)
            self.loop.call_in(entry.last, lambda h=holder: self._down(h, entry.every))  # type: ignore[misc]

    def _kill(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            self._down(holder, entry.last)

    _restart = _kill

    def _silence(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            self._down(holder, entry.last, silent=True)

    def _flapping(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            at = int(draw() * entry.every / 2)
            while at < entry.last:
                self.loop.call_in(at, lambda h=holder: self._down(h, entry.every // 3))  # type: ignore[misc]
                at += entry.every

    def _zone_loss(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self.run.by_name.values():
            if holder.zone == entry.zone:
                self._down(holder, entry.last, silent=True)
        if entry.share >= 1:
            for broker in self.run.brokers:
                if broker.zone == entry.zone:
                    self._crash(broker.number, entry.last)

    def _drain(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for holder in self._chosen(entry, draw):
            holder.phase = "draining"
            self.run.lists.publish(holder.name)
            self.loop.call_in(entry.last, lambda h=holder: self._serve_again(h))  # type: ignore[misc]

    def _serve_again(self, holder: HolderProcess) -> None:
        if holder.name not in self.down:
            holder.phase = "ready"
            self.run.lists.publish(holder.name)

    def _deploy(self, entry: TroubleEntry, draw: RandomStream) -> None:
        chosen = self._chosen(entry, draw)
        for wave in range(self.script.fleet.replicas):
            for holder in chosen:
                if holder.name.endswith(f"r{wave}"):
                    self.loop.call_in(wave * entry.every, lambda h=holder: self._wave(h, entry))  # type: ignore[misc]

    def _wave(self, holder: HolderProcess, entry: TroubleEntry) -> None:
        if holder.name not in self.down:
            holder.phase = "draining"
            self.run.lists.publish(holder.name)
            wait = self.script.discovery.lag[1] + DEPLOY_PAUSE
            self.loop.call_in(wait, lambda: self._down(holder, entry.pause))

    # --- processes that end and come back ---

    def _down(self, holder: HolderProcess, last: int, silent: bool = False) -> None:
        """End a holder's process, or stop it as it stands: then its connections stay and nothing comes."""
        if holder.name in self.down or holder.process is None:
            return
        self.down.add(holder.name)
        self.active[holder.name].clear()
        if silent:
            holder.signal(signal.SIGSTOP)
        else:
            holder.kill()
        self.run.lists.publish(holder.name)
        self.loop.call_in(last, lambda: self._back(holder))

    def _back(self, holder: HolderProcess) -> None:
        if holder.process is not None:
            holder.kill()
        holder.launch(self.script.fleet.cold)
        self._look(holder)

    def _look(self, holder: HolderProcess) -> None:
        if not holder.ready():
            self.loop.call_in(LOOK, lambda: self._look(holder))
            return
        holder.wait()
        holder.phase = "ready"
        self.down.discard(holder.name)
        self.run.fresh.add(holder.name)
        self.run.lists.publish(holder.name)

    def _watch(self) -> None:
        """Holders that a poisoned query took down come back after a while; fallen ones stay down."""
        for holder in self.run.by_name.values():
            if (
                holder.name not in self.down
                and holder.process is not None
                and holder.process.poll() is not None
            ):
                self.mark(f"{holder.name} ended by itself")
                self._down(holder, RESTART_AFTER)
        self.loop.call_in(LOOK, self._watch)

    # --- brokers and their lists ---

    def _broker_stall(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._numbers(entry, draw):
            broker, now = self.run.brokers[number], time.monotonic_ns()
            if broker.alive:
                self.run.writer.write(Halt(now, number, now + entry.last, False))
                broker.signal(signal.SIGSTOP)
                self.loop.call_in(entry.last, lambda b=broker: b.signal(signal.SIGCONT))  # type: ignore[misc]

    def _broker_crash(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._numbers(entry, draw):
            self._crash(number, entry.last)

    def _crash(self, number: int, last: int) -> None:
        broker = self.run.brokers[number]
        if broker.alive:
            broker.kill()
            broker.halted = (time.monotonic_ns(), last)
            self.loop.call_in(last, lambda: self._boot(number))

    def _boot(self, number: int) -> None:
        self.run.brokers[number].launch()
        self._look_for(number)

    def _look_for(self, number: int) -> None:
        broker = self.run.brokers[number]
        if not broker.ready():
            self.loop.call_in(LOOK, lambda: self._look_for(number))
            return
        broker.wait()
        self.excuse(number)
        self.run.clients[number].move(broker.url)
        # What its list missed comes with the list's next news, as in virtual time.
        lag = int(self.run.lists.lag() * self.run.lists.views[number].lag)
        self.loop.call_in(lag, lambda: self.run.lists.catch_up(number))

    def excuse(self, number: int) -> None:
        """Note for the audit from when to when a broker was dead: now, at the latest."""
        broker = self.run.brokers[number]
        if broker.halted is not None:
            since, _ = broker.halted
            broker.halted = None
            self.run.writer.write(Halt(since, number, time.monotonic_ns(), True))

    def _list_late(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._numbers(entry, draw):
            view = self.run.lists.views[number]
            view.lag *= entry.times
            self.loop.call_in(entry.last, self._in_time(view, entry.times))

    @staticmethod
    def _in_time(view: Any, times: float) -> Callable[[], None]:
        def again() -> None:
            view.lag /= times

        return again

    def _list_frozen(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for number in self._numbers(entry, draw):
            self.run.lists.freeze(number)
            self.loop.call_in(entry.last, lambda n=number: self.run.lists.thaw(n))  # type: ignore[misc]

    # --- clients ---

    def _burst(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self.run.factor *= entry.times

        def over() -> None:
            self.run.factor /= entry.times

        self.loop.call_in(entry.last, over)

    def _impatience(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self.run.hurry = entry.times

        def calm() -> None:
            self.run.hurry = 1.0

        self.loop.call_in(entry.last, calm)

    def _retry_storm(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self.run.storm = True

        def calm() -> None:
            self.run.storm = False

        self.loop.call_in(entry.last, calm)

    def _heavy_tail(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, heavy = self._class(entry), self.run.heavy
        heavy[kind] = (entry.share, entry.times)

        def over() -> None:
            heavy.pop(kind, None)

        self.loop.call_in(entry.last, over)

    def _poison(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, poison = self._class(entry), self.run.poison
        poison[kind] = entry.share

        def over() -> None:
            poison.pop(kind, None)

        self.loop.call_in(entry.last, over)
