"""A broker as a member of a fleet: peers, keepers, and how many may be out at once."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, Field, model_validator

from quincepath.config.schema.base import MS, SECOND, Model, Name, Port
from quincepath.config.schema.distribution import DistributionEntry
from quincepath.config.schema.load_sharing import LedgerEntry, OverloadEntry
from quincepath.config.schema.members import MemberName
from quincepath.config.schema.topology import TopologyEntry
from quincepath.config.values import Duration, Share


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


class PeerEntry(Model):
    """Another broker: its name in the fleet, and where it hears datagrams and takes connections."""

    name: MemberName
    address: Annotated[str, AfterValidator(_peer_address)]

    @property
    def socket_address(self) -> tuple[str, int]:
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
    ledger: LedgerEntry | None = None  # absent: brokers tell each other nothing of their load
    overload: OverloadEntry | None = None  # absent: each broker alone
    topology: TopologyEntry | None = None  # absent: the configured shard map stays
    configuration: DistributionEntry | None = None  # absent: the files alone say what is in force

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
        if self.overload is not None and self.ledger is None:
            raise ValueError("overload: expected ledger beside it: its figures come from there")
        if self.topology is not None and not self.keepers:
            raise ValueError("topology: expected keepers beside it: a shard map is adopted through their log")
        if self.configuration is not None:
            self._sound_relays(self.configuration, {*names, self.member})
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

    def _sound_relays(self, entry: DistributionEntry, known: set[str]) -> None:
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
