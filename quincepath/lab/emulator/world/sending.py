"""How a call leaves: on an idle connection of the pool, or on one that is dialled for it."""

from quincepath.lab.emulator.server import State
from quincepath.lab.emulator.world.actors import Broker, Call, Connection, Pool
from quincepath.lab.emulator.world.holders import Holders
from quincepath.orders import StartCall
from quincepath.upstream.outcomes import CallEnd, transport_outcome


class Sending(Holders):
    """From the order of a broker to the holder's door."""

    def _start_call(self, broker: Broker, order: StartCall) -> None:
        pool = broker.pools.setdefault(order.node, Pool())
        limits = self.script.limits
        server = self.fleet.servers[self.fleet.names[order.node]]
        oldest = self.now - limits.idle_close
        idle = None
        while pool.idle and idle is None:
            idle = pool.idle.pop()
            if idle.closed or idle.idle_since < oldest:
                self._close(broker, idle)
                idle = None
        connection = idle or Connection(order.node, server, server.incarnation)
        waiting = {(a.part, a.attempt) for a in order.attempts}
        call = Call(order.node, order.attempts, waiting, connection)
        for key in waiting:
            broker.calls[key] = call
        if idle is None and pool.open >= limits.connections_per_holder:
            connection.closed = True
            self._end_call(broker, call, transport_outcome(CallEnd.NO_FREE_CONNECTION).result)
            return
        life = broker.life
        for deadline in sorted({a.deadline for a in order.attempts}):
            self.at(deadline, lambda: self._timer(broker, life, lambda: self._expire(broker, call)))
        if idle is None:
            pool.open += 1
            self._dial(broker, call)
        else:
            self._send(broker, call)

    def _dial(self, broker: Broker, call: Call) -> None:
        call.dialling = True
        life, server = broker.life, call.connection.server

        def late() -> None:
            if call.dialling and call.waiting:
                self._drop(broker, call, transport_outcome(CallEnd.DIAL_TIMEOUT).result)

        def refused() -> None:
            if call.dialling and call.waiting:
                self._drop(broker, call, transport_outcome(CallEnd.REFUSED).result)

        def connected() -> None:
            if call.dialling and call.waiting:
                call.dialling = False
                self._send(broker, call)

        def syn() -> None:
            if server.state is State.SILENT:
                return
            back = self._way_to(broker, server)
            if server.state is not State.UP or server.connections >= server.config.max_connections:
                self._back(broker, server, life, back, refused)
                return
            server.connections += 1
            call.connection.counted = True
            call.connection.incarnation = server.incarnation
            self._back(broker, server, life, back + server.faults.handshake, connected)

        self.after(self.script.limits.connect_timeout, lambda: self._timer(broker, life, late))
        self.after(self._way_to(broker, server), syn)

    def _send(self, broker: Broker, call: Call) -> None:
        server, life = call.connection.server, broker.life
        self.after(self._way_to(broker, server), lambda: self._arrive(broker, life, call))
