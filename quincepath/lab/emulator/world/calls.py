"""Ends calls at the broker: answered, lost, timed out or cancelled; keeps or closes the connection."""

from collections.abc import Callable

from quincepath.interface import Result
from quincepath.lab.emulator.server import Server, State
from quincepath.lab.emulator.world.broker_scheduling import BrokerScheduling
from quincepath.lab.emulator.world.entities import Broker, Call, Connection
from quincepath.orders import AttemptEnded
from quincepath.upstream.outcomes import CallEnd, transport_outcome


class Calls(BrokerScheduling):
    """The broker's side of calls in flight."""

    def _delay_to(self, broker: Broker, server: Server) -> int:
        return self.one_way_delay(broker.zone, self.fleet.zones[server.name])

    def _send_back(
        self, broker: Broker, server: Server, generation: int, wait: int, call: Callable[[], None]
    ) -> None:
        """Send something from a holder to a broker, unless that direction is blocked."""
        if (broker.number, server.name) not in self.blocked_links:
            self.call_after(wait, lambda: self._deliver(broker, generation, call))

    def _receive_reply(self, broker: Broker, call: Call, result: Result) -> None:
        """Handle the holder's reply at the broker."""
        if call.connection.closed:
            return  # the broker has closed it meanwhile
        if result is Result.RESET:
            self._fail_call(broker, call, result)
            return
        call.connection.idle_since = self.now
        broker.pools[call.node].idle.append(call.connection)
        self._end_call(broker, call, result)

    def _end_call(self, broker: Broker, call: Call, result: Result) -> None:
        for order in call.orders:
            key = (order.part, order.attempt)
            if key in call.pending:
                self._end_attempt(broker, call, key, result)

    def _end_attempt(self, broker: Broker, call: Call, key: tuple[int, int], result: Result) -> None:
        call.pending.discard(key)
        broker.calls.pop(key, None)
        broker.dispatcher.enqueue(AttemptEnded(*key, result, True if result is Result.OK else None))
        self._schedule_step(broker)

    def _fail_call(self, broker: Broker, call: Call, result: Result) -> None:
        self._close_connection(broker, call.connection)
        self._end_call(broker, call, result)

    def _close_connection(self, broker: Broker, connection: Connection) -> None:
        if connection.closed:
            return
        connection.closed = True
        broker.pools[connection.node].open -= 1
        server = connection.server
        if connection.counted and server.incarnation == connection.incarnation:
            server.connections -= 1

    def _expire_attempts(self, broker: Broker, call: Call) -> None:
        if not call.pending:
            return
        result = transport_outcome(CallEnd.DIAL_TIMEOUT if call.dialling else CallEnd.TIMEOUT).result
        for order in call.orders:
            key = (order.part, order.attempt)
            if key in call.pending and order.deadline <= self.now:
                self._end_attempt(broker, call, key, result)
        self._cancel_if_unused(broker, call)

    def _stop_attempt(self, broker: Broker, part: int, attempt: int) -> None:
        call = broker.calls.get((part, attempt))
        if call is not None:
            self._end_attempt(broker, call, (part, attempt), Result.CANCELLED)
            self._cancel_if_unused(broker, call)

    def _cancel_if_unused(self, broker: Broker, call: Call) -> None:
        if call.pending:
            return
        self._close_connection(broker, call.connection)
        server = call.connection.server

        def cancel() -> None:
            if call.job is not None and server.state is State.UP:
                server.cancel(self.now, call.job)

        self.call_after(self._delay_to(broker, server), cancel)
