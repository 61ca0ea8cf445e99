"""Schema of incident scripts: fleet, traffic and troubles of a rehearsal, in YAML."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from quincepath.config.schema import MS, SECOND, AsksEntry, LimitsEntry, Model, Name, RulesEntry
from quincepath.config.values import Duration, Share

TroubleKind = Literal[
    "hang", "silence", "slow", "pauses", "lost_answers", "errors", "class_errors", "ageing", "restart",
    "kill", "zone_loss", "list_late", "list_frozen", "deploy", "preemption", "flapping", "broker_stall",
    "broker_crash", "burst", "heavy_tail", "poison", "slow_handshakes", "one_sided", "impatience",
    "retry_storm", "slowdown", "drain",
]  # fmt: skip
Selection = Annotated[list[Name], Field(min_length=1)] | Share


class MachineKind(Model):
    """A kind of machine; ``share`` is its weight among the holders."""

    name: Name = "std"
    share: float = Field(1.0, gt=0)
    cores: int = Field(2, ge=1, le=256)
    speed: float = Field(1.0, gt=0)


class FleetEntry(Model):
    """Replica sets, whose holders hold the same shards and are spread over zones."""

    sets: int = Field(3, ge=1, le=200)
    replicas: int = Field(2, ge=1, le=10)
    shards: int = Field(2, ge=1, le=50)  # of each set
    zones: list[Name] = ["upper", "lower"]
    kinds: list[MachineKind] = [MachineKind()]
    room: int = Field(64, ge=1)
    table: int = Field(1000, ge=1)
    connect_work: Duration = 200_000
    cold: Share = 0.2
    ramp: Duration = 10 * SECOND
    drop_cancelled: bool = True

    @property
    def holders(self) -> int:
        """Number of holders."""
        return self.sets * self.replicas


class TrafficClass(Model):
    """A query class and the cost of its parts. ``parts``: least and most shards that a query touches."""

    name: Name
    share: float = Field(gt=0)
    parts: tuple[int, int] = (1, 4)
    work: Duration
    spread: float = Field(0.4, ge=0, le=3)  # of the work: sigma of a log-normal distribution
    target: Duration
    deadline: Duration
    need: Share = 1.0
    floor: Share | None = None
    late_worth: Share = 0.3
    worth: Share = 1.0
    second_step: bool = False


class Traffic(Model):
    """The clients of all brokers. ``rate`` is new queries per second."""

    rate: float = Field(gt=0, le=20_000)
    retries: int = Field(2, ge=0, le=10)
    wait: Duration = 200 * MS  # before the first retry, doubled each time
    patience: tuple[float, float] = (0.6, 1.0)  # share of the deadline until a try is given up
    honour: Share = 0.8  # share of clients that follow Retry-After
    marks: bool = True  # all tries of a client carry the same idempotency key
    # Share of clients that send their timeout; for the others the broker uses the deadline of the class.
    tell: Share = 1.0
    # Queries are assigned to desks in turn; admission sees each desk as a client.
    desks: int = Field(1, ge=1, le=1000)


class Network(Model):
    """One-way delays; ``jitter`` is the mean of an exponential addition, as a share of the delay."""

    same_zone: Duration = 200_000
    cross_zone: Duration = MS
    jitter: float = Field(0.2, ge=0)


class Discovery(Model):
    """Lag of each broker's member list: drawn between the two values."""

    lag: tuple[Duration, Duration] = (300 * MS, 900 * MS)


class TroubleEntry(Model):
    """One trouble. ``holders`` and ``brokers``: names, or a share drawn by the seed. Other fields depend on
    the kind: ``share`` of jobs, answers or queries, ``times`` is a factor, ``every`` a period."""

    kind: TroubleKind
    at: Duration
    last: Duration = 5 * SECOND
    holders: Selection = 0.2
    brokers: Selection = 1.0
    share: Share = 1.0
    times: float = Field(4.0, gt=0)
    every: Duration = 3 * SECOND
    pause: Duration = 300 * MS
    of_class: str | None = None
    zone: str | None = None


class Script(Model):
    """The script of one rehearsal."""

    about: str
    seed: int = 1
    length: Duration = 30 * SECOND
    brokers: int = Field(3, ge=1, le=200)
    fleet: FleetEntry = FleetEntry()
    traffic: Traffic
    classes: list[TrafficClass] = Field(min_length=1)
    network: Network = Network()
    discovery: Discovery = Discovery()
    limits: LimitsEntry = LimitsEntry()
    # No runs are shared in virtual time, because drawn queries with equal bytes represent different ones.
    asks: AsksEntry = AsksEntry(share_equal=False)
    rules: RulesEntry = RulesEntry()
    troubles: list[TroubleEntry] = []

    @model_validator(mode="after")
    def _check_consistency(self) -> "Script":
        names = {entry.name for entry in self.classes}
        holders, brokers = set(self.holder_names()), {f"broker{n}" for n in range(self.brokers)}
        max_shards = self.fleet.sets * self.fleet.shards
        for entry in self.classes:
            if not 1 <= entry.parts[0] <= entry.parts[1] <= max_shards:
                raise ValueError(
                    f"class {entry.name!r}: expected 1 <= least <= most parts <= {max_shards} shards"
                )
        for index, trouble in enumerate(self.troubles):
            where = f"troubles[{index}] ({trouble.kind})"
            for known, given in ((holders, trouble.holders), (brokers, trouble.brokers)):
                if isinstance(given, list) and not set(given) <= known:
                    unknown = ", ".join(sorted(set(given) - known))
                    raise ValueError(
                        f"{where}: unknown name {unknown}; known names: {', '.join(sorted(known)[:8])} ..."
                    )
            if trouble.of_class is not None and trouble.of_class not in names:
                raise ValueError(
                    f"{where}: unknown of_class {trouble.of_class!r}; expected {', '.join(sorted(names))}"
                )
            if trouble.kind == "zone_loss" and trouble.zone not in self.fleet.zones:
                raise ValueError(
                    f"{where}: unknown zone {trouble.zone!r}; expected {', '.join(self.fleet.zones)}"
                )
            if trouble.kind in ("class_errors", "heavy_tail", "poison") and trouble.of_class is None:
                raise ValueError(f"{where}: of_class is missing")
            if trouble.at >= self.length:
                raise ValueError(f"{where}: begins at or after the end")
        return self

    def holder_names(self) -> list[str]:
        """Names of all holders; ``s0r0`` is the first replica of the first set."""
        return [f"s{s}r{r}" for s in range(self.fleet.sets) for r in range(self.fleet.replicas)]
