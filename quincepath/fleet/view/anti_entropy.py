"""Anti-entropy: full state exchanges over connections."""

from quincepath.fleet.messages import Body, Envelope, ExchangeRequest, FullState, SameDigest
from quincepath.fleet.view.facts import Phase
from quincepath.fleet.view.ports import CloseConnection, OpenConnection
from quincepath.fleet.view.updates import UpdateHandler


class AntiEntropy(UpdateHandler):
    """Starts full state exchanges with other members and answers theirs."""

    def _start_exchange(self, peer: str) -> None:
        connection = self.exchanges.open(peer, self.now)
        self._out.append(OpenConnection(connection, peer))
        self._send_frame(connection, peer, ExchangeRequest())

    def _on_frame(self, connection: int, envelope: Envelope, body: Body) -> None:
        state = self.exchanges.connections.get(connection)
        if state is None:
            return
        peer = state.peer = envelope.sender
        state.deadline = self.now + self.settings.exchange_time
        match body:
            case ExchangeRequest():
                if envelope.digest == self.table.digest:
                    self._send_frame(connection, peer, SameDigest())
                    self._close_connection(connection)
                else:
                    self._send_frame(connection, peer, self._full_state(True))
            case FullState(beliefs, answer):
                before = self.table.digest
                for state_of_member in beliefs:
                    self._apply_state(state_of_member, peer)
                if answer:
                    self._send_frame(connection, peer, self._full_state(False))
                    self.exchanges.on_completed(peer, self.now, before != self.table.digest)
                    self._finish_joining()
                self._close_connection(connection)
            case SameDigest():
                self.exchanges.on_completed(peer, self.now, True)
                self._finish_joining()
                self._close_connection(connection)
            case _:
                self._close_connection(connection)

    def _full_state(self, answer: bool) -> FullState:
        # A member that has yielded receives only answers to its own requests: its beliefs are of no use to
        # others.
        beliefs = () if self.own.yielded else self.table.all()
        return FullState(tuple(belief.to_state(self.now) for belief in beliefs), answer)

    def _close_connection(self, connection: int) -> None:
        state = self.exchanges.connections.pop(connection, None)
        if state is not None:
            self._out.append(CloseConnection(connection, state.probe > 0))

    def _on_closed(self, connection: int) -> None:
        state = self.exchanges.connections.pop(connection, None)
        if state is not None and state.outgoing and not state.probe:
            self.exchanges.failed += 1

    def _start_regular_exchange(self) -> None:
        joining = self.own.phase is Phase.JOINING
        self.exchanges.schedule_next(self.now, joining)
        names = self.table.live_peers()
        if joining or not names:
            names = [name for name in self.settings.join if name in self.table.peers]
            tried = self.exchanges.failed + self.exchanges.done
            if not names or tried % 2:  # every second attempt takes any peer: the join members may be gone
                names = list(self.settings.peers)
        if names:
            peer = self.random.choice(names)
            if self.exchanges.has_room(peer):
                self._start_exchange(peer)
