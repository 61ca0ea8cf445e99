"""A control machine's end of the distribution: it follows the log and serves the subscribers of its region.

Pure: ``step(now, inputs) -> outputs``. One batch of deltas is on its way to a subscriber at a time, and is
sent again until it is acknowledged; so what a slow subscriber costs is bounded. Without voters the last
revision is served with its age.
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

MAX_SUBSCRIBERS = 1000  # one more is told to ask another relay
TICK_NS = 100 * MS  # between looks at the table
HEARTBEAT_INTERVAL_NS = SECOND
SUMMARY_INTERVAL_NS = 2 * SECOND
RESUME_INTERVAL_NS = 200 * MS  # between requests for missing deltas of the log
MAX_RESUME_DELTAS = 1000  # a subscriber further behind gets a snapshot
MAX_RESUME_BYTES = 256 * 1024  # of deltas, for one that subscribes; more than a snapshot of 12,000 nodes
WINDOW_RESEND_DELAY_NS = 500 * MS  # the first pieces of a snapshot, where a subscriber asks again
MAX_CACHED_BATCHES = 64  # encoded, for subscribers at the same revision
SNAPSHOT_RETRY_PAUSE_NS = 30 * SECOND  # until a subscriber that could not read a snapshot is sent another


@dataclass(slots=True, frozen=True)
class RelayIdentity:
    """Who a relay is. ``boot`` tells its starts apart."""

    fleet: str
    name: str
    boot: int


class Relay:
    """``log`` holds the deltas and ``values`` the resources at the newest revision that is here."""

    def __init__(self, me: RelayIdentity, now: int, max_subscribers: int = MAX_SUBSCRIBERS) -> None:
        """``max_subscribers``: rows of the table."""
        self.me = me
        self.log = DeltaLog()
        self.values: dict[str, bytes] = {}
        self.records: dict[str, SubscriberRecord] = {}
        self.slots = SnapshotSlots()
        self.dropped: Counter[str] = Counter()  # messages, by cause
        self.due = now
        self._most = max_subscribers
        self._confirmed_at: int | None = None  # when a voter last knew our newest to be the newest
        self._summary_at = now + SUMMARY_INTERVAL_NS
        self._resume_at = now
        self._now = now
        self._out: list[RelayOutput] = []
        self._batches: dict[int, tuple[int, msgspec.Raw]] = {}  # by first revision: the last, and the body

    @property
    def age_ms(self) -> int:
        """Since a voter last knew our newest revision to be the newest."""
        if self._confirmed_at is None:
            return MAX_COUNTER
        return min((self._now - self._confirmed_at) // MS, MAX_COUNTER)

    def step(self, now: int, inputs: Sequence[RelayInput]) -> list[RelayOutput]:
        """Take in what came and what the time asks for."""
        self._now, self._out = now, []
        for one in inputs:
            match one:
                case Received():
                    self._receive(one)
                case Committed():
                    self._committed(one)
                case Loaded():
                    self._loaded(one)
                case Lost(name):
                    self._forget(name)
                case Close():
                    self._close()
        if now >= self.due:
            self._tick()
        self._grant()
        return self._out

    # --- the log ---

    def _committed(self, told: Committed) -> None:
        before = self.log.newest
        for delta in told.deltas:
            if delta.revision == self.log.newest + 1:
                self.log.add(delta)
                apply_edits(self.values, delta.edits)
        if self.log.newest < told.newest:
            self._ask_voter()
        elif self.log.newest == told.newest:
            self._confirmed_at = self._now - told.age
        if self.log.newest > before:
            self._news()

    def _ask_voter(self) -> None:
        if self._now >= self._resume_at:
            self._resume_at = self._now + RESUME_INTERVAL_NS
            self._out.append(Resume(self.log.newest))

    def _loaded(self, told: Loaded) -> None:
        if told.revision <= self.log.newest:
            return
        floor = told.deltas[0].revision - 1 if told.deltas else told.revision
        self.log = DeltaLog(floor, told.deltas)
        self.values = dict(told.values)
        self._news()

    def _news(self) -> None:
        """There are new deltas: for everybody who has nothing on its way."""
        self._batches.clear()
        for record in self.records.values():
            record.look(self.log.newest, self._now)
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
            self._subscribe(envelope, body)
            return
        record = self.records.get(envelope.sender)
        if record is None or record.boot != envelope.boot:
            self.dropped["unknown member"] += 1
            return
        record.heard_at = self._now
        match body:
            case Ack():
                self._acknowledged(record, body)
            case Nack():
                self._refused(record, body)
            case FetchPieces():
                self._fetch(record, body)
            case Unsubscribe():
                self._forget(record.name)
            case _:
                self.dropped["unknown kind"] += 1

    def _subscribe(self, envelope: Envelope, ask: Subscribe) -> None:
        name = envelope.sender
        known = self.records.get(name)
        if known is not None and known.boot != envelope.boot:
            self._forget(name)
            known = None
        if known is None and len(self.records) >= self._most:
            self._out.append(Event(EventKind.TABLE_FULL, f"{name}: {self._most} subscribers"))
            self._send(name, Busy(True))
            return
        record = known or SubscriberRecord(name, envelope.boot, self._now, self._now)
        self.records[name] = record
        record.sent, record.resends, record.paused_until = 0, 0, 0
        record.wants_snapshot = ask.snapshot or self.log.bytes_since(ask.received) > MAX_RESUME_BYTES
        record.acknowledged(ask.revision, ask.received, self.log.newest, self._now)
        self._heartbeat(record)
        self._release_slot(record)
        self._serve(record)

    def _acknowledged(self, record: SubscriberRecord, ack: Ack | Nack) -> None:
        record.acknowledged(ack.revision, ack.received, self.log.newest, self._now)
        self._release_slot(record)
        if not record.sent:
            self._serve(record)

    def _release_slot(self, record: SubscriberRecord) -> None:
        """A slot whose snapshot has arrived is free."""
        slot = self.slots.slots.get(record.name)
        if slot is not None and record.received >= slot.image.revision:
            self.slots.release(record.name)
            record.wants_snapshot = False

    def _refused(self, record: SubscriberRecord, nack: Nack) -> None:
        if nack.revision >= record.revision:
            record.refusal = nack
        if nack.refused > nack.received:  # a snapshot that cannot be read: what is refused is received else
            self.slots.release(record.name)
            record.wants_snapshot = False
            record.paused_until = self._now + SNAPSHOT_RETRY_PAUSE_NS
        self._acknowledged(record, nack)

    def _forget(self, name: str) -> None:
        self.slots.release(name)
        self.records.pop(name, None)

    def _close(self) -> None:
        for name in list(self.records):
            self._send(name, Redirect(""))
            self._forget(name)

    # --- what they are sent ---

    def _serve(self, record: SubscriberRecord) -> None:
        """The next deltas, or a place in the queue for a snapshot, where nothing is on its way."""
        reached = record.revision if record.wants_snapshot else record.received
        behind = self.log.newest > reached
        if record.sent or not behind or self._now < record.paused_until:
            return
        if self._needs_snapshot(record):
            self._queue(record)
            return
        sent, body = self._batch(record.received)
        record.now_sent(sent, self._now)
        self._send_raw(record.name, body)

    def _needs_snapshot(self, record: SubscriberRecord) -> bool:
        far = self.log.newest - record.received > MAX_RESUME_DELTAS
        return record.wants_snapshot or far or record.received < self.log.floor

    def _batch(self, received: int) -> tuple[int, msgspec.Raw]:
        """The deltas after a revision, encoded once for all subscribers that are there."""
        found = self._batches.get(received)
        if found is None:
            if len(self._batches) >= MAX_CACHED_BATCHES:
                self._batches.clear()
            deltas = self.log.since(received, BATCH_BYTES)
            assert deltas
            deltas = deltas[:MAX_BATCH_DELTAS]
            body = encode_body(Deltas(received + 1, self.log.newest, deltas))
            found = self._batches[received] = (deltas[-1].revision, body)
        return found

    def _heartbeat(self, record: SubscriberRecord) -> None:
        record.heartbeat_at = self._now + HEARTBEAT_INTERVAL_NS
        self._send(record.name, Heartbeat(self.log.newest, self.age_ms))

    # --- snapshots ---

    def _queue(self, record: SubscriberRecord) -> None:
        slot = self.slots.slots.get(record.name)
        if slot is not None:
            if self._now >= slot.sent_at + WINDOW_RESEND_DELAY_NS:
                self._send_window(record.name, slot, 0)
            return
        if record.name not in self.slots.queue:
            before = self.slots.enqueue(record.name)
            if len(self.slots.slots) >= self.slots.max_slots:
                self._send(record.name, Busy(False, before))

    def _grant(self) -> None:
        """Free slots go to those that wait, in order."""
        while name := self.slots.dequeue():
            least = max(self.log.floor, self.records[name].revision + 1)
            try:
                image = self.slots.image(self.log.newest, least, self.values)
            except ChangeError as error:
                self._out.append(Event(EventKind.SNAPSHOT_FAILED, str(error)))
                return
            slot = Slot(image, self._now + SLOT_IDLE_TIMEOUT_NS)
            self.slots.slots[name] = slot
            self._send_window(name, slot, 0)

    def _fetch(self, record: SubscriberRecord, ask: FetchPieces) -> None:
        slot = self.slots.slots.get(record.name)
        if slot is not None and slot.image.revision == ask.revision:
            self._send_window(record.name, slot, ask.offset)
        elif slot is None:
            self._queue(record)

    def _send_window(self, name: str, slot: Slot, offset: int) -> None:
        slot.idle_at, slot.sent_at = self._now + SLOT_IDLE_TIMEOUT_NS, self._now
        end = min(offset + WINDOW_PIECES * PIECE_BYTES, len(slot.image.data))
        for start in range(offset, end, PIECE_BYTES):
            self._send(name, slot.image.piece(start))

    # --- time ---

    def _tick(self) -> None:
        self.due = self._now + TICK_NS
        for record in list(self.records.values()):
            self._look_at(record)
        for name in self.slots.release_expired(self._now):
            if name in self.records:
                self._serve(self.records[name])
        if self._now >= self._summary_at:
            self._summary_at = self._now + SUMMARY_INTERVAL_NS
            waiting = len(self.slots.queue)
            found = summarise(self.records.values(), self.log.newest, self.age_ms, waiting, self._now)
            self._out.append(Report(found))

    def _look_at(self, record: SubscriberRecord) -> None:
        if self._now >= record.heard_at + SUBSCRIBER_TIMEOUT_NS:
            self._forget(record.name)
            self._out.append(Event(EventKind.SUBSCRIBER_GONE, f"{record.name}: revision {record.revision}"))
            return
        if self._now >= record.heartbeat_at:
            self._heartbeat(record)
        if record.sent and self._now >= record.resend_at:
            record.sent = 0
            self._serve(record)

    # --- sending ---

    def _send(self, name: str, body: Body) -> None:
        self._send_raw(name, encode_body(body))

    def _send_raw(self, name: str, raw: msgspec.Raw) -> None:
        self._out.append(Send(name, pack(self.me.fleet, self.me.name, self.me.boot, name, raw)))
