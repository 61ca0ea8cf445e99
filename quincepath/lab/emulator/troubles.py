"""Applies each kind of trouble to an emulation and ends it, drawing from the script's seed."""

from collections.abc import Callable, Iterable

from quincepath.interface import Phase
from quincepath.lab.emulator.script import TroubleEntry
from quincepath.lab.emulator.world import Broker, Emulation
from quincepath.standins.model import Server, ServerFaults, State
from quincepath.standins.random_streams import RandomStream

AGEING_STEPS = 10
DEPLOY_DRAIN_NS = 500_000_000  # a deployed holder drains this long before its process ends


class TroubleInjector:
    """Injects a script's troubles into an emulation."""

    def __init__(self, world: Emulation) -> None:
        self.world = world
        for index, entry in enumerate(world.script.troubles):
            draw = world.source(f"trouble {index}")
            world.call_at(world.begin + entry.at, self._begin(entry, draw))

    def _begin(self, entry: TroubleEntry, draw: RandomStream) -> Callable[[], None]:
        def start() -> None:
            self.world.mark(f"begins: {entry.kind}")
            act: Callable[[TroubleEntry, RandomStream], None] = getattr(self, f"_{entry.kind}")
            act(entry, draw)
            self.world.call_after(entry.last, lambda: self.world.mark(f"ends: {entry.kind}"))

        return start

    # --- helpers ---

    def _pick_servers(self, entry: TroubleEntry, draw: RandomStream) -> list[Server]:
        fleet = self.world.fleet
        return [fleet.servers[name] for name in draw.pick(list(fleet.servers), entry.holders)]

    def _pick_brokers(self, entry: TroubleEntry, draw: RandomStream) -> list[Broker]:
        names = [f"broker{broker.number}" for broker in self.world.brokers]
        return [self.world.brokers[int(name[6:])] for name in draw.pick(names, entry.brokers)]

    def _apply_for(
        self,
        servers: Iterable[Server],
        duration: int,
        begin: Callable[[ServerFaults], None],
        end: Callable[[ServerFaults], None],
    ) -> None:
        """Change servers now and undo it later, except on servers restarted meanwhile."""
        for server in servers:
            server.advance(self.world.now)
            begin(server.faults)
            self.world._schedule_check(server)
            self.world.call_after(duration, self._undo_later(server, server.incarnation, end))

    def _undo_later(
        self, server: Server, incarnation: int, end: Callable[[ServerFaults], None]
    ) -> Callable[[], None]:
        def undo() -> None:
            if server.incarnation == incarnation:
                self.world._advance(server)
                end(server.faults)
                self.world._schedule_check(server)

        return undo

    def _class_index(self, entry: TroubleEntry) -> int:
        return next(k for k, known in enumerate(self.world.script.classes) if known.name == entry.of_class)

    # --- holders ---

    def _hang(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(faults: ServerFaults) -> None:
            faults.hang = True

        def end(faults: ServerFaults) -> None:
            faults.hang = False

        self._apply_for(self._pick_servers(entry, draw), entry.last, begin, end)

    def _slow(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(faults: ServerFaults) -> None:
            faults.slow *= entry.times

        def end(faults: ServerFaults) -> None:
            faults.slow /= entry.times

        self._apply_for(self._pick_servers(entry, draw), entry.last, begin, end)

    def _slowdown(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Slow down all holders at once, as a slow shared dependency does."""
        self._slow(entry.model_copy(update={"holders": list(self.world.fleet.servers)}), draw)

    def _lost_answers(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(faults: ServerFaults) -> None:
            faults.lose = entry.share

        def end(faults: ServerFaults) -> None:
            faults.lose = 0.0

        self._apply_for(self._pick_servers(entry, draw), entry.last, begin, end)

    def _errors(self, entry: TroubleEntry, draw: RandomStream, kinds: frozenset[int] | None = None) -> None:
        def begin(faults: ServerFaults) -> None:
            faults.errors, faults.error_kinds = entry.share, kinds

        def end(faults: ServerFaults) -> None:
            faults.errors, faults.error_kinds = 0.0, None

        self._apply_for(self._pick_servers(entry, draw), entry.last, begin, end)

    def _class_errors(self, entry: TroubleEntry, draw: RandomStream) -> None:
        self._errors(entry, draw, frozenset((self._class_index(entry),)))

    def _slow_handshakes(self, entry: TroubleEntry, draw: RandomStream) -> None:
        def begin(faults: ServerFaults) -> None:
            faults.handshake = entry.pause

        def end(faults: ServerFaults) -> None:
            faults.handshake = 0

        self._apply_for(self._pick_servers(entry, draw), entry.last, begin, end)

    def _pauses(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Pause each server for ``pause`` about every ``every``, at its own times."""

        def begin(faults: ServerFaults) -> None:
            faults.paused = True

        def end(faults: ServerFaults) -> None:
            faults.paused = False

        until = self.world.now + entry.last
        for server in self._pick_servers(entry, draw):
            at = self.world.now + int(draw() * entry.every)
            while at < until:
                self.world.call_at(at, lambda s=server: self._apply_for([s], entry.pause, begin, end))  # type: ignore[misc]
                at += int(entry.every * draw.between(0.8, 1.2))

    def _preemption(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Another program takes ``share`` of the machine intermittently."""

        def begin(faults: ServerFaults) -> None:
            faults.steal = min(entry.share, 0.95)

        def end(faults: ServerFaults) -> None:
            faults.steal = 0.0

        until = self.world.now + entry.last
        for server in self._pick_servers(entry, draw):
            at = self.world.now + int(draw() * entry.every / 2)
            while at < until:
                duration = int(entry.every / 2)
                self.world.call_at(at, lambda s=server, la=duration: self._apply_for([s], la, begin, end))  # type: ignore[misc]
                at += int(entry.every * draw.between(0.8, 1.2))

    def _ageing(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Slow down stepwise up to ``times``; then the process dies and restarts cold."""

        def no_change(faults: ServerFaults) -> None:
            pass

        def slower(faults: ServerFaults) -> None:
            faults.slow *= entry.times ** (1 / AGEING_STEPS)

        for server in self._pick_servers(entry, draw):
            for step in range(AGEING_STEPS):
                at = self.world.now + entry.last * step // AGEING_STEPS
                self.world.call_at(at, lambda s=server: self._apply_for([s], 0, slower, no_change))  # type: ignore[misc]
            self.world.call_after(entry.last, lambda s=server: self.world.kill(s))  # type: ignore[misc]
            self.world.call_after(entry.last + entry.every, lambda s=server: self.world.restart(s))  # type: ignore[misc]

    def _kill(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for server in self._pick_servers(entry, draw):
            self._stop_for(server, entry.last, silent=False)

    _restart = _kill

    def _silence(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for server in self._pick_servers(entry, draw):
            self._stop_for(server, entry.last, silent=True)

    def _stop_for(self, server: Server, duration: int, silent: bool) -> None:
        if server.state is State.UP:
            self.world.kill(server, silent)
            self.world.call_after(duration, lambda: self.world.restart(server))

    def _flapping(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Down for a third of each ``every``, then up again, cold."""
        until = self.world.now + entry.last
        for server in self._pick_servers(entry, draw):
            at = self.world.now + int(draw() * entry.every / 2)
            while at < until:
                duration = entry.every // 3
                self.world.call_at(at, lambda s=server, la=duration: self._stop_for(s, la, silent=False))  # type: ignore[misc]
                at += entry.every

    def _zone_loss(self, entry: TroubleEntry, draw: RandomStream) -> None:
        fleet = self.world.fleet
        zone = self.world.zones[entry.zone or ""]
        for name, server in fleet.servers.items():
            if fleet.zones[name] == zone:
                self._stop_for(server, entry.last, silent=True)
        if entry.share >= 1:  # its brokers fail as well
            for broker in self.world.brokers:
                if broker.zone == zone:
                    self.world.halt(broker, entry.last, kill=True)

    def _drain(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for server in self._pick_servers(entry, draw):
            self.world.publish(server.name, Phase.DRAINING)
            self.world.call_after(entry.last, self._end_drain(server))

    def _end_drain(self, server: Server) -> Callable[[], None]:
        def restore() -> None:
            if server.state is State.UP:
                self.world.publish(server.name, Phase.READY)

        return restore

    def _deploy(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Restart in waves, replica by replica, ``every`` apart: drain, stop, start cold."""
        chosen = self._pick_servers(entry, draw)
        for wave in range(self.world.script.fleet.replicas):
            for server in chosen:
                if server.name.endswith(f"r{wave}"):
                    self.world.call_after(wave * entry.every, self._drain_and_restart(server, entry))

    def _drain_and_restart(self, server: Server, entry: TroubleEntry) -> Callable[[], None]:
        def start() -> None:
            if server.state is State.UP:
                self.world.publish(server.name, Phase.DRAINING)
                slowest = self.world.script.discovery.lag[1]
                self.world.call_after(
                    slowest + DEPLOY_DRAIN_NS, lambda: self._stop_for(server, entry.pause, silent=False)
                )

        return start

    def _one_sided(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Lose what these holders send to these brokers; what the brokers send arrives."""
        brokers = self._pick_brokers(entry, draw)
        pairs = {(b.number, s.name) for s in self._pick_servers(entry, draw) for b in brokers}
        self.world.blocked_links |= pairs

        def restore_links() -> None:
            self.world.blocked_links -= pairs

        self.world.call_after(entry.last, restore_links)

    # --- brokers and membership ---

    def _broker_stall(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._pick_brokers(entry, draw):
            self.world.halt(broker, entry.last, kill=False)

    def _broker_crash(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._pick_brokers(entry, draw):
            self.world.halt(broker, entry.last, kill=True)

    def _list_late(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._pick_brokers(entry, draw):
            broker.lag_factor *= entry.times
            self.world.call_after(entry.last, self._restore_lag(broker, entry.times))

    @staticmethod
    def _restore_lag(broker: Broker, times: float) -> Callable[[], None]:
        def restore() -> None:
            broker.lag_factor /= times

        return restore

    def _list_frozen(self, entry: TroubleEntry, draw: RandomStream) -> None:
        for broker in self._pick_brokers(entry, draw):
            broker.updates_frozen = True
            self.world.call_after(entry.last, lambda b=broker: self.world.unfreeze(b))  # type: ignore[misc]

    # --- clients ---

    def _burst(self, entry: TroubleEntry, draw: RandomStream) -> None:
        world = self.world
        world.rate_factor *= entry.times

        def end() -> None:
            world.rate_factor /= entry.times

        world.call_after(entry.last, end)

    def _heavy_tail(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, world = self._class_index(entry), self.world
        world.heavy_factors[kind] = (entry.share, entry.times)

        def end() -> None:
            world.heavy_factors.pop(kind, None)

        world.call_after(entry.last, end)

    def _poison(self, entry: TroubleEntry, draw: RandomStream) -> None:
        kind, world = self._class_index(entry), self.world
        world.poison_shares[kind] = entry.share

        def end() -> None:
            world.poison_shares.pop(kind, None)

        world.call_after(entry.last, end)

    def _impatience(self, entry: TroubleEntry, draw: RandomStream) -> None:
        world = self.world
        world.patience_factor = 1 / entry.times

        def end() -> None:
            world.patience_factor = 1.0

        world.call_after(entry.last, end)

    def _retry_storm(self, entry: TroubleEntry, draw: RandomStream) -> None:
        """Clients retry at once, whatever Retry-After says."""
        world = self.world
        world.immediate_retries = True

        def end() -> None:
            world.immediate_retries = False

        world.call_after(entry.last, end)
