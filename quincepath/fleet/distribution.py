"""The configuration's distribution on one member: its subscriber, its relay and its sums, on the one loop.

Moves messages, time and the news of the log to the pure parts (``fleet/configuration``) and carries out what
they say. A member that relays serves itself, too; such messages take a turn of the loop and no connection.
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

FEED_INTERVAL_NS = 500 * MS  # between words of the log to the relay while nothing is new
MIN_STEP_NS = MS  # between steps by the clock
METRICS_INTERVAL_NS = 1000 * MS  # between looks at the figures
MAX_LOGGED_EDITS = 5  # names of a revision in its log line
WARNINGS = frozenset({EventKind.RELAY_LEFT, EventKind.SUBSCRIBER_GONE, EventKind.TABLE_FULL})
ERRORS = frozenset({EventKind.REVISION_REFUSED, EventKind.SNAPSHOT_FAILED})


@dataclass(slots=True, frozen=True)
class Ports:
    """What the member does for it. ``age``: ns since the newest entry here was known to be the newest."""

    send: Callable[[str, bytes], None]
    history: Callable[[], History]
    age: Callable[[], int]
    voters: Callable[[], Sequence[str]]
    expected_brokers: Callable[[], int]  # brokers that should be subscribed
    dropped: Callable[[str], None]


class Distribution:
    """``on_apply`` gets the edits of each revision, in one turn; they were checked before."""

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
        self._figures = _Figures(registry)
        self._look()
        self._feed_again()
        self._arm()

    # --- messages ---

    def receive(self, data: bytes, own: bool = False) -> None:
        """A message of another member; ``own``: of this one."""
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
                    self._hear(data, own)
                case _:
                    raise Rejected("unknown kind")
        except Rejected as error:
            self.ports.dropped(error.cause)

    def _hear(self, data: bytes, own: bool) -> None:
        """A relay's summary."""
        envelope, body = unpack(data, self.entry.name, self.entry.member, own)
        if not isinstance(body, Summary) or envelope.sender not in self._relay_names:
            raise Rejected("unknown kind")
        self.summaries.record(envelope.sender, body, self.loop.clock())

    def on_connection_lost(self, name: str) -> None:
        """The connection to a member ended, or could not be had."""
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
                    self._tell(out)
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
                    self._tell(out)
        self._arm()

    def _report(self, summary: Summary) -> None:
        raw, me = encode_body(summary), self.entry
        for keeper in self.ports.voters():
            self._send(keeper, pack(me.name, me.member, self.boot, keeper, raw))

    def _tell(self, event: Event) -> None:
        say = self.log.info
        if event.kind in WARNINGS:
            say = self.log.warning
        elif event.kind in ERRORS:
            say = self.log.error
        say(f"configuration: {event.kind}", cause=event.text)
        self._figures.events.labels(event.kind).inc()

    def _arm(self) -> None:
        """One timer for both."""
        due = self.subscriber.due if self.relay is None else min(self.subscriber.due, self.relay.due)
        due = max(due, self.loop.clock() + MIN_STEP_NS)
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, self._due)

    def _due(self) -> None:
        self._step_subscriber([])
        self._step_relay([])

    # --- the log ---

    def feed(self) -> None:
        """Tell the relay what this member knows of the log."""
        if self.relay is not None:
            news = relay_update(self.ports.history(), self.relay.log.newest, self.ports.age())
            self._step_relay([news])

    def _feed_again(self) -> None:
        if not self._closed:
            self.loop.call_in(FEED_INTERVAL_NS, self._feed_again)
            self.feed()

    def refusal(self, command: ChangeConfiguration) -> str:
        """Why this member as leader does not propose a change; empty where it does."""
        history = self.ports.history()
        try:
            change = decode_change(command.change)
        except ChangeError as error:
            return str(error)
        if history.recorded_answer(change) is not None:
            return ""  # a repeat: its answer stands
        edits = history.resolve_edits(change)
        found = history.table.faults(edits, self.validator.rules) or self.validator.faults(edits)
        return summarise_faults(found or self.validator.leader_faults(history.table.values, edits))

    # --- for people ---

    def fleet_status(self) -> FleetStatus:
        """The sums of all relays' summaries; of use on a keeper only."""
        now = self.loop.clock()
        subscriber = self.subscriber
        told = [summary.newest for _, summary in self.summaries.newest_of.values()]
        # This keeper's log may be behind what its own broker already has in force.
        here = (self.ports.history().revision, subscriber.applier.revision, subscriber.chooser.newest)
        newest = max([*here, *told])
        return self.summaries.status(newest, self.ports.expected_brokers(), now)

    def status_page(self) -> dict[str, Any]:
        """``fleet``: of all brokers, on a keeper; null elsewhere. ``own``: of this broker."""
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
        """Committed resources as this member knows them; one where it is named, None where it is absent."""
        history = self.ports.history()
        values = history.table.values
        if name and name not in values:
            return None
        names = [name] if name else sorted(values)
        resources = {one: msgspec.msgpack.decode(values[one]) for one in names}
        return {"revision": history.revision, "resources": resources}

    def _look(self) -> None:
        if self._closed:
            return
        self.loop.call_in(METRICS_INTERVAL_NS, self._look)
        status = self.subscriber.status(self.loop.clock())
        figures = self._figures
        figures.revision.set(status.revision)
        figures.age.set(status.age_ms / 1000 if status.age_ms >= 0 else -1)
        figures.refused.set(status.refused is not None)
        if self.relay is not None:
            figures.subscribers.set(len(self.relay.records))

    def close(self) -> None:
        """Subscribers are told to choose another relay."""
        self._step_relay([Close()])
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()


class _Figures:
    """The metrics."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, about: str) -> Gauge:
            return Gauge(f"quincepath_configuration_{name}", about, registry=registry)

        self.revision = gauge("revision", "Revision of the distributed configuration in force here")
        self.age = gauge("age_seconds", "Since a keeper confirmed the relay's newest revision; -1: no relay")
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
    agreed: ReplicatedLog,
    edge: Transport,
    boot: int,
    seed: int,
    expected_brokers: Callable[[], int],
    dropped: Callable[[str], None],
    log: Any,
    registry: CollectorRegistry,
) -> Distribution:
    """Put together from a member's parts."""
    rules = Rules(frozenset(frozenset(names) for names in config.shards.sets().values()))
    members = frozenset({entry.member, *(peer.name for peer in entry.peers)})
    ports = Ports(
        send=edge.send_log_message,
        history=lambda: agreed.machine.configuration,
        age=agreed.staleness_ns,
        voters=lambda: agreed.voters,
        expected_brokers=expected_brokers,
        dropped=dropped,
    )
    validator = ChangeValidator(rules, members)
    return Distribution(entry, section, validator, agreed.loop, boot, seed, ports, log, registry)


def route_messages(
    log: Callable[[bytes], None], distribution: Callable[[bytes], None]
) -> Callable[[bytes], None]:
    """One connection carries both: messages of the distribution begin with their mark."""

    def receive(data: bytes) -> None:
        if data.startswith(MARK):
            distribution(data)
        else:
            log(data)

    return receive
