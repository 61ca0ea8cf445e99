"""A broker's end of the distribution: it follows one relay, applies revisions, and says what it has in force.

Pure: ``step(now, inputs) -> outputs``; ``due`` says when the next step is wanted at the latest. Nothing is
assumed of order or delivery. What is missing is asked for by revision; a revision that cannot be in force is
refused (NACK), and the last good one stays.
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

ACK_INTERVAL_NS = 3 * SECOND  # also without news: the sign of life for the relay
RESUME_TIMEOUT_NS = 600 * MS  # without progress while the relay has more
SNAPSHOT_RETRY_DELAY_NS = 30 * SECOND  # after one that could not be read
WINDOW_PIECES = 8  # of a snapshot, asked for at once
NEVER = 1 << 62
MAX_REASON_CHARACTERS = 400


@dataclass(slots=True, frozen=True)
class SubscriberIdentity:
    """Who a subscriber is. ``boot`` tells its starts apart."""

    fleet: str
    name: str
    region: str
    boot: int


@dataclass(slots=True, frozen=True)
class SubscriberStatus:
    """For people. ``age_ms``: since a voter was known to confirm ``newest``; -1 where no relay serves."""

    revision: int
    received: int
    newest: int
    relay: str
    age_ms: int
    refused: RefusedRevision | None


class Subscriber:
    """``applier`` holds what is in force; ``chooser`` the relay that serves."""

    def __init__(
        self,
        me: SubscriberIdentity,
        relays: Iterable[RelayLocation],
        seed: int,
        now: int,
        rules: Rules = NO_RULES,
        check: Check = accept_all,
    ) -> None:
        """``rules`` and ``check``: what this broker has against values beyond their schema."""
        self.me = me
        chance = random.Random(f"{seed} {me.name} {me.boot} subscriber")
        self.chooser = RelayChooser(rank_relays(me.name, me.region, relays), chance, now)
        self.applier = Applier(rules, check)
        self.dropped: Counter[str] = Counter()  # messages, by cause
        self._assembly: Assembly | None = None
        self._assembly_from = ""  # the relay whose snapshot it is
        self._ack_at = NEVER
        self._piece_at = NEVER  # when the next pieces are asked for again
        self._progress_at = -NEVER
        self._subscribed_at = -NEVER
        self._no_snapshot_before = 0
        self._refused: RefusedRevision | None = None
        self._now = now
        self._out: list[SubscriberOutput] = []

    # --- state ---

    @property
    def due(self) -> int:
        """When the next step is wanted at the latest."""
        return min(self.chooser.due, self._ack_at, self._piece_at)

    def status(self, now: int) -> SubscriberStatus:
        """What is in force and how old the word on it is."""
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
        """Take in what came and what the time asks for."""
        self._now, self._out = now, []
        for one in inputs:
            if isinstance(one, Received):
                self._receive(one)
            elif self.chooser.on_lost(one.name, now):
                self._relay_gone(one.name, "connection lost")
        self._take_steps(self.chooser.poll(now))
        self._timers()
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
            self._hear(envelope.sender, body)

    def _hear(self, relay: str, body: Body) -> None:
        match body:
            case Heartbeat():
                self._heartbeat(relay, body)
            case Deltas():
                self._take_deltas(relay, body)
            case SnapshotPiece():
                self._take_piece(relay, body)
            case Busy(full=True):
                if self.chooser.on_lost(relay, self._now):
                    self._relay_gone(relay, "full")
            case Busy():
                self._progress_at = self._now  # the snapshot comes when its turn comes
            case Redirect():
                if self.chooser.on_lost(relay, self._now, body.relay):
                    self._relay_gone(relay, "it goes")
            case _:
                self.dropped["unknown kind"] += 1

    def _heartbeat(self, relay: str, body: Heartbeat) -> None:
        chooser, before = self.chooser, self.chooser.current
        self._take_steps(chooser.on_heartbeat(relay, body.newest, body.age, self.applier.revision, self._now))
        if chooser.current != before:
            self._out.append(Event(EventKind.RELAY_CHOSEN, chooser.current))
        if relay != chooser.current:
            return
        self._ack_at = min(self._ack_at, self._now + ACK_INTERVAL_NS)
        if body.newest > self.applier.received and self._assembly is None:
            self._resume(relay)

    # --- deltas and snapshots ---

    def _take_deltas(self, relay: str, body: Deltas) -> None:
        before = self.applier.received
        fits = self.applier.hold(body.deltas)
        self._applied(self.applier.apply_held())
        if fits and self.applier.received > before:
            self._progress_at = self._now
        if fits and not self.applier.needs_snapshot:
            self._acknowledge(relay)
        else:
            self._resume(relay)

    def _applied(self, found: Applied | None) -> None:
        if found is not None:
            self._out.append(Apply(found.revision, found.edits))
        refused = self.applier.refused
        if refused is not None and refused != self._refused:
            text = f"revision {refused.revision}, {refused.resource}: {refused.reason}"
            self._out.append(Event(EventKind.REVISION_REFUSED, text))
        self._refused = refused

    def _take_piece(self, relay: str, piece: SnapshotPiece) -> None:
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
        self._piece_at = self._now + RESUME_TIMEOUT_NS
        if self._assembly.whole:
            self._take_snapshot(relay, self._assembly)
        elif self._assembly.offset % (WINDOW_PIECES * PIECE_BYTES) == 0:
            self._fetch(relay, self._assembly)

    def _take_snapshot(self, relay: str, assembly: Assembly) -> None:
        self._drop_assembly()
        found = self.applier.apply_snapshot(assembly.image())
        if found is not None:
            self._out.append(Event(EventKind.SNAPSHOT_APPLIED, f"revision {found.revision}"))
        elif self.applier.received < assembly.revision:
            self._no_snapshot_before = self._now + SNAPSHOT_RETRY_DELAY_NS
        self._applied(found)
        self._acknowledge(relay)

    def _drop_assembly(self) -> None:
        self._assembly, self._assembly_from, self._piece_at = None, "", NEVER

    def _fetch(self, relay: str, assembly: Assembly) -> None:
        self._piece_at = self._now + RESUME_TIMEOUT_NS
        self._send(relay, FetchPieces(assembly.revision, assembly.offset))

    # --- the relay ---

    def _take_steps(self, steps: Iterable[Action]) -> None:
        for one in steps:
            match one:
                case SubscribeTo(relay):
                    self._subscribe(relay)
                case UnsubscribeFrom(relay, why):
                    self._send(relay, Unsubscribe())
                    self._relay_gone(relay, why)

    def _relay_gone(self, relay: str, why: str) -> None:
        if relay == self._assembly_from:
            self._drop_assembly()
        self._out.append(Event(EventKind.RELAY_LEFT, f"{relay}: {why}"))

    def _resume(self, relay: str) -> None:
        """Something is missing: say from where on, but not more often than an answer takes."""
        if self._now >= max(self._progress_at, self._subscribed_at) + RESUME_TIMEOUT_NS:
            if self._now >= self._no_snapshot_before:
                self._subscribe(relay)

    def _subscribe(self, relay: str) -> None:
        self._subscribed_at = self._now
        applier = self.applier
        self._send(relay, Subscribe(applier.revision, applier.received, applier.needs_snapshot))

    def _acknowledge(self, relay: str) -> None:
        applier = self.applier
        self._ack_at = self._now + ACK_INTERVAL_NS
        refused = applier.refused
        if refused is None:
            self._send(relay, Ack(applier.revision, applier.received))
            return
        reason = refused.reason[:MAX_REASON_CHARACTERS]
        nack = Nack(applier.revision, applier.received, refused.revision, refused.resource, reason)
        self._send(relay, nack)

    def _timers(self) -> None:
        relay = self.chooser.current
        if not relay:
            self._ack_at = NEVER
        elif self._now >= self._ack_at:
            self._acknowledge(relay)
        if self._assembly is not None and self._now >= self._piece_at:
            self._fetch(self._assembly_from, self._assembly)

    def _send(self, relay: str, body: Body) -> None:
        data = pack(self.me.fleet, self.me.name, self.me.boot, relay, encode_body(body))
        self._out.append(Send(relay, data))
