"""Distribution of the configuration on one member: its subscriber, relay and status, on the event loop.

Passes messages, time and updates of the log to the pure parts (``fleet/configuration``) and executes their
outputs. A member that runs a relay serves itself, too; such messages pass through the event loop instead of
a connection.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge

from quincepath.config.schema import Config, DistributionEntry, FleetEntry
from quincepath.fleet.configuration.changes import ChangeError, Edit, decode_change
from quincepath.fleet.configuration.commands import ChangeConfiguration, relay_update
from quincepath.fleet.configuration.history import History, summarise_faults
from quincepath.fleet.configuration.messages import (
    MARK,
    Addressee,
    Summary,
    addressee,
    encode_body,
    open_envelope,
    pack,
    unpack,
)
from quincepath.fleet.configuration.ports import (
    Apply,
    Close,
    Event,
    EventKind,
    Lost,
    Received,
    RelayInput,
    Report,
    Resume,
    Send,
    SubscriberInput,
)
from quincepath.fleet.configuration.relay import Relay, RelayIdentity
from quincepath.fleet.configuration.relay_preference import MS, RelayLocation
from quincepath.fleet.configuration.status import FleetStatus, RelaySummaries
from quincepath.fleet.configuration.subscriber import Subscriber, SubscriberIdentity
from quincepath.fleet.configuration.table import Rules
from quincepath.fleet.configuration.validator import ChangeValidator
from quincepath.fleet.messages import Rejected
from quincepath.fleet.replicated_log import ReplicatedLog
from quincepath.fleet.transport import Transport
from quincepath.net.loop import Loop, Timer

FEED_INTERVAL_NS = 500 * MS  # between updates of the log to the relay while there are no new revisions
MIN_STEP_NS = MS  # between steps that a timer starts
METRICS_INTERVAL_NS = 1000 * MS  # between updates of the metrics
MAX_LOGGED_EDITS = 5  # names of resources in the log line of a revision
WARNING_EVENTS = frozenset({EventKind.RELAY_LEFT, EventKind.SUBSCRIBER_GONE, EventKind.TABLE_FULL})
ERROR_EVENTS = frozenset({EventKind.REVISION_REFUSED, EventKind.SNAPSHOT_FAILED})


@dataclass(slots=True, frozen=True)
class Ports:
    """Functions of the member. ``age``: ns since this member's newest entry was known to be the newest."""

    send: Callable[[str, bytes], None]
    history: Callable[[], History]
    age: Callable[[], int]
    voters: Callable[[], Sequence[str]]
    expected_brokers: Callable[[], int]  # brokers that should be subscribed
    dropped: Callable[[str], None]


class Distribution:
    """``on_apply`` is called with all edits of a revision at once, after their validation."""

    def __init__(
        self,
        entry: FleetEntry,
        section: DistributionEntry,
        validator: ChangeValidator,
        loop: Loop,
        boot: int,
        seed: int,
        ports: Ports,
        log: Any,
        registry: CollectorRegistry,
    ) -> None:
        self.loop, self.entry, self.ports, self.log = loop, entry, ports, log
        self.validator, self.boot = validator, boot
        self.on_apply: Callable[[Sequence[Edit]], None] = lambda edits: None
        self._members = {peer.name for peer in entry.peers} | {entry.member}
        self._relay_names = {relay.name for relay in section.relays}
        relays = [RelayLocation(relay.name, relay.region) for relay in section.relays]
        me = SubscriberIdentity(entry.name, entry.member, section.region, boot)
        now = loop.clock()
        self.subscriber = Subscriber(me, relays, seed, now, validator.rules, validator.faults)
        relayed = entry.member in self._relay_names
        self.relay = Relay(RelayIdentity(entry.name, entry.member, boot), now) if relayed else None
        self.summaries = RelaySummaries()
        self._timer: Timer | None = None
        self._closed = False
        self._metrics = _Metrics(registry)
        self._update_metrics()
        self._feed_periodically()
        self._arm()

    # --- messages ---

    def receive(self, data: bytes, own: bool = False) -> None:
        """Handle a message of another member, or with ``own`` of this one."""
        me = self.entry
        try:
            envelope = open_envelope(data, me.name, me.member, own)
            if envelope.sender not in self._members:
                raise Rejected("unknown member")
            match addressee(envelope.body):
                case Addressee.SUBSCRIBER:
                    self._step_subscriber([Received(envelope.sender, data, own)])
                case Addressee.RELAY if self.relay is not None:
                    self._step_relay([Received(envelope.sender, data, own)])
                case Addressee.VOTER:
                    self._on_summary(data, own)
                case _:
                    raise Rejected("unknown kind")
        except Rejected as error:
            self.ports.dropped(error.cause)

    def _on_summary(self, data: bytes, own: bool) -> None:
        """Handle a relay's summary."""
        envelope, body = unpack(data, self.entry.name, self.entry.member, own)
        if not isinstance(body, Summary) or envelope.sender not in self._relay_names:
            raise Rejected("unknown kind")
        self.summaries.record(envelope.sender, body, self.loop.clock())

    def on_connection_lost(self, name: str) -> None:
        """The connection to a member ended, or could not be established."""
        self._step_subscriber([Lost(name)])
        self._step_relay([Lost(name)])

    def _send(self, to: str, data: bytes) -> None:
        if to == self.entry.member:
            self.loop.call_in(0, lambda: self.receive(data, own=True))
        else:
            self.ports.send(to, data)

    # --- steps ---

    def _step_subscriber(self, inputs: Sequence[SubscriberInput]) -> None:
        if self._closed:
            return
        for out in self.subscriber.step(self.loop.clock(), inputs):
            match out:
                case Send(to, data):
                    self._send(to, data)
                case Apply(revision, edits):
                    self._apply(revision, edits)
                case Event():
                    self._log_event(out)
        self._arm()

    def _apply(self, revision: int, edits: Sequence[Edit]) -> None:
        self.on_apply(edits)
        names = ", ".join(edit.name for edit in edits[:MAX_LOGGED_EDITS])
        more = f" and {len(edits) - MAX_LOGGED_EDITS} more" if len(edits) > MAX_LOGGED_EDITS else ""
        self.log.info("configuration: in force", revision=revision, changed=names + more)

    def _step_relay(self, inputs: Sequence[RelayInput]) -> None:
        if self._closed or self.relay is None:
            return
        for out in self.relay.step(self.loop.clock(), inputs):
            match out:
                case Send(to, data):
                    self._send(to, data)
                case Report(summary):
                    self._report(summary)
                case Resume():
                    self.loop.call_in(0, self.feed)
                case Event():
                    self._log_event(out)
        self._arm()

    def _report(self, summary: Summary) -> None:
        raw, me = encode_body(summary), self.entry
        for voter in self.ports.voters():
            self._send(voter, pack(me.name, me.member, self.boot, voter, raw))

    def _log_event(self, event: Event) -> None:
        write = self.log.info
        if event.kind in WARNING_EVENTS:
            write = self.log.warning
        elif event.kind in ERROR_EVENTS:
            write = self.log.error
        write(f"configuration: {event.kind}", cause=event.text)
        self._metrics.events.labels(event.kind).inc()

    def _arm(self) -> None:
        """Set one timer for subscriber and relay."""
        due = self.subscriber.due if self.relay is None else min(self.subscriber.due, self.relay.due)
        due = max(due, self.loop.clock() + MIN_STEP_NS)
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._step_subscriber([])
        self._step_relay([])

    # --- the log ---

    def feed(self) -> None:
        """Pass the log's newest revisions to the relay."""
        if self.relay is not None:
            update = relay_update(self.ports.history(), self.relay.log.newest, self.ports.age())
            self._step_relay([update])

    def _feed_periodically(self) -> None:
        if not self._closed:
            self.loop.call_in(FEED_INTERVAL_NS, self._feed_periodically)
            self.feed()

    def refusal(self, command: ChangeConfiguration) -> str:
        """Why this member, as leader, does not propose a change; empty where it does."""
        history = self.ports.history()
        try:
            change = decode_change(command.change)
        except ChangeError as error:
            return str(error)
        if history.recorded_answer(change) is not None:
            return ""  # a duplicate: it gets the same answer again
        edits = history.resolve_edits(change)
        faults = history.table.faults(edits, self.validator.rules) or self.validator.faults(edits)
        return summarise_faults(faults or self.validator.leader_faults(history.table.values, edits))

    # --- status ---

    def fleet_status(self) -> FleetStatus:
        """The aggregated summaries of all relays, which only voters receive."""
        now = self.loop.clock()
        subscriber = self.subscriber
        reported = [summary.newest for _, summary in self.summaries.latest.values()]
        # This voter's log may be behind the revision that its own broker already has in force.
        known_here = (self.ports.history().revision, subscriber.applier.revision, subscriber.chooser.newest)
        newest = max([*known_here, *reported])
        return self.summaries.status(newest, self.ports.expected_brokers(), now)

    def status_page(self) -> dict[str, Any]:
        """``fleet``: status of all brokers, on a voter only, else null. ``own``: of this broker."""
        own = msgspec.to_builtins(self.subscriber.status(self.loop.clock()))
        page: dict[str, Any] = {
            "member": self.entry.member,
            "own": own,
            "keepers": list(self.ports.voters()),
            "fleet": None,
            "everywhere": None,
            "lines": [],
        }
        if self.entry.member in page["keepers"]:
            status = self.fleet_status()
            page |= {
                "fleet": {
                    **msgspec.to_builtins(status),
                    "counts": [msgspec.structs.asdict(one) for one in status.counts],
                    "laggards": [msgspec.structs.asdict(one) for one in status.laggards],
                    "refusals": [msgspec.structs.asdict(one) for one in status.refusals],
                },
                "everywhere": status.everywhere,
                "lines": status.lines(),
            }
        return page

    def show_page(self, name: str = "") -> dict[str, Any] | None:
        """All committed resources that this member knows, or the named one; None where that is absent."""
        history = self.ports.history()
        values = history.table.values
        if name and name not in values:
            return None
        names = [name] if name else sorted(values)
        resources = {one: msgspec.msgpack.decode(values[one]) for one in names}
        return {"revision": history.revision, "resources": resources}

    def _update_metrics(self) -> None:
        if self._closed:
            return
        self.loop.call_in(METRICS_INTERVAL_NS, self._update_metrics)
        status = self.subscriber.status(self.loop.clock())
        metrics = self._metrics
        metrics.revision.set(status.revision)
        metrics.age.set(status.age_ms / 1000 if status.age_ms >= 0 else -1)
        metrics.refused.set(status.refused is not None)
        if self.relay is not None:
            metrics.subscribers.set(len(self.relay.records))

    def close(self) -> None:
        """Redirect the subscribers to another relay, and stop."""
        self._step_relay([Close()])
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()


class _Metrics:
    """The Prometheus metrics."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, about: str) -> Gauge:
            return Gauge(f"quincepath_configuration_{name}", about, registry=registry)

        self.revision = gauge("revision", "Revision of the distributed configuration in force here")
        self.age = gauge("age_seconds", "Since a voter confirmed the relay's newest revision; -1: no relay")
        self.refused = gauge("refused", "1 while this broker refuses a revision (NACK)")
        self.subscribers = gauge("subscribers", "Brokers that this member's relay serves")
        self.events = Counter(
            "quincepath_configuration_events", "Events of subscriber and relay, by kind", ["kind"],
            registry=registry,
        )  # fmt: skip


def build_distribution(
    config: Config,
    entry: FleetEntry,
    section: DistributionEntry,
    replicated_log: ReplicatedLog,
    edge: Transport,
    boot: int,
    seed: int,
    expected_brokers: Callable[[], int],
    dropped: Callable[[str], None],
    log: Any,
    registry: CollectorRegistry,
) -> Distribution:
    """Build the distribution from the components of a member."""
    rules = Rules(frozenset(frozenset(names) for names in config.shards.sets().values()))
    members = frozenset({entry.member, *(peer.name for peer in entry.peers)})
    ports = Ports(
        send=edge.send_log_message,
        history=lambda: replicated_log.machine.configuration,
        age=replicated_log.staleness_ns,
        voters=lambda: replicated_log.voters,
        expected_brokers=expected_brokers,
        dropped=dropped,
    )
    validator = ChangeValidator(rules, members)
    return Distribution(entry, section, validator, replicated_log.loop, boot, seed, ports, log, registry)


def route_messages(
    log: Callable[[bytes], None], distribution: Callable[[bytes], None]
) -> Callable[[bytes], None]:
    """Split the messages of one connection: those of the distribution begin with ``MARK``."""

    def receive(data: bytes) -> None:
        if data.startswith(MARK):
            distribution(data)
        else:
            log(data)

    return receive
