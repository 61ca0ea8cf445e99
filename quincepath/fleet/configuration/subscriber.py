"""The subscriber of a broker: it follows one relay, applies revisions, and acknowledges them.

Pure: ``step(now, inputs) -> outputs``; ``due`` is the time of the next timer. Neither order nor delivery of
messages is assumed. Missing deltas are requested by revision; a revision that cannot be applied is refused
(NACK), and the last valid one stays in force.
"""

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from quincepath.fleet.configuration.applier import Applied, Applier, Check, RefusedRevision, accept_all
from quincepath.fleet.configuration.messages import (
    PIECE_BYTES,
    Ack,
    Body,
    Busy,
    Deltas,
    FetchPieces,
    Heartbeat,
    Nack,
    Redirect,
    SnapshotPiece,
    Subscribe,
    Unsubscribe,
    encode_body,
    pack,
    unpack,
)
from quincepath.fleet.configuration.ports import (
    Apply,
    Event,
    EventKind,
    Received,
    Send,
    SubscriberInput,
    SubscriberOutput,
)
from quincepath.fleet.configuration.relay_chooser import Action, RelayChooser, SubscribeTo, UnsubscribeFrom
from quincepath.fleet.configuration.relay_preference import MS, SECOND, RelayLocation, rank_relays
from quincepath.fleet.configuration.snapshots import Assembly
from quincepath.fleet.configuration.table import NO_RULES, Rules
from quincepath.fleet.messages import Rejected

ACK_INTERVAL_NS = 3 * SECOND  # also without new revisions: the relay drops a silent subscriber
RESUME_TIMEOUT_NS = 600 * MS  # without progress while the relay has newer revisions
SNAPSHOT_RETRY_DELAY_NS = 30 * SECOND  # after an unreadable snapshot
WINDOW_PIECES = 8  # of a snapshot in one request
NEVER = 1 << 62
MAX_REASON_CHARACTERS = 400


@dataclass(slots=True, frozen=True)
class SubscriberIdentity:
    """The identity of a subscriber. ``boot`` identifies one start of its process."""

    fleet: str
    name: str
    region: str
    boot: int


@dataclass(slots=True, frozen=True)
class SubscriberStatus:
    """For the status page. ``age_ms``: since a voter confirmed ``newest``; -1 where no relay serves."""

    revision: int
    received: int
    newest: int
    relay: str
    age_ms: int
    refused: RefusedRevision | None


class Subscriber:
    """``applier`` holds the resources in force; ``chooser`` selects the relay."""

    def __init__(
        self,
        me: SubscriberIdentity,
        relays: Iterable[RelayLocation],
        seed: int,
        now: int,
        rules: Rules = NO_RULES,
        check: Check = accept_all,
    ) -> None:
        """``rules`` and ``check``: this broker's validation of values beyond their schema."""
        self.me = me
        rng = random.Random(f"{seed} {me.name} {me.boot} subscriber")
        self.chooser = RelayChooser(rank_relays(me.name, me.region, relays), rng, now)
        self.applier = Applier(rules, check)
        self.dropped: Counter[str] = Counter()  # messages, by cause
        self._assembly: Assembly | None = None
        self._assembly_from = ""  # the relay that sends the snapshot
        self._next_ack_at = NEVER
        self._refetch_at = NEVER  # when missing pieces are requested again
        self._progress_at = -NEVER
        self._subscribed_at = -NEVER
        self._no_snapshot_before = 0
        self._refused: RefusedRevision | None = None
        self._now = now
        self._out: list[SubscriberOutput] = []

    # --- state ---

    @property
    def due(self) -> int:
        """When the next timer is due."""
        return min(self.chooser.due, self._next_ack_at, self._refetch_at)

    def status(self, now: int) -> SubscriberStatus:
        """The revision in force, and the age of the relay's newest revision."""
        chooser = self.chooser
        age = chooser.age_ms + chooser.silent_ns(now) // MS if chooser.current else -1
        return SubscriberStatus(
            self.applier.revision,
            self.applier.received,
            chooser.newest,
            chooser.current,
            age,
            self.applier.refused,
        )

    # --- steps ---

    def step(self, now: int, inputs: Sequence[SubscriberInput]) -> list[SubscriberOutput]:
        """Apply the inputs and handle the timers that are due."""
        self._now, self._out = now, []
        for one in inputs:
            if isinstance(one, Received):
                self._receive(one)
            elif self.chooser.on_lost(one.name, now):
                self._on_relay_left(one.name, "connection lost")
        self._run_actions(self.chooser.poll(now))
        self._run_timers()
        return self._out

    def _receive(self, message: Received) -> None:
        try:
            envelope, body = unpack(message.data, self.me.fleet, self.me.name, message.own)
            if envelope.sender != message.sender or envelope.sender not in self.chooser.order:
                raise Rejected("unknown member")
        except Rejected as error:
            self.dropped[error.cause] += 1
            return
        if self.chooser.on_message(envelope.sender, self._now):
            self._on_body(envelope.sender, body)

    def _on_body(self, relay: str, body: Body) -> None:
        match body:
            case Heartbeat():
                self._on_heartbeat(relay, body)
            case Deltas():
                self._on_deltas(relay, body)
            case SnapshotPiece():
                self._on_piece(relay, body)
            case Busy(full=True):
                if self.chooser.on_lost(relay, self._now):
                    self._on_relay_left(relay, "full")
            case Busy():
                self._progress_at = self._now  # the snapshot is queued at the relay
            case Redirect():
                if self.chooser.on_lost(relay, self._now, body.relay):
                    self._on_relay_left(relay, "shutting down")
            case _:
                self.dropped["unknown kind"] += 1

    def _on_heartbeat(self, relay: str, body: Heartbeat) -> None:
        chooser, previous = self.chooser, self.chooser.current
        self._run_actions(
            chooser.on_heartbeat(relay, body.newest, body.age, self.applier.revision, self._now)
        )
        if chooser.current != previous:
            self._out.append(Event(EventKind.RELAY_CHOSEN, chooser.current))
        if relay != chooser.current:
            return
        self._next_ack_at = min(self._next_ack_at, self._now + ACK_INTERVAL_NS)
        if body.newest > self.applier.received and self._assembly is None:
            self._request_missing(relay)

    # --- deltas and snapshots ---

    def _on_deltas(self, relay: str, body: Deltas) -> None:
        previous = self.applier.received
        in_order = self.applier.hold(body.deltas)
        self._on_applied(self.applier.apply_held())
        if in_order and self.applier.received > previous:
            self._progress_at = self._now
        if in_order and not self.applier.needs_snapshot:
            self._acknowledge(relay)
        else:
            self._request_missing(relay)

    def _on_applied(self, applied: Applied | None) -> None:
        if applied is not None:
            self._out.append(Apply(applied.revision, applied.edits))
        refused = self.applier.refused
        if refused is not None and refused != self._refused:
            text = f"revision {refused.revision}, {refused.resource}: {refused.reason}"
            self._out.append(Event(EventKind.REVISION_REFUSED, text))
        self._refused = refused

    def _on_piece(self, relay: str, piece: SnapshotPiece) -> None:
        if piece.revision <= self.applier.revision or relay != (self.chooser.current or relay):
            return
        if self._assembly is None or (self._assembly_from, self._assembly.revision) != (
            relay,
            piece.revision,
        ):
            if piece.offset:
                return
            self._assembly, self._assembly_from = Assembly(piece.revision, piece.total), relay
        if not self._assembly.add(piece):
            return
        self._progress_at = self._now
        self._refetch_at = self._now + RESUME_TIMEOUT_NS
        if self._assembly.complete:
            self._apply_snapshot(relay, self._assembly)
        elif self._assembly.offset % (WINDOW_PIECES * PIECE_BYTES) == 0:
            self._request_pieces(relay, self._assembly)

    def _apply_snapshot(self, relay: str, assembly: Assembly) -> None:
        self._discard_assembly()
        applied = self.applier.apply_snapshot(assembly.image())
        if applied is not None:
            self._out.append(Event(EventKind.SNAPSHOT_APPLIED, f"revision {applied.revision}"))
        elif self.applier.received < assembly.revision:
            self._no_snapshot_before = self._now + SNAPSHOT_RETRY_DELAY_NS
        self._on_applied(applied)
        self._acknowledge(relay)

    def _discard_assembly(self) -> None:
        self._assembly, self._assembly_from, self._refetch_at = None, "", NEVER

    def _request_pieces(self, relay: str, assembly: Assembly) -> None:
        self._refetch_at = self._now + RESUME_TIMEOUT_NS
        self._send(relay, FetchPieces(assembly.revision, assembly.offset))

    # --- the relay ---

    def _run_actions(self, actions: Iterable[Action]) -> None:
        for one in actions:
            match one:
                case SubscribeTo(relay):
                    self._subscribe(relay)
                case UnsubscribeFrom(relay, reason):
                    self._send(relay, Unsubscribe())
                    self._on_relay_left(relay, reason)

    def _on_relay_left(self, relay: str, reason: str) -> None:
        if relay == self._assembly_from:
            self._discard_assembly()
        self._out.append(Event(EventKind.RELAY_LEFT, f"{relay}: {reason}"))

    def _request_missing(self, relay: str) -> None:
        """Request what is missing, but not before an answer to the last request can have arrived."""
        if self._now >= max(self._progress_at, self._subscribed_at) + RESUME_TIMEOUT_NS:
            if self._now >= self._no_snapshot_before:
                self._subscribe(relay)

    def _subscribe(self, relay: str) -> None:
        self._subscribed_at = self._now
        applier = self.applier
        self._send(relay, Subscribe(applier.revision, applier.received, applier.needs_snapshot))

    def _acknowledge(self, relay: str) -> None:
        applier = self.applier
        self._next_ack_at = self._now + ACK_INTERVAL_NS
        refused = applier.refused
        if refused is None:
            self._send(relay, Ack(applier.revision, applier.received))
            return
        reason = refused.reason[:MAX_REASON_CHARACTERS]
        nack = Nack(applier.revision, applier.received, refused.revision, refused.resource, reason)
        self._send(relay, nack)

    def _run_timers(self) -> None:
        relay = self.chooser.current
        if not relay:
            self._next_ack_at = NEVER
        elif self._now >= self._next_ack_at:
            self._acknowledge(relay)
        if self._assembly is not None and self._now >= self._refetch_at:
            self._request_pieces(self._assembly_from, self._assembly)

    def _send(self, relay: str, body: Body) -> None:
        data = pack(self.me.fleet, self.me.name, self.me.boot, relay, encode_body(body))
        self._out.append(Send(relay, data))
