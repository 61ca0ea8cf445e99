"""Exchanges of whole views on lines: whom to call, what to answer, how one ends."""

from quincepath.fleet.messages import Body, Envelope, ExchangeRequest, FullState, SameDigest
from quincepath.fleet.view.facts import Phase
from quincepath.fleet.view.ports import CloseConnection, OpenConnection
from quincepath.fleet.view.updates import UpdateHandler


class AntiEntropy(UpdateHandler):
    """Calls others to compare views, and answers those that call."""

    def _exchange(self, peer: str) -> None:
        line = self.exchanges.call(peer, self.now)
        self._out.append(OpenConnection(line, peer))
        self._frame(line, peer, ExchangeRequest())

    def _on_frame(self, line: int, envelope: Envelope, body: Body) -> None:
        state = self.exchanges.lines.get(line)
        if state is None:
            return
        peer = state.peer = envelope.sender
        state.until = self.now + self.settings.exchange_time
        match body:
            case ExchangeRequest():
                if envelope.digest == self.table.digest:
                    self._frame(line, peer, SameDigest())
                    self._hang_up(line)
                else:
                    self._frame(line, peer, self._full(True))
            case FullState(beliefs, answer):
                before = self.table.digest
                for about in beliefs:
                    self._apply_state(about, peer)
                if answer:
                    self._frame(line, peer, self._full(False))
                    self.exchanges.ended(peer, self.now, before != self.table.digest)
                    self._enter()
                self._hang_up(line)
            case SameDigest():
                self.exchanges.ended(peer, self.now, True)
                self._enter()
                self._hang_up(line)
            case _:
                self._hang_up(line)

    def _full(self, answer: bool) -> FullState:
        # One that yielded hears but what it asks for itself: its beliefs are nobody's help.
        beliefs = () if self.own.yielded else self.table.all()
        return FullState(tuple(belief.to_state(self.now) for belief in beliefs), answer)

    def _hang_up(self, line: int) -> None:
        state = self.exchanges.lines.pop(line, None)
        if state is not None:
            self._out.append(CloseConnection(line, state.probe > 0))

    def _lost(self, line: int) -> None:
        state = self.exchanges.lines.pop(line, None)
        if state is not None and state.mine and not state.probe:
            self.exchanges.failed += 1

    def _regular_exchange(self) -> None:
        joining = self.own.phase is Phase.JOINING
        self.exchanges.schedule_next(self.now, joining)
        names = self.table.live_peers()
        if joining or not names:
            names = [name for name in self.settings.join if name in self.table.peers]
            tried = self.exchanges.failed + self.exchanges.done
            if not names or tried % 2:  # every other time anybody: those to be asked first may be gone
                names = list(self.settings.peers)
        if names:
            peer = self.random.choice(names)
            if self.exchanges.room(peer):
                self._exchange(peer)
