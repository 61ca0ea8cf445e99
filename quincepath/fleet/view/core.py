"""The membership view as a state machine: it takes messages and the time, and returns messages and changes.

SWIM: each period one member is probed, in shuffled rounds; a member that does not ack is probed indirectly
through others, then suspected, and declared dead unless it refutes. Suspicions, deaths and refutations are
piggybacked on the messages of the probes. From Lifeguard: local health, suspects informed first, and
suspicion timeouts that shrink with independent accusers. In addition, what is believed about the receiver of
a message goes before all other updates; full state exchanges run where digests differ; and dead and never
heard members are pinged from time to time, so that the halves of a healed partition find each other.
docs/design/fleet-view.md discusses each of these.
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
    """One member's view. ``step`` takes inputs; ``due`` is when it must be called without any (ns)."""

    def __init__(self, settings: ViewSettings, boot: int, seed: int, now: int) -> None:
        super().__init__(settings, boot, seed, now)
        self.table.put(self.own.belief(now), "begins")
        if not settings.peers:
            self._finish_joining()
        self.due = max(self._next_due(), now)

    # --- steps ---

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Apply the inputs and run the timers that are due."""
        out: list[Output] = []
        self._out = out
        if self._left:
            return out
        if self.settings.local_health and now > self.due + self.settings.late:
            self._on_stall(now, now - self.due)
        self.now = now
        for item in inputs:
            self._apply(item)
        if not self._left:
            self._run_timers()
        self._publish_changes()
        self.due = max(self._next_due(), now)
        return out

    def _next_due(self) -> int:
        if self._left:
            return NEVER
        due = [self.table.next_due(), self.exchanges.next_due(), self.prober.next_due(), self._trial_at]
        if len(self.gossip_queue):
            due.append(self._gossip_at)
        if not self._round_probe_open():
            due.append(self._probe_at)
        return min(due)

    def _apply(self, item: Input) -> None:
        match item:
            case DatagramReceived(data):
                self._on_message(data, MAX_DATAGRAM_BYTES, None)
            case FrameReceived(connection, data):
                if connection in self.exchanges.connections:
                    self._on_message(data, MAX_FRAME_BYTES, connection)
            case ConnectionAccepted(connection):
                if not self.exchanges.accept(connection, self.now):
                    self._out.append(CloseConnection(connection))
            case ConnectionClosed(connection):
                self._on_closed(connection)
            case Drain(draining):
                if self.own.drain(draining):
                    self._put_own("its own word")
            case Leave():
                self._leave()

    def _publish_changes(self) -> None:
        """Queue changed beliefs for gossip, and put the changes into the outputs."""
        for name in self.table.updated:
            if not len(self.gossip_queue):
                self._gossip_at = min(self._gossip_at, self.now + self.settings.gossip)
            self.gossip_queue.add(name)
            belief = self.table.get(name)
            if belief is not None and name != self.settings.name:
                if belief.live:
                    self.prober.add_to_round(name)
                if belief.phase is Phase.SUSPECT:
                    self._confirm_suspicion(belief)
        self.table.updated.clear()
        self._out.extend(self.table.changes)
        self.table.changes.clear()

    def _on_stall(self, now: int, by: int) -> None:
        """A timer of this member ran late: it stalled or was starved, and suspects no member for what it
        missed.

        The state machine detects this itself, from the time at which it asked to be called.
        """
        self.prober.on_stall(by)
        self.table.extend_suspicions(by)
        self.last_stall_at = self.last_heard_at = now

    # --- receiving ---

    def _on_message(self, data: bytes, max_bytes: int, connection: int | None) -> None:
        try:
            envelope = unpack(data, self.settings.fleet, self.settings.name, max_bytes)
            if envelope.sender not in self.table.peers:
                raise Rejected("unknown member")
            self._on_sender(envelope)
            for state in envelope.news:
                self._apply_state(state, envelope.sender)
            body = body_of(envelope)
        except Rejected as error:
            self.dropped[error.cause] += 1
            if connection is not None:
                self._close_connection(connection)
            return
        if connection is None:
            self._on_datagram(envelope.sender, body)
        else:
            self._on_frame(connection, envelope, body)

    def _on_sender(self, envelope: Envelope) -> None:
        """Take in what every message says of its sender: it is live, as this process, with this digest."""
        me, now, name = envelope.me, self.now, envelope.sender
        newest = self._is_newest(name, me.boot, envelope.count)
        self.last_heard_at = now
        self.table.apply_state(me, now, name)
        belief = self.table.beliefs[name]
        if belief.boot != me.boot:
            if newest:
                self._on_other_process(name, me.boot)
        elif newest and belief.live:
            self.table.last_heard[name] = now
        if state_key(me)[:2] < belief.key[:2] and (not belief.live or belief.boot != me.boot):
            self._send_correction(name)
        same = envelope.digest == self.table.digest
        if self.exchanges.on_digest(name, same, now, self.table.changed_at) and belief.live:
            self._start_exchange(name)

    # --- timers ---

    def _run_timers(self) -> None:
        now = self.now
        self.table.expire_suspicions(now)
        for connection in [
            number for number, state in self.exchanges.connections.items() if now >= state.deadline
        ]:
            state = self.exchanges.connections[connection]
            if state.outgoing and not state.probe:
                self.exchanges.failed += 1
            self._close_connection(connection)
        for probe in list(self.prober.probes.values()):
            self._on_probe_timer(probe)
        for number, indirect in list(self.prober.indirect_probes.items()):
            self._on_indirect_timer(number, indirect)
        if now >= self._probe_at and not self._round_probe_open():
            self._probe_next()
        if now >= self.exchanges.next_at:
            self._start_regular_exchange()
        if now >= self.exchanges.recheck_at():
            self._recheck_digest()
        if now >= self._trial_at:
            self._contact_absent()
        self._publish_changes()
        if len(self.gossip_queue) and now >= self._gossip_at:
            self._gossip()

    def _gossip(self) -> None:
        names = self.table.live_peers()
        for name in self.random.sample(names, min(self.settings.fanout, len(names))):
            if len(self.gossip_queue):
                self._send(name, Gossip())
        self._gossip_at = self.now + self.settings.gossip if len(self.gossip_queue) else NEVER

    # --- for operators ---

    def unsettled(self) -> list[str]:
        """Why the view is not settled; empty if it is."""
        return unsettled_reasons(self)
