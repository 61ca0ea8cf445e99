"""Sends calls: on an idle connection of the pool, or on a newly dialled one."""

from quincepath.lab.emulator.server import State
from quincepath.lab.emulator.world.entities import Broker, Call, Connection, Pool
from quincepath.lab.emulator.world.holders import Holders
from quincepath.orders import StartCall
from quincepath.upstream.outcomes import CallEnd, transport_outcome


class Sending(Holders):
    """From a broker's order to the arrival at the holder."""

    def _start_call(self, broker: Broker, order: StartCall) -> None:
        pool = broker.pools.setdefault(order.node, Pool())
        limits = self.script.limits
        server = self.fleet.servers[self.fleet.names[order.node]]
        oldest_idle = self.now - limits.idle_close
        idle = None
        while pool.idle and idle is None:
            idle = pool.idle.pop()
            if idle.closed or idle.idle_since < oldest_idle:
                self._close_connection(broker, idle)
                idle = None
        connection = idle or Connection(order.node, server, server.incarnation)
        pending = {(a.part, a.attempt) for a in order.attempts}
        call = Call(order.node, order.attempts, pending, connection)
        for key in pending:
            broker.calls[key] = call
        if idle is None and pool.open >= limits.connections_per_holder:
            connection.closed = True
            self._end_call(broker, call, transport_outcome(CallEnd.NO_FREE_CONNECTION).result)
            return
        generation = broker.generation
        for deadline in sorted({a.deadline for a in order.attempts}):
            self.call_at(
                deadline,
                lambda: self._run_timer(broker, generation, lambda: self._expire_attempts(broker, call)),
            )
        if idle is None:
            pool.open += 1
            self._dial(broker, call)
        else:
            self._send(broker, call)

    def _dial(self, broker: Broker, call: Call) -> None:
        call.dialling = True
        generation, server = broker.generation, call.connection.server

        def on_dial_timeout() -> None:
            if call.dialling and call.pending:
                self._fail_call(broker, call, transport_outcome(CallEnd.DIAL_TIMEOUT).result)

        def on_refused() -> None:
            if call.dialling and call.pending:
                self._fail_call(broker, call, transport_outcome(CallEnd.REFUSED).result)

        def on_connected() -> None:
            if call.dialling and call.pending:
                call.dialling = False
                self._send(broker, call)

        def on_connect_request() -> None:
            if server.state is State.SILENT:
                return
            back = self._delay_to(broker, server)
            if server.state is not State.UP or server.connections >= server.config.max_connections:
                self._send_back(broker, server, generation, back, on_refused)
                return
            server.connections += 1
            call.connection.counted = True
            call.connection.incarnation = server.incarnation
            self._send_back(broker, server, generation, back + server.faults.handshake, on_connected)

        self.call_after(
            self.script.limits.connect_timeout, lambda: self._run_timer(broker, generation, on_dial_timeout)
        )
        self.call_after(self._delay_to(broker, server), on_connect_request)

    def _send(self, broker: Broker, call: Call) -> None:
        server, generation = call.connection.server, broker.generation
        self.call_after(
            self._delay_to(broker, server), lambda: self._receive_request(broker, generation, call)
        )
