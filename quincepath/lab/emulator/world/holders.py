"""The holder's end of a call, and the lives of holders: what arrives, what is answered, who falls."""

from collections.abc import Callable

from quincepath.interface import Phase, Result
from quincepath.lab.emulator.server import Job, Server, State
from quincepath.lab.emulator.world.actors import Broker, Call
from quincepath.lab.emulator.world.calls import Calls
from quincepath.lab.emulator.world.day import SECOND
from quincepath.lab.emulator.world.news import News
from quincepath.standins.record import Got, Said, Up

RESTART_AFTER = 3 * SECOND  # a holder that a poisoned query took down is back then


class Holders(Calls, News):
    """Servers at work. What a holder says reaches a broker by ``_back``."""

    def _arrive(self, broker: Broker, life: int, call: Call) -> None:
        """The request is at the holder, whatever its broker has thought of since."""
        server = call.connection.server
        if server.state is State.SILENT:
            return
        back = self._way_to(broker, server)
        if server.state is not State.UP or server.incarnation != call.connection.incarnation:
            self._back(broker, server, life, back, lambda: self._reply(broker, call, Result.RESET))
            return
        self._wake(server)
        if server.state is not State.UP:
            self._back(broker, server, life, back, lambda: self._reply(broker, call, Result.RESET))
            return
        works = [order.payload[0] for order in call.orders]
        for order, work in zip(call.orders, works, strict=True):
            self.sink(
                Got(
                    self.now, server.name, order.query_name, order.shard, order.step, order.attempt,
                    int(work), broker.number,
                )
            )  # fmt: skip
        kinds = frozenset(order.payload[2] for order in call.orders)
        poison = any(order.payload[1] for order in call.orders)
        expires = max(order.deadline for order in call.orders)
        job = Job(sum(works), expires, kinds, (broker, life, call), poison)
        call.job = job
        said = server.offer(self.now, job)
        if said == "fell":
            self.tally.fell.append(server.name)
            self.mark(f"{server.name} fell over")
            self._crash(server, State.FALLEN)
        elif said in ("error", "full"):
            self._said(server, call, 500 if said == "error" else 429, False)
            result = Result.ERROR if said == "error" else Result.FULL
            self._back(broker, server, life, back, lambda: self._reply(broker, call, result))
        else:
            self._schedule(server)

    def _said(self, server: Server, call: Call, status: int, good: bool) -> None:
        for o in call.orders:
            self.sink(Said(self.now, server.name, o.query_name, o.shard, o.step, o.attempt, status, good))

    def _schedule(self, server: Server) -> None:
        """Look at the server again when something is due there; at most one look is pending."""
        if server.poisoned():
            self.mark(f"{server.name} taken down by a poisoned query")
            self._crash(server, State.DOWN)
            self.after(RESTART_AFTER, lambda: self.restart(server))
            return
        due = server.next_completion()
        if due is None or self._wakes.get(server.name, 1 << 62) <= due:
            return
        self._wakes[server.name] = due

        def look() -> None:
            if self._wakes.get(server.name) == due:
                del self._wakes[server.name]
                self._wake(server)

        self.at(due, look)

    def _wake(self, server: Server) -> None:
        """Carry the server on to now; what ended is answered."""
        for _, job in server.advance(self.now):
            broker, life, call = job.tag
            if job.cancelled:
                continue
            self._said(server, call, 200, True)
            if server.faults.lose and server.draw() < server.faults.lose:
                continue
            self._back(broker, server, life, self._way_to(broker, server), self._ok(broker, call))
        if server.state is State.UP:
            self._schedule(server)

    def _ok(self, broker: Broker, call: Call) -> Callable[[], None]:
        return lambda: self._reply(broker, call, Result.OK)

    def _crash(self, server: Server, state: State) -> None:
        """A process ends: what it held is lost; unless its machine is gone, its peers are told by resets."""
        for job in server.stop(self.now, state):
            broker, life, call = job.tag
            if state is not State.SILENT:
                self._back(broker, server, life, self._way_to(broker, server), self._lost(broker, call))
        server.incarnation += 1
        server.connections = 0
        self._wakes.pop(server.name, None)
        for broker in self.brokers:
            pool = broker.pools.get(self.fleet.nodes[server.name])
            if pool is not None and state is not State.SILENT:
                for connection in pool.idle:
                    self._close(broker, connection)
                pool.idle.clear()
        self._down.add(server.name)
        self.tally.down_most = max(self.tally.down_most, len(self._down))
        self.publish(server.name, Phase.GONE)

    def _lost(self, broker: Broker, call: Call) -> Callable[[], None]:
        return lambda: self._reply(broker, call, Result.RESET)

    def kill(self, server: Server, silent: bool = False) -> None:
        """End a server's process, or its machine."""
        if server.state is State.UP:
            server.advance(self.now)
            self._crash(server, State.SILENT if silent else State.DOWN)

    def restart(self, server: Server) -> None:
        """Start it anew, cold; a fallen one stays down."""
        if server.state in (State.UP, State.FALLEN):
            return
        server.restart(self.now)
        self._down.discard(server.name)
        kind = server.config
        self.sink(Up(self.now, server.name, kind.cold, kind.ramp, kind.cores * kind.speed * 1e9))
        self.publish(server.name, Phase.READY, self.now)
