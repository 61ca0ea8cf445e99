"""The broker's fleet membership as an extension, and the store of log voters; loaded with a fleet only."""

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry

from quincepath.broker.driver import Driver
from quincepath.broker.service.extension import Extension
from quincepath.broker.service.holders import Holders
from quincepath.config.schema import Config, FleetEntry, Holder, NodeListEntry, TenantEntry
from quincepath.fleet.configuration.changes import Edit
from quincepath.fleet.configuration.resources import decode_resource, split_name
from quincepath.fleet.consensus.entries import StableState
from quincepath.fleet.consensus.storage import Storage
from quincepath.fleet.service import Fleet
from quincepath.net.client_connection import Exchange
from quincepath.net.loop import Loop

if TYPE_CHECKING:
    from quincepath.broker.fair_pending import FairPendingQueue


def open_voter_store(path: Path, fleet: str, member: str, initial_state: StableState) -> Storage:
    """The on-disk store of a log voter. Raises ``StoreError``."""
    from quincepath.store.consensus import ConsensusStore  # imports LMDB, which only voters need

    return ConsensusStore(path, fleet, member, initial_state)


class FleetExtension(Extension):
    """Reports holders and attempts in flight to the fleet; applies agreed drains to the list of holders."""

    def __init__(
        self,
        config: Config,
        entry: FleetEntry,
        loop: Loop,
        log: Any,
        registry: CollectorRegistry,
        base: Path,
        holders: Holders,
        driver: Driver,
        fair_queue: "FairPendingQueue | None",
    ) -> None:
        self.fleet = Fleet(config, entry, loop, log, registry, base, open_voter_store)
        self.fleet.on_drained = holders.set_drained
        self.fleet.open_parts = lambda: holders.attempts_by_holder(driver)
        self.fleet.zone_name = lambda position: holders.source.zone_name(position)
        self.fleet.holder_infos = lambda: list(holders.source.state.holders.values())
        if self.fleet.distribution is not None:
            self.fleet.distribution.on_apply = lambda edits: apply_edits(edits, holders, fair_queue)

    def handle_request(self, exchange: Exchange) -> bool:
        """Offer a request to the fleet's pages."""
        return self.fleet.request(exchange)

    def drain(self) -> None:
        """Announce to the fleet that this broker is draining."""
        self.fleet.drain()

    def close(self) -> None:
        """Close the fleet."""
        self.fleet.close()


def apply_edits(edits: Sequence[Edit], holders: Holders, fair_queue: "FairPendingQueue | None") -> None:
    """Apply edits of the distributed configuration to nodes and tenants, all within this turn."""
    nodes: dict[str, Holder | None] = {}
    whole: bool | None = None
    for edit in edits:
        kind, name = split_name(edit.name)
        entry = None if edit.new is None else decode_resource(edit.name, edit.new)
        match kind, entry:
            case "node", Holder() | None:
                nodes[name] = entry
            case "list", NodeListEntry() | None:
                whole = entry is None or entry.whole
            case "tenant", TenantEntry() | None:
                if fair_queue is not None:
                    fair_queue.set_weight(name, None if entry is None else entry.weight)
    if nodes or whole is not None:
        holders.distribute(nodes, whole)
