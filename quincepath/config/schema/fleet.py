"""A broker as a member of a fleet: peers, voters of the log, and how many members may be out at once."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, Field, model_validator

from quincepath.config.schema.base import MS, SECOND, Model, Name, Port
from quincepath.config.schema.distribution import DistributionEntry
from quincepath.config.schema.load_sharing import LedgerEntry, OverloadEntry
from quincepath.config.schema.members import MemberName
from quincepath.config.schema.topology import TopologyEntry
from quincepath.config.values import Duration, Share


def _check_peer_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("expected ADDRESS:PORT with an IPv4 address")
    return value


class PeerEntry(Model):
    """Another broker: its name in the fleet and its address for datagrams and connections."""

    name: MemberName
    address: Annotated[str, AfterValidator(_check_peer_address)]

    @property
    def socket_address(self) -> tuple[str, int]:
        """The address as a socket takes it."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


class LimitEntry(Model):
    """How many may be out at once: a number, a share of those configured, or the smaller of both."""

    number: int | None = Field(None, ge=0)
    share: Share | None = None
    least: int = Field(1, ge=0)  # minimum that a share allows


class KindLimits(Model):
    """Limits of one kind. ``ready_least``: holders of each replica set that must stay ready and warm."""

    total: LimitEntry = LimitEntry(number=1)
    zone: LimitEntry = LimitEntry(number=1)
    ready_least: int = Field(1, ge=0)


class FleetLimits(Model):
    """How many members may be out at once, for any reason."""

    brokers: KindLimits = KindLimits()
    holders: KindLimits = KindLimits()


class FleetEntry(Model):
    """This broker as a member of a fleet. ``peers`` may include this member, so that all can use one list."""

    name: MemberName
    member: MemberName
    host: Name = "127.0.0.1"
    port: Port = 0
    peers: list[PeerEntry] = Field(max_length=1000)
    keepers: list[MemberName] = []  # voters of the log of permits and drains; equal on all. Empty: none
    store: Name | None = None  # folder of this voter's store, relative to the file
    limits: FleetLimits = FleetLimits()
    overdue: Duration = 3600 * SECOND  # until an unfinished drain halts all further grants
    join: list[MemberName] = []  # contacted first; if none answers, any peer
    period: Duration = 500 * MS  # between probes
    ack_time: Duration = 150 * MS  # until indirect probes are requested
    floor: Duration = 1500 * MS  # minimum time from suspicion to death
    exchange: Duration = 10 * SECOND  # between exchanges of whole views
    reclaim: Duration = 600 * SECOND  # until dead members are forgotten
    settle: Duration = 3 * SECOND  # time without a change until the view may count as settled
    ledger: LedgerEntry | None = None  # absent: brokers exchange no load reports
    overload: OverloadEntry | None = None  # absent: each broker sheds on its own
    topology: TopologyEntry | None = None  # absent: the configured shard map stays
    configuration: DistributionEntry | None = None  # absent: only the files define the configuration

    @model_validator(mode="after")
    def _check_values(self) -> "FleetEntry":
        names = [peer.name for peer in self.peers]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(f"peers: {duplicates[0]!r} is listed twice")
        others = [peer for peer in self.peers if peer.name != self.member]
        addresses: dict[str, str] = {}
        for peer in others:
            if peer.address in addresses:
                raise ValueError(f"peers {addresses[peer.address]!r} and {peer.name!r} share {peer.address}")
            addresses[peer.address] = peer.name
        unknown = sorted(set(self.join) - set(names))
        if unknown:
            raise ValueError(f"join: {unknown[0]!r} is none of the peers")
        self._check_keepers({*names, self.member})
        if self.overload is not None and self.ledger is None:
            raise ValueError("overload: expected ledger beside it: its figures come from there")
        if self.topology is not None and not self.keepers:
            raise ValueError("topology: expected keepers beside it: a shard map is adopted through their log")
        if self.configuration is not None:
            self._check_relays(self.configuration, {*names, self.member})
        if not 10 * MS <= self.ack_time <= self.period // 2:
            raise ValueError("expected 10ms <= ack_time <= half of period")
        if self.floor < 2 * self.period:
            raise ValueError("expected a floor of at least two periods: a suspect needs time to refute")
        if min(self.exchange, self.settle) < self.period or self.reclaim < 10 * self.period:
            raise ValueError("expected exchange and settle of at least one period, reclaim of at least ten")
        return self

    def _check_keepers(self, known: set[str]) -> None:
        if len(self.keepers) not in (0, 1, 3, 5, 7) or len(set(self.keepers)) < len(self.keepers):
            raise ValueError(
                f"keepers: {len(self.keepers)} names; expected 3, 5 or 7 different ones (1 to try)"
            )
        unknown = sorted(set(self.keepers) - known)
        if unknown:
            raise ValueError(f"keepers: {unknown[0]!r} is neither this member nor one of the peers")
        if (self.member in self.keepers) != (self.store is not None):
            raise ValueError("expected store with a member that is one of the keepers, and with no other")

    def _check_relays(self, entry: DistributionEntry, known: set[str]) -> None:
        if not self.keepers:
            raise ValueError("configuration: expected keepers beside it: changes are committed in their log")
        unknown = sorted({relay.name for relay in entry.relays} - known)
        if unknown:
            raise ValueError(
                f"configuration.relays: {unknown[0]!r} is neither this member nor one of the peers"
            )
        own = [relay.region for relay in entry.relays if relay.name == self.member]
        if own and own[0] != entry.region:
            expected = f"{own[0]!r}, as relays says of {self.member!r}"
            raise ValueError(f"configuration.region: {entry.region!r}; expected {expected}")
