"""The view of the fleet as a machine: what came in and the time, in; what to send and what changed, out.

SWIM: one member is probed each period, in shuffled rounds; who does not answer is probed through others,
then suspected, then, if it does not refute, dead. Suspicions, deaths and refutations travel with the probes'
messages. What Lifeguard added: local health, suspects told first, suspicions that shorten with independent
accusers. Beyond: a belief about who it speaks to goes before all news; full exchanges where digests differ;
the dead and unheard-of are tried now and then, so that halves find together. docs/design/fleet-view.md weighs
each of these.
"""

from collections.abc import Iterable

from quincepath.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    Envelope,
    Gossip,
    Rejected,
    body_of,
    unpack,
)
from quincepath.fleet.view.facts import Phase, ViewSettings, state_key
from quincepath.fleet.view.failure_detector import FailureDetector
from quincepath.fleet.view.ports import (
    CloseConnection,
    ConnectionAccepted,
    ConnectionClosed,
    DatagramReceived,
    Drain,
    FrameReceived,
    Input,
    Leave,
    OpenConnection,
    OperatorNotice,
    Output,
    SendDatagram,
    SendFrame,
)  # fmt: skip
from quincepath.fleet.view.sending import NEVER
from quincepath.fleet.view.settled import unsettled_reasons

__all__ = [
    "CloseConnection", "ConnectionAccepted", "ConnectionClosed", "DatagramReceived", "Drain", "FrameReceived",
    "Input", "Leave", "OpenConnection", "OperatorNotice", "Output", "SendDatagram", "SendFrame", "View",
]  # fmt: skip


class View(FailureDetector):
    """One member's view. ``step`` takes what came in; ``due`` is when it is to be called without (ns)."""

    def __init__(self, settings: ViewSettings, boot: int, seed: int, now: int) -> None:
        super().__init__(settings, boot, seed, now)
        self.table.put(self.own.belief(now), "begins")
        if not settings.peers:
            self._enter()
        self.due = max(self._next_due(), now)

    # --- the machine ---

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Take in what came, do what is due."""
        out: list[Output] = []
        self._out = out
        if self._left:
            return out
        if self.settings.local_health and now > self.due + self.settings.late:
            self._stood_still(now, now - self.due)
        self.now = now
        for item in inputs:
            self._take_in(item)
        if not self._left:
            self._timers()
        self._hand_over()
        self.due = max(self._next_due(), now)
        return out

    def _next_due(self) -> int:
        if self._left:
            return NEVER
        due = [self.table.next_due(), self.exchanges.next_due(), self.prober.next_due(), self._trial_at]
        if len(self.gossip_queue):
            due.append(self._gossip_at)
        if not self._round_open():
            due.append(self._probe_at)
        return min(due)

    def _take_in(self, item: Input) -> None:
        match item:
            case DatagramReceived(data):
                self._message(data, MAX_DATAGRAM_BYTES, None)
            case FrameReceived(line, data):
                if line in self.exchanges.lines:
                    self._message(data, MAX_FRAME_BYTES, line)
            case ConnectionAccepted(line):
                if not self.exchanges.take(line, self.now):
                    self._out.append(CloseConnection(line))
            case ConnectionClosed(line):
                self._lost(line)
            case Drain(draining):
                if self.own.drain(draining):
                    self._say_own("its own word")
            case Leave():
                self._leave()

    def _hand_over(self) -> None:
        """What changed goes to the news and to people."""
        for name in self.table.updated:
            if not len(self.gossip_queue):
                self._gossip_at = min(self._gossip_at, self.now + self.settings.gossip)
            self.gossip_queue.add(name)
            belief = self.table.get(name)
            if belief is not None and name != self.settings.name:
                if belief.live:
                    self.prober.insert(name)
                if belief.phase is Phase.SUSPECT:
                    self._look_for_oneself(belief)
        self.table.updated.clear()
        self._out.extend(self.table.changes)
        self.table.changes.clear()

    def _stood_still(self, now: int, by: int) -> None:
        """An own timer ran late: this member stopped or was starved, and accuses nobody for what it missed.

        The machine measures this itself, from when it asked to be called: nobody has to tell it.
        """
        self.prober.stood_still(by)
        self.table.extend_suspicions(by)
        self.last_stall_at = self.last_heard_at = now

    # --- hearing ---

    def _message(self, data: bytes, most: int, line: int | None) -> None:
        try:
            envelope = unpack(data, self.settings.fleet, self.settings.name, most)
            if envelope.sender not in self.table.peers:
                raise Rejected("unknown member")
            self._speaker(envelope)
            for about in envelope.news:
                self._apply_state(about, envelope.sender)
            body = body_of(envelope)
        except Rejected as error:
            self.dropped[error.cause] += 1
            if line is not None:
                self._hang_up(line)
            return
        if line is None:
            self._datagram(envelope.sender, body)
        else:
            self._on_frame(line, envelope, body)

    def _speaker(self, envelope: Envelope) -> None:
        """What a message says by itself: its sender lives, as this process, with this digest."""
        me, now, name = envelope.me, self.now, envelope.sender
        newest = self._newest(name, me.boot, envelope.count)
        self.last_heard_at = now
        self.table.apply_state(me, now, name)
        belief = self.table.beliefs[name]
        if belief.boot != me.boot:
            if newest:
                self._stranger(name, me.boot)
        elif newest and belief.live:
            self.table.last_heard[name] = now
        if state_key(me)[:2] < belief.key[:2] and (not belief.live or belief.boot != me.boot):
            self._correct(name)
        same = envelope.digest == self.table.digest
        if self.exchanges.compare(name, same, now, self.table.changed_at) and belief.live:
            self._exchange(name)

    # --- time ---

    def _timers(self) -> None:
        now = self.now
        self.table.expire_suspicions(now)
        for line in [number for number, state in self.exchanges.lines.items() if now >= state.until]:
            state = self.exchanges.lines[line]
            if state.mine and not state.probe:
                self.exchanges.failed += 1
            self._hang_up(line)
        for probe in list(self.prober.probes.values()):
            self._on_probe_timer(probe)
        for number, relay in list(self.prober.indirect_probes.items()):
            self._relay_timer(number, relay)
        if now >= self._probe_at and not self._round_open():
            self._probe_next()
        if now >= self.exchanges.next_at:
            self._regular_exchange()
        if now >= self.exchanges.ask_at():
            self._ask_for_digest()
        if now >= self._trial_at:
            self._trial()
        self._hand_over()
        if len(self.gossip_queue) and now >= self._gossip_at:
            self._gossip()

    def _gossip(self) -> None:
        names = self.table.live_peers()
        for name in self.random.sample(names, min(self.settings.fanout, len(names))):
            if len(self.gossip_queue):
                self._send(name, Gossip())
        self._gossip_at = self.now + self.settings.gossip if len(self.gossip_queue) else NEVER

    # --- for people ---

    def unsettled(self) -> list[str]:
        """Why the view is not settled; empty where it is."""
        return unsettled_reasons(self)
