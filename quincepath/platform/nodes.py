"""All connections to nodes: picks the connection for each call and reports how each attempt ended, once."""

from collections import Counter
from collections.abc import Callable

from quincepath.interface import NodeId, Result
from quincepath.net.loop import Loop
from quincepath.orders import AttemptEnded, LateReply, ReplyHeld, StartCall
from quincepath.platform.connection import Connection
from quincepath.platform.connection_state import ConnectionTimeouts
from quincepath.platform.frames import FrameError, Reply, read_report
from quincepath.platform.outgoing import Key, OutgoingAttempt, OutgoingFrame
from quincepath.platform.reply_evidence import ReplyEvidence
from quincepath.upstream.outcomes import CallEnd, CallOutcome, transport_outcome

MS = 1_000_000
SWEEP_INTERVAL_NS = 100 * MS
REPLY_OUTCOMES = {
    b"good": CallOutcome(Result.OK, ""),
    b"bad": CallOutcome(Result.ERROR, "the node said bad"),
    b"later": CallOutcome(Result.FULL, "the node turned it away"),
}


class NodePool:
    """All connections. ``on_ended`` is called once for each attempt started.

    ``on_report`` is called with replies that are being checked or that come after their attempt's time-out.
    ``address_of(node)`` gives the address, None where the node is on no list any more; ``streams`` is the
    number of parts that a connection carries at once, ``max_per_node`` the most connections to one node and
    ``max_open`` to all nodes together.
    """

    def __init__(
        self,
        loop: Loop,
        streams: int,
        timeouts: ConnectionTimeouts,
        max_per_node: int,
        max_open: int,
        address_of: Callable[[NodeId], tuple[str, int] | None],
        on_ended: Callable[[AttemptEnded], None],
        report_fields: tuple[str, ...] = (),
        on_event: Callable[[str, NodeId, str], None] = lambda what, node, why: None,
        on_report: Callable[[ReplyHeld | LateReply], None] = lambda report: None,
    ) -> None:
        self.loop, self.streams, self.timeouts, self.max_per_node = loop, streams, timeouts, max_per_node
        self.max_open, self._on_report = max_open, on_report
        self._address_of, self._on_ended, self._fields, self.on_event = (
            address_of, on_ended, report_fields, on_event
        )  # fmt: skip
        self.connections: dict[NodeId, list[Connection]] = {}
        self.closing: set[Connection] = set()  # accept no more work, their last bytes are in transit
        self.in_flight: dict[Key, OutgoingAttempt] = {}
        self.counts: Counter[str] = Counter()
        self.reply_evidence = ReplyEvidence()
        self._sweep()

    def start(self, order: StartCall) -> None:
        """Send the attempts of one call on a connection with free capacity, or on a new one."""
        started = []
        for attempt in order.attempts:
            key = (attempt.part, attempt.attempt)
            id = f"{attempt.query_name}.{attempt.shard}".encode()
            outgoing = OutgoingAttempt(key, attempt, id, attempt.send_start_by)
            self.in_flight[key] = outgoing
            started.append(outgoing)
        address = self._address_of(order.node)
        if address is None:
            self._end_each(started, transport_outcome(CallEnd.UNLISTED))
            return
        connection = self._connection(order.node, address, started)
        if connection is None:
            self._end_each(started, transport_outcome(CallEnd.NO_FREE_CONNECTION))
            return
        for outgoing in started:
            outgoing.carrier = connection
            self._set_timer(outgoing)
        connection.send(OutgoingFrame(started))

    def _connection(
        self, node: NodeId, address: tuple[str, int], attempts: list[OutgoingAttempt]
    ) -> Connection | None:
        now = self.loop.clock()  # a turn may be long, and the idle limit of a connection is exact
        held = self.connections.setdefault(node, [])
        for connection in held:
            state = connection.state
            if connection.address != address:
                state.retired = True
            elif (
                connection.dial is not None
                and not state.retired
                and len(state.in_flight) + len(attempts) <= self.streams
            ):
                if all(state.may_carry(now, attempt.id) for attempt in attempts):
                    return connection
            elif state.has_capacity(now, len(attempts)) and all(
                state.may_carry(now, attempt.id) for attempt in attempts
            ):
                return connection
        if len(held) >= self.max_per_node:
            self._close_idle(held)
        if self.open_count() >= self.max_open:
            for closing in list(self.closing):
                closing.close()
        if self.open_count() >= self.max_open:
            for others in list(self.connections.values()):
                self._close_idle(others)
        if len(held) >= self.max_per_node or self.open_count() >= self.max_open:
            return None
        self.counts["opened"] += 1
        connection = Connection(self, node, address)
        self.connections.setdefault(node, []).append(connection)
        return connection

    def _close_idle(self, held: list[Connection]) -> None:
        """Close one connection with no attempt in flight."""
        for connection in held:
            if not connection.state.in_flight and connection.dial is None:
                connection.close()
                return

    def stop(self, part: int, attempt: int) -> None:
        """Stop waiting for one attempt; others of its call go on."""
        outgoing = self.in_flight.get((part, attempt))
        if outgoing is not None:
            if outgoing.carrier is not None:
                outgoing.carrier.cancel(outgoing)
            self.end_attempt(outgoing, transport_outcome(CallEnd.STOPPED))

    def withdraw(self, part: int, attempt: int) -> None:
        """Stop an attempt that is not wholly sent; one that is goes on."""
        outgoing = self.in_flight.get((part, attempt))
        if outgoing is not None and not outgoing.sent:
            self.stop(part, attempt)

    def limit_send_start(self, node: NodeId, at: int) -> None:
        """No attempt queued for a node may start to be sent after ``at``."""
        for connection in self.connections.get(node, ()):
            for outgoing in connection.state.in_flight.values():
                if (
                    isinstance(outgoing, OutgoingAttempt)
                    and not outgoing.sent
                    and at < outgoing.send_start_by
                ):
                    outgoing.send_start_by = at
                    self._set_timer(outgoing)

    def read_arrived(self) -> None:
        """Read replies that have arrived on all connections with attempts, ahead of the loop's next turn."""
        for held in list(self.connections.values()):
            for connection in list(held):
                if connection.state.in_flight:
                    connection.read_arrived()

    def limit_attempt_start(self, part: int, attempt: int, at: int) -> None:
        """This attempt may not start to be sent after ``at``."""
        outgoing = self.in_flight.get((part, attempt))
        if outgoing is not None and not outgoing.sent and at < outgoing.send_start_by:
            outgoing.send_start_by = at
            self._set_timer(outgoing)

    def _set_timer(self, outgoing: OutgoingAttempt) -> None:
        if outgoing.timer is not None:
            outgoing.timer.cancel()
        outgoing.timer = self.loop.call_at(outgoing.expires_at(), lambda: self._on_timer(outgoing))

    def _on_timer(self, outgoing: OutgoingAttempt) -> None:
        """CallEnd an attempt whose time to be sent or answered is over, unless it made progress meanwhile."""
        if outgoing.key not in self.in_flight or outgoing.carrier is None:
            return
        if self.loop.now < outgoing.expires_at():
            self._set_timer(outgoing)
            return
        if outgoing.sent:
            outgoing.carrier.read_arrived()
            if outgoing.key not in self.in_flight:
                self.counts["read_before_timeout"] += 1
                return
        if outgoing.carrier.holds_reply(outgoing):
            return  # it ends when its reply has been checked
        outgoing.timed_out = True
        never_ran = outgoing.carrier.cancel(outgoing)
        self.counts["not_left"] += never_ran
        self.end_attempt(outgoing, transport_outcome(CallEnd.NOT_SENT if never_ran else CallEnd.TIMEOUT))

    def on_reply_held(self, attempt: OutgoingAttempt) -> None:
        """Report, once, that a whole reply to an attempt is being checked."""
        if not attempt.reply_held:
            attempt.reply_held = True
            self._on_report(ReplyHeld(*attempt.key))

    def on_late_reply(self, key: Key, reply: Reply | None) -> None:
        """Report the good reply to an attempt that has timed out; None if it is doubtful."""
        self.counts["late_reply"] += 1
        self._on_report(LateReply(*key, None if reply is None else reply.value))

    def on_reply(self, attempt: OutgoingAttempt, reply: Reply) -> None:
        """Handle the whole reply to an attempt."""
        body = reply.value if reply.status == b"good" else None
        self.end_attempt(attempt, REPLY_OUTCOMES[reply.status], body, read_report(reply.report, self._fields))

    def end_attempt(
        self,
        attempt: OutgoingAttempt,
        outcome: CallOutcome,
        body: str | None = None,
        report: tuple[float, ...] = (),
        *,
        doubtful: bool = False,
    ) -> None:
        """Report the end of an attempt, once; ``doubtful``: a whole reply to it may have been valid."""
        if self.in_flight.pop(attempt.key, None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counts[outcome.result.name.lower()] += 1
        if doubtful:
            self.counts["doubtful"] += 1
        part, number = attempt.key
        self._on_ended(AttemptEnded(part, number, outcome.result, body, outcome.cause, report, doubtful))

    def _end_each(self, attempts: list[OutgoingAttempt], outcome: CallOutcome) -> None:
        for attempt in attempts:
            self.end_attempt(attempt, outcome)

    def detach(self, connection: Connection) -> None:
        """Stop using a connection; its socket may still be closing."""
        self.closing.add(connection)
        held = self.connections.get(connection.node, [])
        if connection in held:
            held.remove(connection)
        if not held:
            self.connections.pop(connection.node, None)

    def on_closed(self, connection: Connection) -> None:
        """A connection's socket is closed."""
        self.closing.discard(connection)

    def close_node(self, node: NodeId) -> None:
        """A node is gone or draining: close its idle connections and retire the others."""
        for connection in list(self.connections.get(node, ())):
            connection.state.retired = True
            if not connection.state.awaits_replies(self.loop.now):
                connection.finish()

    def open_count(self) -> int:
        """The number of open sockets."""
        return len(self.closing) + sum(len(held) for held in self.connections.values())

    def close(self) -> None:
        """Close everything; attempts in flight are not reported."""
        for held in list(self.connections.values()):
            for connection in list(held):
                connection.close()
        for connection in list(self.closing):
            connection.close()

    def _sweep(self) -> None:
        """Fail connections whose reply has stalled; close those that are retired, suspect or long idle."""
        now = self.loop.now
        for held in list(self.connections.values()):
            for connection in list(held):
                state = connection.state
                if state.stalled(now):
                    connection.on_frame_error(FrameError("a reply that began does not go on"))
                elif (
                    connection.dial is None and not state.awaits_replies(now) and not state.has_capacity(now)
                ):
                    connection.finish()  # which still sends queued cancel frames
        self.loop.call_in(SWEEP_INTERVAL_NS, self._sweep)
