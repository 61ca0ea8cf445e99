"""What one run consists of: members, addresses, zones, and which process runs which member. Pure."""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import Any

import msgspec

from benchmarks.capacity.scale.load import Profile
from quincepath.config.schema import Config, FleetEntry
from quincepath.config.schema.fleet import PeerEntry
from quincepath.lab.demo import ZONES as HOLDER_ZONES
from quincepath.lab.demo import demo_config, shards_entry

FLEET = "scale"
REGIONS = 3
ZONES = 10
VOTERS = 3
PORT = 17_946  # of every member; each has a loopback address of its own
RELAYS_A_REGION_MOST = 5  # so that there are 15, as control machines are planned
BROKERS_A_RELAY = 60
HOSTS_A_BLOCK = 250  # addresses used of each 256


class Mechanism(StrEnum):
    """Parts of the control plane that can be switched on and off."""

    VIEW = "view"
    LEDGER = "ledger"
    LOG = "log"
    CONFIGURATION = "configuration"


class MemberPlan(msgspec.Struct, frozen=True):
    """One broker of the fleet."""

    name: str
    number: int
    zone: str
    region: str
    host: str

    @property
    def place(self) -> tuple[str, int]:
        """Where peers reach it."""
        return self.host, PORT


class Plan(msgspec.Struct, frozen=True):
    """One run. ``block``: second octet of the members' addresses in 127.0.0.0/8."""

    brokers: int
    real: int
    seed: int
    mechanisms: tuple[Mechanism, ...]
    processes: int
    queries: float  # a second, at each broker
    folder: str
    profile: Profile = Profile.DEMO
    block: int = 20
    relayed: bool = False  # a relay stands in front of each real broker, so that its links can fail

    @property
    def members(self) -> list[MemberPlan]:
        """All brokers; the real ones come first."""
        return [self.member(number) for number in range(self.brokers)]

    def member(self, number: int) -> MemberPlan:
        """The broker of a number, from 0."""
        zone = number % ZONES
        high, low = divmod(number, HOSTS_A_BLOCK)
        return MemberPlan(
            name=f"b{number}",
            number=number,
            zone=f"zone-{zone}",
            region=f"region-{zone % REGIONS}",
            host=f"127.{self.block}.{high}.{low + 1}",
        )

    @property
    def voters(self) -> tuple[str, ...]:
        """Who keeps the log; empty with the log off."""
        if Mechanism.LOG not in self.mechanisms:
            return ()
        voters = VOTERS if self.brokers >= VOTERS else 1
        return tuple(f"b{number}" for number in range(voters))

    @property
    def relays(self) -> list[MemberPlan]:
        """Hollow brokers with a relay of the configuration beside them: some of each region, no voter."""
        if Mechanism.CONFIGURATION not in self.mechanisms:
            return []
        each = max(min(self.brokers // BROKERS_A_RELAY, RELAYS_A_REGION_MOST), 1)
        found: dict[str, list[MemberPlan]] = {}
        for one in self.members[self.real :]:
            if one.name not in self.voters:
                found.setdefault(one.region, []).append(one)
        return [one for members in found.values() for one in members[:each]]

    def names_of(self, process: int) -> list[str]:
        """The hollow brokers of one process, from 0: dealt in turn, so that zones and voters are spread."""
        return [f"b{number}" for number in range(self.real + process, self.brokers, self.processes)]


def base_document(plan: Plan, holders: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """A broker's configuration as plain values, without what differs from broker to broker.

    Without ``holders`` there is one for each replica set, at an address where nobody listens: a hollow
    broker sends nothing to it.
    """
    shards = shards_entry()["map"]
    if holders is None:
        sets = sorted({one["set"] for one in shards})
        holders = [
            {
                "name": f"h{number}",
                "url": f"http://127.0.0.1:{number + 1}/api/v1/read",
                "zone": HOLDER_ZONES[0],
                "shards": [one["name"] for one in shards if one["set"] == name],
                "phase": "ready",
            }
            for number, name in enumerate(sets)
        ]
    values = demo_config(0, holders=holders)
    values["broker"] = {"number": 0, "brokers": plan.brokers, "zone": plan.member(0).zone, "seed": plan.seed}
    return values


def fleet_values(plan: Plan, member: MemberPlan, relays: Sequence[MemberPlan]) -> dict[str, Any]:
    """The ``fleet:`` section of one member as plain values, without its peers. ``relays``: the plan's."""
    values: dict[str, Any] = {
        "name": FLEET,
        "member": member.name,
        "host": member.host,
        "port": PORT,
        "join": join_names(plan),
    }
    if Mechanism.LEDGER in plan.mechanisms:
        values["ledger"] = {}
    if plan.voters:
        values["keepers"] = list(plan.voters)
    if member.name in plan.voters:
        values["store"] = f"store-{member.name}"
    if relays:
        named = [{"name": relay.name, "region": relay.region} for relay in relays]
        values["configuration"] = {"region": member.region, "relays": named}
    return values


def join_names(plan: Plan) -> list[str]:
    """Who is asked first by a broker that joins: the square root of the fleet, at least three."""
    many = min(max(math.isqrt(plan.brokers), 3), plan.brokers)
    return [f"b{number}" for number in range(many)]


class Configurations:
    """The configuration of each hollow broker of a run: one is parsed, the others are copies of it.

    The list of peers is shared by all and is not held against the schema's own limit: what a fleet beyond
    that limit does is what a run is to show.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.config = Config.model_validate(base_document(plan))
        self._relays = plan.relays
        self._servers = {*plan.voters, *(one.name for one in self._relays)}
        self.peers = [PeerEntry(name=one.name, address=f"{one.host}:{PORT}") for one in plan.members]

    def broker(self, member: MemberPlan) -> Config:
        """Of one broker, without ``fleet:``."""
        changes = {"number": member.number, "zone": member.zone, "seed": self.plan.seed + member.number}
        return self.config.model_copy(update={"broker": self.config.broker.model_copy(update=changes)})

    def fleet(self, member: MemberPlan) -> FleetEntry:
        """The ``fleet:`` section of one broker."""
        values = fleet_values(self.plan, member, self._relays)
        needed = {*values["join"], *values.get("keepers", ()), *(relay.name for relay in self._relays)}
        few = [peer for peer in self.peers if peer.name in needed]
        entry = FleetEntry.model_validate({**values, "peers": [peer.model_dump() for peer in few]})
        return entry.model_copy(update={"peers": self._known_to(member)})

    def _known_to(self, member: MemberPlan) -> list[PeerEntry]:
        """All; without the view only voters and relays know all, and all know only them."""
        if Mechanism.VIEW in self.plan.mechanisms or member.name in self._servers:
            return self.peers
        return [peer for peer in self.peers if peer.name in self._servers]
