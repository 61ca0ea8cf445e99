"""The schema of a configuration file, validated by pydantic; times are nanoseconds, sizes are bytes.

``Config`` is a whole file and ``Roster`` a list of holders; the model of each section is in the module of its
topic. ``module_settings``, ``registry_limits`` and ``admission_bounds`` convert it for the pure packages.
Invalid input raises pydantic's ``ValidationError`` with the location, the value and what was expected.
"""

from quincepath.config.schema.base import MS, SECOND, Count, HolderUrl, Model, Name, Pattern, Port
from quincepath.config.schema.broker import (
    AsksEntry,
    BrokerEntry,
    LimitsEntry,
    RulesEntry,
    TracesEntry,
    admission_bounds,
    registry_limits,
)
from quincepath.config.schema.classes import ClassEntry, ClassRule
from quincepath.config.schema.distribution import DistributionEntry, NodeListEntry, RelayEntry
from quincepath.config.schema.fleet import (
    FleetEntry,
    FleetLimits,
    KindLimits,
    LimitEntry,
    PeerEntry,
)
from quincepath.config.schema.holders import (
    Holder,
    Roster,
    ShardEntry,
    Shards,
    check_distinct,
    check_holders,
)
from quincepath.config.schema.listeners import Listen, MetricsListen
from quincepath.config.schema.load_sharing import FairEntry, LedgerEntry, OverloadEntry, TenantEntry
from quincepath.config.schema.members import MemberName
from quincepath.config.schema.module import module_kind, module_settings
from quincepath.config.schema.root import Config, config_as_dict, zone_positions

__all__ = [
    "MS",
    "SECOND",
    "AsksEntry",
    "BrokerEntry",
    "ClassEntry",
    "ClassRule",
    "Config",
    "Count",
    "DistributionEntry",
    "FairEntry",
    "FleetEntry",
    "FleetLimits",
    "Holder",
    "HolderUrl",
    "KindLimits",
    "LedgerEntry",
    "LimitEntry",
    "LimitsEntry",
    "Listen",
    "MemberName",
    "MetricsListen",
    "Model",
    "Name",
    "NodeListEntry",
    "OverloadEntry",
    "Pattern",
    "PeerEntry",
    "Port",
    "RelayEntry",
    "Roster",
    "RulesEntry",
    "ShardEntry",
    "Shards",
    "TenantEntry",
    "TracesEntry",
    "admission_bounds",
    "registry_limits",
    "check_distinct",
    "check_holders",
    "module_kind",
    "module_settings",
    "config_as_dict",
    "zone_positions",
]
