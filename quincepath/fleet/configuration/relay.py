"""The relay: it follows the log on a control machine and serves the subscribers of its region.

Pure: ``step(now, inputs) -> outputs``. One batch of deltas at a time is in flight to a subscriber, and is
resent until it is acknowledged, so the cost of a slow subscriber is bounded. While no voter is reachable, the
last known revision is served with its age.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from quincepath.fleet.configuration.changes import ChangeError
from quincepath.fleet.configuration.delta_log import DeltaLog
from quincepath.fleet.configuration.messages import (
    BATCH_BYTES,
    MAX_BATCH_DELTAS,
    PIECE_BYTES,
    Ack,
    Body,
    Busy,
    Deltas,
    Envelope,
    FetchPieces,
    Heartbeat,
    Nack,
    Redirect,
    Subscribe,
    Unsubscribe,
    encode_body,
    pack,
    unpack,
)
from quincepath.fleet.configuration.ports import (
    Close,
    Committed,
    Event,
    EventKind,
    Loaded,
    Lost,
    Received,
    RelayInput,
    RelayOutput,
    Report,
    Resume,
    Send,
)
from quincepath.fleet.configuration.records import SUBSCRIBER_TIMEOUT_NS, SubscriberRecord, summarise
from quincepath.fleet.configuration.relay_preference import MS, SECOND
from quincepath.fleet.configuration.slots import SLOT_IDLE_TIMEOUT_NS, Slot, SnapshotSlots
from quincepath.fleet.configuration.subscriber import WINDOW_PIECES
from quincepath.fleet.configuration.table import apply_edits
from quincepath.fleet.messages import MAX_COUNTER, Rejected

MAX_SUBSCRIBERS = 1000  # a further one gets Busy and tries another relay
TICK_NS = 100 * MS  # between checks of the subscriber table
HEARTBEAT_INTERVAL_NS = SECOND
SUMMARY_INTERVAL_NS = 2 * SECOND
RESUME_INTERVAL_NS = 200 * MS  # between requests for missing deltas of the log
MAX_RESUME_DELTAS = 1000  # a subscriber that is further behind gets a snapshot
MAX_RESUME_BYTES = 256 * 1024  # of deltas at a Subscribe; larger than a snapshot of 12,000 nodes
WINDOW_RESEND_DELAY_NS = 500 * MS  # of a snapshot's first pieces, where the subscriber requests it again
MAX_CACHED_BATCHES = 64  # encoded batches, shared by subscribers at the same revision
SNAPSHOT_RETRY_PAUSE_NS = 30 * SECOND  # before a subscriber that could not read a snapshot gets another


@dataclass(slots=True, frozen=True)
class RelayIdentity:
    """The identity of a relay. ``boot`` identifies one start of its process."""

    fleet: str
    name: str
    boot: int


class Relay:
    """``log`` holds the deltas and ``values`` the resources at the newest revision that has arrived."""

    def __init__(self, me: RelayIdentity, now: int, max_subscribers: int = MAX_SUBSCRIBERS) -> None:
        """``max_subscribers``: size of the subscriber table."""
        self.me = me
        self.log = DeltaLog()
        self.values: dict[str, bytes] = {}
        self.records: dict[str, SubscriberRecord] = {}
        self.slots = SnapshotSlots()
        self.dropped: Counter[str] = Counter()  # messages, by cause
        self.due = now
        self._max_subscribers = max_subscribers
        self._confirmed_at: int | None = None  # when a voter last confirmed our newest revision as the newest
        self._summary_at = now + SUMMARY_INTERVAL_NS
        self._resume_at = now
        self._now = now
        self._out: list[RelayOutput] = []
        # By the revision before the batch: its last revision, and the encoded body.
        self._batches: dict[int, tuple[int, msgspec.Raw]] = {}

    @property
    def age_ms(self) -> int:
        """ms since a voter last confirmed our newest revision as the newest."""
        if self._confirmed_at is None:
            return MAX_COUNTER
        return min((self._now - self._confirmed_at) // MS, MAX_COUNTER)

    def step(self, now: int, inputs: Sequence[RelayInput]) -> list[RelayOutput]:
        """Apply the inputs and handle the timers that are due."""
        self._now, self._out = now, []
        for one in inputs:
            match one:
                case Received():
                    self._receive(one)
                case Committed():
                    self._on_committed(one)
                case Loaded():
                    self._on_loaded(one)
                case Lost(name):
                    self._remove(name)
                case Close():
                    self._on_close()
        if now >= self.due:
            self._tick()
        self._grant_slots()
        return self._out

    # --- the log ---

    def _on_committed(self, update: Committed) -> None:
        previous = self.log.newest
        for delta in update.deltas:
            if delta.revision == self.log.newest + 1:
                self.log.add(delta)
                apply_edits(self.values, delta.edits)
        if self.log.newest < update.newest:
            self._request_deltas()
        elif self.log.newest == update.newest:
            self._confirmed_at = self._now - update.age
        if self.log.newest > previous:
            self._serve_all()

    def _request_deltas(self) -> None:
        if self._now >= self._resume_at:
            self._resume_at = self._now + RESUME_INTERVAL_NS
            self._out.append(Resume(self.log.newest))

    def _on_loaded(self, update: Loaded) -> None:
        if update.revision <= self.log.newest:
            return
        floor = update.deltas[0].revision - 1 if update.deltas else update.revision
        self.log = DeltaLog(floor, update.deltas)
        self.values = dict(update.values)
        self._serve_all()

    def _serve_all(self) -> None:
        """Send new deltas to all subscribers that have none in flight."""
        self._batches.clear()
        for record in self.records.values():
            record.update_behind_since(self.log.newest, self._now)
            self._serve(record)

    # --- subscribers ---

    def _receive(self, message: Received) -> None:
        try:
            envelope, body = unpack(message.data, self.me.fleet, self.me.name, message.own)
            if envelope.sender != message.sender:
                raise Rejected("wrong name")
        except Rejected as error:
            self.dropped[error.cause] += 1
            return
        if isinstance(body, Subscribe):
            self._on_subscribe(envelope, body)
            return
        record = self.records.get(envelope.sender)
        if record is None or record.boot != envelope.boot:
            self.dropped["unknown member"] += 1
            return
        record.last_heard_at = self._now
        match body:
            case Ack():
                self._on_ack(record, body)
            case Nack():
                self._on_nack(record, body)
            case FetchPieces():
                self._on_fetch(record, body)
            case Unsubscribe():
                self._remove(record.name)
            case _:
                self.dropped["unknown kind"] += 1

    def _on_subscribe(self, envelope: Envelope, request: Subscribe) -> None:
        name = envelope.sender
        known = self.records.get(name)
        if known is not None and known.boot != envelope.boot:
            self._remove(name)
            known = None
        if known is None and len(self.records) >= self._max_subscribers:
            self._out.append(Event(EventKind.TABLE_FULL, f"{name}: {self._max_subscribers} subscribers"))
            self._send(name, Busy(True))
            return
        record = known or SubscriberRecord(name, envelope.boot, self._now, self._now)
        self.records[name] = record
        record.sent, record.resends, record.paused_until = 0, 0, 0
        record.wants_snapshot = request.snapshot or self.log.bytes_since(request.received) > MAX_RESUME_BYTES
        record.apply_ack(request.revision, request.received, self.log.newest, self._now)
        self._heartbeat(record)
        self._release_slot(record)
        self._serve(record)

    def _on_ack(self, record: SubscriberRecord, ack: Ack | Nack) -> None:
        record.apply_ack(ack.revision, ack.received, self.log.newest, self._now)
        self._release_slot(record)
        if not record.sent:
            self._serve(record)

    def _release_slot(self, record: SubscriberRecord) -> None:
        """Release the slot of a subscriber whose snapshot has arrived."""
        slot = self.slots.slots.get(record.name)
        if slot is not None and record.received >= slot.image.revision:
            self.slots.release(record.name)
            record.wants_snapshot = False

    def _on_nack(self, record: SubscriberRecord, nack: Nack) -> None:
        if nack.revision >= record.revision:
            record.refusal = nack
        if nack.refused > nack.received:  # an unreadable snapshot: any other refused revision is received
            self.slots.release(record.name)
            record.wants_snapshot = False
            record.paused_until = self._now + SNAPSHOT_RETRY_PAUSE_NS
        self._on_ack(record, nack)

    def _remove(self, name: str) -> None:
        self.slots.release(name)
        self.records.pop(name, None)

    def _on_close(self) -> None:
        for name in list(self.records):
            self._send(name, Redirect(""))
            self._remove(name)

    # --- sending deltas ---

    def _serve(self, record: SubscriberRecord) -> None:
        """Send the next deltas, or queue the subscriber for a snapshot, where nothing is in flight."""
        reached = record.revision if record.wants_snapshot else record.received
        behind = self.log.newest > reached
        if record.sent or not behind or self._now < record.paused_until:
            return
        if self._needs_snapshot(record):
            self._queue_snapshot(record)
            return
        sent, body = self._batch_after(record.received)
        record.mark_sent(sent, self._now)
        self._send_raw(record.name, body)

    def _needs_snapshot(self, record: SubscriberRecord) -> bool:
        too_far = self.log.newest - record.received > MAX_RESUME_DELTAS
        return record.wants_snapshot or too_far or record.received < self.log.floor

    def _batch_after(self, received: int) -> tuple[int, msgspec.Raw]:
        """The deltas after a revision, encoded once for all subscribers at that revision."""
        batch = self._batches.get(received)
        if batch is None:
            if len(self._batches) >= MAX_CACHED_BATCHES:
                self._batches.clear()
            deltas = self.log.since(received, BATCH_BYTES)
            assert deltas
            deltas = deltas[:MAX_BATCH_DELTAS]
            body = encode_body(Deltas(received + 1, self.log.newest, deltas))
            batch = self._batches[received] = (deltas[-1].revision, body)
        return batch

    def _heartbeat(self, record: SubscriberRecord) -> None:
        record.next_heartbeat_at = self._now + HEARTBEAT_INTERVAL_NS
        self._send(record.name, Heartbeat(self.log.newest, self.age_ms))

    # --- snapshots ---

    def _queue_snapshot(self, record: SubscriberRecord) -> None:
        slot = self.slots.slots.get(record.name)
        if slot is not None:
            if self._now >= slot.sent_at + WINDOW_RESEND_DELAY_NS:
                self._send_window(record.name, slot, 0)
            return
        if record.name not in self.slots.queue:
            waiting = self.slots.enqueue(record.name)
            if len(self.slots.slots) >= self.slots.max_slots:
                self._send(record.name, Busy(False, waiting))

    def _grant_slots(self) -> None:
        """Give free slots to the waiting subscribers in order."""
        while name := self.slots.dequeue():
            min_revision = max(self.log.floor, self.records[name].revision + 1)
            try:
                image = self.slots.image(self.log.newest, min_revision, self.values)
            except ChangeError as error:
                self._out.append(Event(EventKind.SNAPSHOT_FAILED, str(error)))
                return
            slot = Slot(image, self._now + SLOT_IDLE_TIMEOUT_NS)
            self.slots.slots[name] = slot
            self._send_window(name, slot, 0)

    def _on_fetch(self, record: SubscriberRecord, request: FetchPieces) -> None:
        slot = self.slots.slots.get(record.name)
        if slot is not None and slot.image.revision == request.revision:
            self._send_window(record.name, slot, request.offset)
        elif slot is None:
            self._queue_snapshot(record)

    def _send_window(self, name: str, slot: Slot, offset: int) -> None:
        slot.idle_at, slot.sent_at = self._now + SLOT_IDLE_TIMEOUT_NS, self._now
        end = min(offset + WINDOW_PIECES * PIECE_BYTES, len(slot.image.data))
        for start in range(offset, end, PIECE_BYTES):
            self._send(name, slot.image.piece(start))

    # --- timers ---

    def _tick(self) -> None:
        self.due = self._now + TICK_NS
        for record in list(self.records.values()):
            self._check_subscriber(record)
        for name in self.slots.release_expired(self._now):
            if name in self.records:
                self._serve(self.records[name])
        if self._now >= self._summary_at:
            self._summary_at = self._now + SUMMARY_INTERVAL_NS
            waiting = len(self.slots.queue)
            summary = summarise(self.records.values(), self.log.newest, self.age_ms, waiting, self._now)
            self._out.append(Report(summary))

    def _check_subscriber(self, record: SubscriberRecord) -> None:
        if self._now >= record.last_heard_at + SUBSCRIBER_TIMEOUT_NS:
            self._remove(record.name)
            self._out.append(Event(EventKind.SUBSCRIBER_GONE, f"{record.name}: revision {record.revision}"))
            return
        if self._now >= record.next_heartbeat_at:
            self._heartbeat(record)
        if record.sent and self._now >= record.resend_at:
            record.sent = 0
            self._serve(record)

    # --- messages out ---

    def _send(self, name: str, body: Body) -> None:
        self._send_raw(name, encode_body(body))

    def _send_raw(self, name: str, raw: msgspec.Raw) -> None:
        self._out.append(Send(name, pack(self.me.fleet, self.me.name, self.me.boot, name, raw)))
