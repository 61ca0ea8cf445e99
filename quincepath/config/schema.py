"""The shape of a configuration file, checked by pydantic; times are nanoseconds, sizes bytes."""

import ipaddress
from typing import Annotated, Any, Literal
from urllib.parse import urlsplit

import re2
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from quincepath.asks.book import BookLimits
from quincepath.config.values import Duration, Share, Size
from quincepath.interface import Effect, Limits, QueryClass, Rules, Settings
from quincepath.limits.admission import AdmissionBounds

MS = 1_000_000
SECOND = 1000 * MS
Name = Annotated[str, Field(min_length=1, max_length=200)]
Port = Annotated[int, Field(ge=0, le=65535, strict=True)]
Count = Annotated[int, Field(ge=1, strict=True)]


def _pattern(value: str) -> str:
    options = re2.Options()
    options.log_errors = False
    try:
        re2.compile(value, options)
    except re2.error as error:
        raise ValueError(f"expected an RE2 expression: {error}") from None
    return value


def _holder_url(value: str) -> str:
    parts = urlsplit(value)
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme != "http" or not parts.hostname or not port:
        raise ValueError("expected http://ADDRESS:PORT/PATH")
    try:
        ipaddress.IPv4Address(parts.hostname)
    except ValueError:
        raise ValueError("expected an IPv4 address in the URL: names are not resolved here") from None
    return value


Pattern = Annotated[str, AfterValidator(_pattern)]
HolderUrl = Annotated[str, AfterValidator(_holder_url)]


class Model(BaseModel):
    """Unknown keys are refused: a misspelt setting must not silently keep its default."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(Model):
    """The remote read front's listener and what one client connection may use."""

    host: Name = "127.0.0.1"
    port: Port = 0
    path: str = Field("/api/v1/read", pattern="^/")
    max_connections: Count = 2000
    max_connections_per_address: int = Field(0, ge=0)  # 0: no bound of its own
    max_headers: Size = 32 * 1024
    max_body: Size = 4 << 20
    idle_timeout: Duration = 60 * SECOND
    request_timeout: Duration = 10 * SECOND  # from a request's first byte to its last
    write_timeout: Duration = 30 * SECOND  # without the client taking a byte


class MetricsListen(Model):
    """Where the metrics page is served."""

    host: Name = "127.0.0.1"
    port: Port = 0


class ShardEntry(Model):
    """One shard: the values of the shard label that it holds. Shards of one ``set`` have the same holders."""

    name: Name
    values: list[Name] = Field(min_length=1)
    set: Name | None = None


class Shards(Model):
    """How queries are cut. ``unlabelled`` says which shards may hold series without the shard label."""

    label: Name
    unlabelled: Literal["everywhere", "nowhere"] = "everywhere"
    map: list[ShardEntry] = Field(min_length=1)

    @model_validator(mode="after")
    def _distinct(self) -> "Shards":
        names: set[str] = set()
        values: dict[str, str] = {}
        for entry in self.map:
            if entry.name in names:
                raise ValueError(f"shard {entry.name!r} stands twice")
            names.add(entry.name)
            for value in entry.values:
                if value in values:
                    raise ValueError(f"value {value!r} is in shards {values[value]!r} and {entry.name!r}")
                values[value] = entry.name
        return self

    def sets(self) -> dict[str, list[str]]:
        """Names of the shards of each replica set, in the file's order."""
        found: dict[str, list[str]] = {}
        for entry in self.map:
            found.setdefault(entry.set or entry.name, []).append(entry.name)
        return found


class Holder(Model):
    """One holder, in the configuration or in a roster file. ``started`` is seconds since the epoch."""

    name: Name
    url: HolderUrl
    zone: str = ""
    shards: list[Name] = Field(min_length=1)
    phase: Literal["ready", "draining", "gone"] = "ready"
    started: float | None = Field(None, ge=0)


class Roster(Model):
    """A roster file: all holders now. ``version`` should grow with each change."""

    version: int = Field(0, ge=0)
    holders: list[Holder]

    @model_validator(mode="after")
    def _distinct(self) -> "Roster":
        check_distinct(self.holders)
        return self


def check_distinct(holders: list[Holder]) -> None:
    """Raises ``ValueError`` where two holders share a name or an address."""
    seen: dict[str, str] = {}
    for holder in holders:
        address = urlsplit(holder.url).netloc
        for what, key in (("name", holder.name), ("address", address)):
            if f"{what} {key}" in seen:
                raise ValueError(
                    f"holders {seen[f'{what} {key}']!r} and {holder.name!r} share the {what} {key}"
                )
            seen[f"{what} {key}"] = holder.name


class ClassRule(Model):
    """True of a query that has a matcher of this label and type whose value the expression matches whole."""

    label: Name
    type: Literal["EQ", "NEQ", "RE", "NRE", "any"] = "EQ"
    value: Pattern = ".*"


class ClassEntry(Model):
    """One class of query. ``recent`` cuts a longer time range into two steps, the newest part first."""

    name: Name
    when: list[ClassRule] = []
    target: Duration
    deadline: Duration
    need: Share = 1.0
    floor: Share | None = None
    late_worth: Share = 0.3
    worth: Share = 1.0  # against other classes, when much is open
    recent: Duration = 0

    @model_validator(mode="after")
    def _sound(self) -> "ClassEntry":
        if not 0 < self.target <= self.deadline:
            raise ValueError("expected 0 < target <= deadline")
        if not 0 < self.need or (self.floor is not None and not 0 < self.floor <= self.need):
            raise ValueError("expected 0 < floor <= need <= 1")
        return self


class LimitsEntry(Model):
    """What a broker may do at most."""

    attempts: int = Field(3, ge=1, le=16)
    second_copies: bool = True
    batch: int = Field(1, ge=1, le=64)
    connect_timeout: Duration = 250 * MS
    idle_close: Duration = 15 * SECOND
    connections_per_holder: Count = 32
    max_retry_after: Duration = 10 * SECOND
    max_open: Count = 4000  # queries and parts held at once
    max_asks: Count = 4000  # queries held at once
    max_bytes: Size = 1 << 30  # of requests and expected answers held at once
    max_memory: Size = 0  # bytes resident at which nothing new is taken; 0: not watched
    max_answer: Size = 64 << 20  # bytes of one holder's answer, decompressed
    max_merged: Size = 128 << 20  # bytes of one merged answer, before compression
    max_queries: int = Field(64, ge=1, le=4096)  # queries in one request


class RulesEntry(Model):
    """The figures of the rules."""

    drain_grace: Duration = 500 * MS
    cold_share: Share = 0.2
    ramp_time: Duration = 16 * SECOND
    fall_multiple: float = Field(2.0, gt=0)
    overload_for: Duration = 2 * SECOND
    budget_window: Duration = 0
    budget_free: float = Field(0.0, ge=0)
    budget_ratio: float = Field(0.0, ge=0)


class TracesEntry(Model):
    """Where spans are written (JSON lines, appended to), and which share of the sound ones is kept."""

    file: Name | None = None
    share: Share = 0.01


class AsksEntry(Model):
    """Which requests are tries of one ask. Of several headers, the first that is there counts."""

    key_headers: list[Name] = ["Idempotency-Key"]  # vouched for: one body a key
    id_headers: list[Name] = ["X-Request-Id"]  # an id may come again with another body: another ask
    scope_header: Name = "X-Scope-OrgID"  # asks of different scopes are never one
    remember: Duration = 10 * SECOND  # a marked ask's answer, for tries that come after it
    most_remembered: Count = 10_000
    most_bytes: Size = 64 << 20  # of remembered answers
    linger: Duration = 300 * MS  # a marked ask runs on for a retry when its last client has gone
    most_tries: Count = 64  # that wait for one ask
    unmarked_within: Duration = 0  # equal bodies of one address so soon are tries of one ask; 0: never
    share_equal: bool = True  # equal requests in flight are run once


class BrokerEntry(Model):
    """This broker among its peers. ``tick`` is the reserve for carrying an answer to its client."""

    number: int = Field(0, ge=0)
    brokers: Count = 1
    zone: str = ""
    seed: int = 0
    tick: Duration = 5 * MS
    cross_zone_charge: float = Field(0.0, ge=0)
    call_work: Duration = 0

    @model_validator(mode="after")
    def _one_of(self) -> "BrokerEntry":
        if self.number >= self.brokers:
            raise ValueError(f"expected number below brokers ({self.brokers})")
        return self


def _peer_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        sound = 0 < int(port) < 65536
    except ValueError:
        sound = False
    if not sound:
        raise ValueError("expected ADDRESS:PORT with an IPv4 address")
    return value


MemberName = Annotated[str, Field(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class PeerEntry(Model):
    """Another broker: its name in the fleet, and where it hears datagrams and takes connections."""

    name: MemberName
    address: Annotated[str, AfterValidator(_peer_address)]

    @property
    def place(self) -> tuple[str, int]:
        """For a socket."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


class LimitEntry(Model):
    """Most that may be out at once: a number, a share of those configured, or the smaller of both."""

    number: int | None = Field(None, ge=0)
    share: Share | None = None
    least: int = Field(1, ge=0)  # that a share allows at least


class KindLimits(Model):
    """Of one kind. ``ready_least``: holders of each replica set that must stay ready and warm."""

    total: LimitEntry = LimitEntry(number=1)
    zone: LimitEntry = LimitEntry(number=1)
    ready_least: int = Field(1, ge=0)


class FleetLimits(Model):
    """How many may be out at once, for whatever reason."""

    brokers: KindLimits = KindLimits()
    holders: KindLimits = KindLimits()


class FleetEntry(Model):
    """This broker as a member of a fleet. ``peers`` may name this member, too: one list may serve for all."""

    name: MemberName
    member: MemberName
    host: Name = "127.0.0.1"
    port: Port = 0
    peers: list[PeerEntry] = Field(max_length=1000)
    keepers: list[MemberName] = []  # of the log of permits and drains; the same list on all. Empty: none
    store: Name | None = None  # folder of this keeper's store, beside the file
    limits: FleetLimits = FleetLimits()
    overdue: Duration = 3600 * SECOND  # until a drain that is not over halts everything
    join: list[MemberName] = []  # asked first; any peer, where these do not answer
    period: Duration = 500 * MS  # between probes
    ack_time: Duration = 150 * MS  # until others are asked to probe as well
    floor: Duration = 1500 * MS  # least time from suspicion to death
    exchange: Duration = 10 * SECOND  # between comparisons of whole views
    reclaim: Duration = 600 * SECOND  # until the dead are no longer told of
    settle: Duration = 3 * SECOND  # without a change, until the view may be called settled

    @model_validator(mode="after")
    def _sound(self) -> "FleetEntry":
        names = [peer.name for peer in self.peers]
        doubled = sorted({name for name in names if names.count(name) > 1})
        if doubled:
            raise ValueError(f"peers: {doubled[0]!r} stands twice")
        others = [peer for peer in self.peers if peer.name != self.member]
        addresses: dict[str, str] = {}
        for peer in others:
            if peer.address in addresses:
                raise ValueError(f"peers {addresses[peer.address]!r} and {peer.name!r} share {peer.address}")
            addresses[peer.address] = peer.name
        unknown = sorted(set(self.join) - set(names))
        if unknown:
            raise ValueError(f"join: {unknown[0]!r} is none of the peers")
        self._sound_keepers({*names, self.member})
        if not 10 * MS <= self.ack_time <= self.period // 2:
            raise ValueError("expected 10ms <= ack_time <= half of period")
        if self.floor < 2 * self.period:
            raise ValueError("expected a floor of at least two periods: a suspect needs time to refute")
        if min(self.exchange, self.settle) < self.period or self.reclaim < 10 * self.period:
            raise ValueError("expected exchange and settle of at least one period, reclaim of at least ten")
        return self

    def _sound_keepers(self, known: set[str]) -> None:
        if len(self.keepers) not in (0, 1, 3, 5, 7) or len(set(self.keepers)) < len(self.keepers):
            raise ValueError(
                f"keepers: {len(self.keepers)} names; expected 3, 5 or 7 different ones (1 to try)"
            )
        unknown = sorted(set(self.keepers) - known)
        if unknown:
            raise ValueError(f"keepers: {unknown[0]!r} is neither this member nor one of the peers")
        if (self.member in self.keepers) != (self.store is not None):
            raise ValueError("expected store with a member that is one of the keepers, and with no other")


class Config(Model):
    """A whole configuration file."""

    broker: BrokerEntry = BrokerEntry()
    listen: Listen = Listen()
    metrics: MetricsListen = MetricsListen()
    shards: Shards
    holders: list[Holder] = []
    roster: str | None = None
    roster_poll: Duration = 100 * MS
    classes: list[ClassEntry] = Field(min_length=1)
    limits: LimitsEntry = LimitsEntry()
    rules: RulesEntry = RulesEntry()
    asks: AsksEntry = AsksEntry()
    traces: TracesEntry = TracesEntry()
    fleet: FleetEntry | None = None
    timeout_header: Name = "X-Quincepath-Timeout"
    repeat_header: Name = "Retry-Attempt"

    @model_validator(mode="after")
    def _sound(self) -> "Config":
        if bool(self.holders) == bool(self.roster):
            raise ValueError("expected either holders or roster, one of them")
        names = [entry.name for entry in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("two classes share a name")
        check_distinct(self.holders)
        check_holders(self.shards, self.holders)
        return self


def check_holders(shards: Shards, holders: list[Holder]) -> None:
    """Raises ``ValueError`` where a holder's shards are not those of one replica set."""
    sets = {frozenset(names) for names in shards.sets().values()}
    for holder in holders:
        if frozenset(holder.shards) not in sets:
            wanted = " or ".join("+".join(names) for names in shards.sets().values())
            raise ValueError(
                f"holder {holder.name!r} has shards {'+'.join(holder.shards)}; expected a whole set: {wanted}"
            )


def book_limits(asks: AsksEntry, tick: int) -> BookLimits:
    """What the book of asks and tries is bound to."""
    return BookLimits(
        remember=asks.remember,
        most_remembered=asks.most_remembered,
        most_bytes=asks.most_bytes,
        linger=asks.linger,
        most_tries=asks.most_tries,
        reserve=tick,
    )


def admission_bounds(limits: LimitsEntry) -> AdmissionBounds:
    """What admission is bound to."""
    return AdmissionBounds(limits.max_asks, limits.max_open, limits.max_bytes, limits.max_retry_after)


def zones(config: Config, more: list[Holder]) -> dict[str, int]:
    """Positions of zone names: this broker's first, the rest by name."""
    names = {holder.zone for holder in [*config.holders, *more]} - {config.broker.zone}
    return {name: at for at, name in enumerate([config.broker.zone, *sorted(names)])}


def module_kind(config: Config, index: int, two_steps: bool) -> int:
    """The module's position of a class: itself, or its twin without a second step."""
    if two_steps or not config.classes[index].recent:
        return index
    twins = [at for at, entry in enumerate(config.classes) if entry.recent]
    return len(config.classes) + twins.index(index)


def module_settings(config: Config) -> Settings:
    """The module's settings. Each replica set is one cell; all classes of remote read are safe to repeat.

    A class with a second step stands twice, the twins without one at the end: for a query of a short time
    range. The module keeps back time for a second step and gives a query up when none is left for it; a
    query that has none must not be held to that, nor its latencies be mixed with those that have.
    """
    broker, limits, rules = config.broker, config.limits, config.rules
    both = [(entry, bool(entry.recent)) for entry in config.classes]
    both += [(entry, False) for entry in config.classes if entry.recent]
    return Settings(
        me=broker.number,
        instances=broker.brokers,
        zone=0,
        tick=broker.tick,
        cells=len(config.shards.sets()),
        reach=1,
        must_ask=False,
        cross_zone_charge=broker.cross_zone_charge,
        call_work=broker.call_work,
        classes=tuple(
            QueryClass(
                name=entry.name,
                target=entry.target,
                deadline=entry.deadline,
                effect=Effect.SAFE,
                window=0,
                late_worth=entry.late_worth,
                need=entry.need,
                floor=entry.need if entry.floor is None else entry.floor,
                second_step=int(two_steps),
            )
            for entry, two_steps in both
        ),
        limits=Limits(
            attempts=limits.attempts,
            cancel=True,
            duplicate=limits.second_copies,
            retry_after=True,
            max_retry_after=limits.max_retry_after,
            connect_timeout=limits.connect_timeout,
            idle_close=limits.idle_close,
            batch=limits.batch,
        ),
        rules=Rules(
            cold_share=rules.cold_share,
            ramp_time=rules.ramp_time,
            fall_multiple=rules.fall_multiple,
            overload_for=rules.overload_for,
            must_ask_in=0,
            budget_window=rules.budget_window,
            budget_free=rules.budget_free,
            budget_ratio=rules.budget_ratio,
        ),
    )


def plain(config: Config) -> dict[str, Any]:
    """The configuration with defaults filled in, for showing; times in nanoseconds."""
    return config.model_dump()
