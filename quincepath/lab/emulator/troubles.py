"""What each kind of trouble does to an emulation, and how it ends; all by the script's seed."""

from collections.abc import Callable, Iterable

from quincepath.interface import Phase
from quincepath.lab.emulator.script import TroubleEntry
from quincepath.lab.emulator.world import Broker, Emulation
from quincepath.standins.model import Server, ServerFaults, State
from quincepath.standins.random_streams import RandomStream

AGEING_STEPS = 10
DEPLOY_PAUSE = 500_000_000  # ns that a deployed holder drains before its process ends


class Director:
    """Puts a script's troubles into an emulation."""

    def __init__(self, world: Emulation) -> None:
        self.world = world
        for place, entry in enumerate(world.script.troubles):
            draw = world.source(f"trouble {place}")
            world.at(world.begin + entry.at, self._begin(entry, draw))

    def _begin(self, entry: TroubleEntry, draw: RandomStream) -> Callable[[], None]:
        def go() -> None:
            self.world.mark(f"begins: {entry.kind}")
            act: Callable[[TroubleEntry, RandomStream], None] = getattr(self, f"_{entry.kind}")
            act(entry, draw)
            self.world.after(entry.last, lambda: self.world.mark(f"ends: {entry.kind}"))

        return go

    # --- helpers ---

    def _servers(self, entry: TroubleEntry, draw: RandomStream) -> list[Server]:
        fleet = self.world.fleet
        return [fleet.servers[name] for name in draw.pick(list(fleet.servers), entry.holders)]

    def _brokers(self, entry: TroubleEntry, draw: RandomStream) -> list[Broker]:
        names = [f"broker{broker.number}" for broker in self.world.brokers]
        return [self.world.brokers[int(name[6:])] for name in draw.pick(names, entry.brokers)]

    def _for_a_while(
        self,
        servers: Iterable[Server],
        last: int,
        begin: Callable[[ServerFaults], None],
        end: Callable[[ServerFaults], None],
    ) -> None:
        """Change servers now and back later; a server that was restarted meanwhile is left alone."""
        for server in servers:
            server.advance(self.world.now)
            begin(server.faults)
            self.world._schedule(server)
            self.world.after(last, self._undo(server, server.incarnation, end))

    def _undo(
        self, server: Server, incarnation: int, end: Callable[[ServerFaults], None]
    ) -> Callable[[], None]:
        def undo() -> None:
            if server.incarnation == incarnation:
                self.world._wake(server)
                end(server.faults)
                self.world._schedule(server)

        return undo

    def _class(self, entry: TroubleEntry) -> int:
        return next(k for k, known in enumerate(self.world.script.classes) if known.name == entry.of_class)

    # --- holders ---

    def _hang(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(troubles: ServerFaults) -> None:
            troubles.hang = True

        def end(troubles: ServerFaults) -> None:
            troubles.hang = False

        self._for_a_while(self._servers(entry, draw), entry.last, begin, end)

    def _slow(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(troubles: ServerFaults) -> None:
            troubles.slow *= entry.times

        def end(troubles: ServerFaults) -> None:
            troubles.slow /= entry.times

        self._for_a_while(self._servers(entry, draw), entry.last, begin, end)

    def _slowdown(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """All holders at once: something that they share is slow."""
        self._slow(entry.model_copy(update={"holders": list(self.world.fleet.servers)}), draw)

    def _lost_answers(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(troubles: ServerFaults) -> None:
            troubles.lose = entry.share

        def end(troubles: ServerFaults) -> None:
            troubles.lose = 0.0

        self._for_a_while(self._servers(entry, draw), entry.last, begin, end)

    def _errors(self, entry: TroubleEntry, draw: RandomStream, kinds: frozenset[int] | None = None) -> None:
        def begin(troubles: ServerFaults) -> None:
            troubles.errors, troubles.error_kinds = entry.share, kinds

        def end(troubles: ServerFaults) -> None:
            troubles.errors, troubles.error_kinds = 0.0, None

        self._for_a_while(self._servers(entry, draw), entry.last, begin, end)

    def _class_errors(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._errors(entry, draw, frozenset((self._class(entry),)))

    def _slow_handshakes(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(troubles: ServerFaults) -> None:
            troubles.handshake = entry.pause

        def end(troubles: ServerFaults) -> None:
            troubles.handshake = 0

        self._for_a_while(self._servers(entry, draw), entry.last, begin, end)

    def _pauses(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Each stands still for ``pause`` every ``every``, at times of its own."""

        def begin(troubles: ServerFaults) -> None:
            troubles.paused = True

        def end(troubles: ServerFaults) -> None:
            troubles.paused = False

        until = self.world.now + entry.last
        for server in self._servers(entry, draw):
            at = self.world.now + int(draw() * entry.every)
            while at < until:
                self.world.at(at, lambda s=server: self._for_a_while([s], entry.pause, begin, end))  # type: ignore[misc]
                at += int(entry.every * draw.between(0.8, 1.2))

    def _preemption(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Another program takes ``share`` of the machine, on and off."""

        def begin(troubles: ServerFaults) -> None:
            troubles.steal = min(entry.share, 0.95)

        def end(troubles: ServerFaults) -> None:
            troubles.steal = 0.0

        until = self.world.now + entry.last
        for server in self._servers(entry, draw):
            at = self.world.now + int(draw() * entry.every / 2)
            while at < until:
                last = int(entry.every / 2)
                self.world.at(at, lambda s=server, la=last: self._for_a_while([s], la, begin, end))  # type: ignore[misc]
                at += int(entry.every * draw.between(0.8, 1.2))

    def _ageing(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Slower step by step, up to ``times``, then its process dies and comes back cold."""

        def nothing(troubles: ServerFaults) -> None:
            pass

        def slower(troubles: ServerFaults) -> None:
            troubles.slow *= entry.times ** (1 / AGEING_STEPS)

        for server in self._servers(entry, draw):
            for step in range(AGEING_STEPS):
                at = self.world.now + entry.last * step // AGEING_STEPS
                self.world.at(at, lambda s=server: self._for_a_while([s], 0, slower, nothing))  # type: ignore[misc]
            self.world.after(entry.last, lambda s=server: self.world.kill(s))  # type: ignore[misc]
            self.world.after(entry.last + entry.every, lambda s=server: self.world.restart(s))  # type: ignore[misc]

    def _kill(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for server in self._servers(entry, draw):
            self._down(server, entry.last, silent=False)

    _restart = _kill

    def _silence(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for server in self._servers(entry, draw):
            self._down(server, entry.last, silent=True)

    def _down(self, server: Server, last: int, silent: bool) -> None:
        if server.state is State.UP:
            self.world.kill(server, silent)
            self.world.after(last, lambda: self.world.restart(server))

    def _flapping(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Up and down: dead for a third of ``every``, back cold, dead again."""
        until = self.world.now + entry.last
        for server in self._servers(entry, draw):
            at = self.world.now + int(draw() * entry.every / 2)
            while at < until:
                last = entry.every // 3
                self.world.at(at, lambda s=server, la=last: self._down(s, la, silent=False))  # type: ignore[misc]
                at += entry.every

    def _zone_loss(self, entry: TroubleEntry, draw: RandomStream) -> None:
        fleet = self.world.fleet
        zone = self.world.zones[entry.zone or ""]
        for name, server in fleet.servers.items():
            if fleet.zones[name] == zone:
                self._down(server, entry.last, silent=True)
        if entry.share >= 1:  # with its brokers
            for broker in self.world.brokers:
                if broker.zone == zone:
                    self.world.halt(broker, entry.last, kill=True)

    def _drain(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for server in self._servers(entry, draw):
            self.world.publish(server.name, Phase.DRAINING)
            self.world.after(entry.last, self._serve_again(server))

    def _serve_again(self, server: Server) -> Callable[[], None]:
        def again() -> None:
            if server.state is State.UP:
                self.world.publish(server.name, Phase.READY)

        return again

    def _deploy(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """In waves, replica by replica, ``every`` apart: drained, ended, back cold."""
        chosen = self._servers(entry, draw)
        for wave in range(self.world.script.fleet.replicas):
            for server in chosen:
                if server.name.endswith(f"r{wave}"):
                    self.world.after(wave * entry.every, self._wave(server, entry))

    def _wave(self, server: Server, entry: TroubleEntry) -> Callable[[], None]:
        def go() -> None:
            if server.state is State.UP:
                self.world.publish(server.name, Phase.DRAINING)
                slowest = self.world.script.discovery.lag[1]
                self.world.after(
                    slowest + DEPLOY_PAUSE, lambda: self._down(server, entry.pause, silent=False)
                )

        return go

    def _one_sided(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """What these holders send to these brokers is lost; what the brokers send arrives."""
        brokers = self._brokers(entry, draw)
        pairs = {(b.number, s.name) for s in self._servers(entry, draw) for b in brokers}
        self.world.cut |= pairs

        def mend() -> None:
            self.world.cut -= pairs

        self.world.after(entry.last, mend)

    # --- brokers and the list ---

    def _broker_stall(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._brokers(entry, draw):
            self.world.halt(broker, entry.last, kill=False)

    def _broker_crash(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._brokers(entry, draw):
            self.world.halt(broker, entry.last, kill=True)

    def _list_late(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._brokers(entry, draw):
            broker.lag *= entry.times
            self.world.after(entry.last, self._in_time(broker, entry.times))

    @staticmethod
    def _in_time(broker: Broker, times: float) -> Callable[[], None]:
        def again() -> None:
            broker.lag /= times

        return again

    def _list_frozen(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._brokers(entry, draw):
            broker.frozen = True
            self.world.after(entry.last, lambda b=broker: self.world.thaw(b))  # type: ignore[misc]

    # --- clients ---

    def _burst(self, entry: TroubleEntry, draw: RandomStream) -> None:
        world = self.world
        world.rate_factor *= entry.times

        def over() -> None:
            world.rate_factor /= entry.times

        world.after(entry.last, over)

    def _heavy_tail(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, world = self._class(entry), self.world
        world.heavy[kind] = (entry.share, entry.times)

        def over() -> None:
            world.heavy.pop(kind, None)

        world.after(entry.last, over)

    def _poison(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, world = self._class(entry), self.world
        world.poison[kind] = entry.share

        def over() -> None:
            world.poison.pop(kind, None)

        world.after(entry.last, over)

    def _impatience(self, entry: TroubleEntry, draw: RandomStream) -> None:
        world = self.world
        world.patience_factor = 1 / entry.times

        def calm() -> None:
            world.patience_factor = 1.0

        world.after(entry.last, calm)

    def _retry_storm(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Clients come back at once, whatever they are told."""
        world = self.world
        world.impatient_retries = True

        def calm() -> None:
            world.impatient_retries = False

        world.after(entry.last, calm)
