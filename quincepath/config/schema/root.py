"""A whole configuration file and values derived from it."""

from typing import Any

from pydantic import Field, model_validator

from quincepath.config.schema.base import MS, Model, Name
from quincepath.config.schema.broker import AsksEntry, BrokerEntry, LimitsEntry, RulesEntry, TracesEntry
from quincepath.config.schema.classes import ClassEntry
from quincepath.config.schema.fleet import FleetEntry
from quincepath.config.schema.holders import Holder, Shards, check_distinct, check_holders
from quincepath.config.schema.listeners import Listen, MetricsListen
from quincepath.config.schema.load_sharing import TenantEntry
from quincepath.config.values import Duration


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
    tenants: list[TenantEntry] = Field([], max_length=1000)  # those whose weight is not 1
    timeout_header: Name = "X-Quincepath-Timeout"
    repeat_header: Name = "Retry-Attempt"

    @model_validator(mode="after")
    def _check_values(self) -> "Config":
        if bool(self.holders) == bool(self.roster):
            raise ValueError("expected either holders or roster, one of them")
        names = [entry.name for entry in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("two classes share a name")
        tenants = [entry.name for entry in self.tenants]
        if len(set(tenants)) < len(tenants):
            raise ValueError("two tenants share a name")
        if self.fleet is not None and self.fleet.keepers:
            members = {self.fleet.member, *(peer.name for peer in self.fleet.peers)}
            duplicates = sorted(members & {holder.name for holder in self.holders})
            if duplicates:
                raise ValueError(
                    f"{duplicates[0]!r} names a broker and a holder: permits identify members by name"
                )
        check_distinct(self.holders)
        check_holders(self.shards, self.holders)
        return self


def zone_positions(config: Config, holders: list[Holder]) -> dict[str, int]:
    """Positions of zones: the zone of this broker first, the rest sorted by name."""
    names = {holder.zone for holder in [*config.holders, *holders]} - {config.broker.zone}
    return {name: position for position, name in enumerate([config.broker.zone, *sorted(names)])}


def config_as_dict(config: Config) -> dict[str, Any]:
    """The configuration with defaults filled in, for display; times in nanoseconds."""
    return config.model_dump()
