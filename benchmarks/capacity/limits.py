"""Limits in the code that the planned fleet meets, each found by running the real parser or state machine.

A finder builds what the target asks for and sees how much of it is taken. Where only a constant can tell
(a bound that would need thousands of sockets to reach), its ``answer`` says that it was read, not run.
"""

from collections.abc import Callable

from pydantic import ValidationError

from benchmarks.capacity.results import LimitFound
from benchmarks.capacity.site import SECOND, SETS, ZONE_NAMES, configuration, list_body, node_entry
from benchmarks.capacity.target import BROKERS, NODES, NODES_OF_A_ZONE, REGIONS
from quincepath.config.schema.fleet import FleetEntry
from quincepath.fleet.consensus.core import ConsensusSettings, Propose, Received, Voter
from quincepath.fleet.consensus.entries import initial_state
from quincepath.fleet.consensus.messages import LearnerPoll
from quincepath.fleet.forecast.messages import SampleAssembler, SampleMessage
from quincepath.fleet.load_control.failure_attribution import MAX_REPLICA_SETS, FailureShares
from quincepath.fleet.load_reports.load_counter import LoadCounter
from quincepath.fleet.load_reports.member_counts import MAX_MEMBERS as SUMMED_MOST
from quincepath.fleet.load_reports.tree import AggregationTree
from quincepath.fleet.load_reports.types import LoadReportSettings
from quincepath.fleet.messages import (
    MAX_FRAME_BYTES,
    MAX_MEMBERS,
    FullState,
    MemberState,
    Rejected,
    body_of,
    pack,
    unpack,
)
from quincepath.fleet.permits import Permits
from quincepath.fleet.transport import MAX_CONNECTIONS
from quincepath.lab.fleet.script import FleetScript
from quincepath.net.http1 import HttpError, Limits, ResponseReader
from quincepath.platform.descriptors import allocate
from quincepath.platform.discovery import MAX_BODY_BYTES
from quincepath.platform.targets import TargetTable, read_list

VIEW, LOAD, LOG = "fleet view", "load totals", "log followers"
LIST, CONNECT, FORECAST = "node list", "connections to nodes", "forecast of shard maps"
SCRIPTS, REGION = "fault scripts (test tool)", "regions"


def largest(taken: Callable[[int], bool], most: int) -> int:
    """The largest count up to ``most`` that is taken, by halving; 0 where not even one is."""
    low, high = 0, most + 1
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if taken(middle) else (low, middle)
    return low


def broker_names(count: int) -> list[str]:
    """Of the target's fleet."""
    return [f"broker-{number:04}" for number in range(count)]


def _fleet_entry(members: int, **more: object) -> FleetEntry:
    peers = [
        {"name": name, "address": f"10.{at >> 8}.{at & 255}.1:7000"}
        for at, name in enumerate(broker_names(members))
    ]
    return FleetEntry.model_validate({"name": "fleet", "member": "broker-0000", "peers": peers, **more})


def _error_of(call: Callable[[], object]) -> str:
    """What a refusal says, in one line; ``taken`` where there is none."""
    try:
        call()
    except (ValidationError, ValueError, HttpError) as error:
        text = error.errors()[0]["msg"] if isinstance(error, ValidationError) else str(error)
        return " ".join(text.split())[:160]
    return "taken"


def _accepts(call: Callable[[], object]) -> bool:
    return _error_of(call) == "taken"


def _members_configured() -> LimitFound:
    most = largest(lambda count: _accepts(lambda: _fleet_entry(count)), BROKERS)
    said = _error_of(lambda: _fleet_entry(BROKERS))
    return LimitFound(
        "members in a configuration", "config/schema/fleet.py", VIEW, most, BROKERS, "members", said
    )


def _about(name: str, number: int) -> MemberState:
    zone = ZONE_NAMES[number % len(ZONE_NAMES)]
    return MemberState(name, (1 << 61) + number, 3, 1, 0, (), False, zone, "0.2.0", "c41e77d0c41e")


def _full_message(members: int) -> bytes:
    beliefs = tuple(_about(name, number) for number, name in enumerate(broker_names(members)))
    return pack("fleet", "broker-0001", beliefs[0], 1 << 61, 1, FullState(beliefs))


def _full_taken(members: int) -> bool:
    try:
        body_of(unpack(_full_message(members), "fleet", "broker-0001", 1 << 30))
    except Rejected:
        return False
    return True


def _members_exchanged() -> LimitFound:
    most = largest(_full_taken, BROKERS)
    return LimitFound(
        "members in one exchange of views", "fleet/messages.py MAX_MEMBERS", VIEW, most, BROKERS, "members",
        f"dropped as an unknown kind beyond {MAX_MEMBERS}",
    )  # fmt: skip


def _bytes_exchanged() -> LimitFound:
    needed = len(_full_message(BROKERS))
    answer = "whole view of 2,600 fits" if needed <= MAX_FRAME_BYTES else "dropped as too large"
    return LimitFound(
        "bytes of one exchange of views",
        "fleet/messages.py MAX_FRAME_BYTES",
        VIEW,
        MAX_FRAME_BYTES,
        needed,
        "bytes",
        answer,
    )


def _members_scripted() -> LimitFound:
    def script(members: int) -> FleetScript:
        return FleetScript.model_validate({"about": "a limit", "members": max(members, 2)})

    most, said = (
        largest(lambda count: _accepts(lambda: script(count)), BROKERS),
        _error_of(lambda: script(BROKERS)),
    )
    return LimitFound(
        "members in a fault script", "lab/fleet/script.py", SCRIPTS, most, BROKERS, "members", said
    )


def leader(name: str = "broker-0000") -> Voter:
    """The only voter of a log, elected."""
    keeper = Voter(name, initial_state((name,)), Permits(), 1, 0, ConsensusSettings())
    keeper.step(keeper.due, [])
    keeper.step(keeper.due, [Propose(1, b"")])
    return keeper


def _followers() -> LimitFound:
    keeper = leader()
    for name in broker_names(BROKERS)[1:]:
        keeper.step(keeper.now, [Received(name, 0, LearnerPoll(0))])
    return LimitFound(
        "followers told of commits", "fleet/consensus/core/committed.py MAX_LEARNERS", LOG,
        len(keeper.learners), BROKERS - 1, "followers", "one more is answered when it asks only",
    )  # fmt: skip


def _log_connections() -> LimitFound:
    return LimitFound(
        "connections to one member", "fleet/transport.py MAX_CONNECTIONS", LOG, MAX_CONNECTIONS, BROKERS - 1,
        "connections", "read, not run: one more is closed at once",
    )  # fmt: skip


def _cells_counted() -> LimitFound:
    tally = LoadCounter(0)
    for cell in range(SETS):
        tally.count_replica_set(cell, 1)
    return LimitFound(
        "replica sets in load reports", "fleet/load_reports/types.py MAX_REPLICA_SETS", LOAD,
        len(tally.snapshot(1).replica_sets), SETS, "sets", f"not counted: {tally.uncounted} of {SETS}",
    )  # fmt: skip


def _sets_blamed() -> LimitFound:
    shares = FailureShares()
    for cell in range(SETS):
        shares.record(cell, True)
    kept = sum(1 for cell in range(SETS) if shares.share(cell) > 0)
    return LimitFound(
        "replica sets remembered as failing",
        "fleet/load_control/failure_attribution.py MAX_REPLICA_SETS", LOAD, kept, SETS, "sets",
        f"the oldest beyond {MAX_REPLICA_SETS} is forgotten",
    )  # fmt: skip


def _members_summed() -> LimitFound:
    names = broker_names(BROKERS)
    tree = AggregationTree(names[0], names, BROKERS, LoadReportSettings())
    needed = max(len(tree.members_of(0, place)) for place in range(tree.groups))
    return LimitFound(
        "members summed up in one place", "fleet/load_reports/member_counts.py MAX_MEMBERS", LOAD,
        SUMMED_MOST, needed,
        "members", f"{tree.groups} groups at the lowest of {tree.top_level + 1} levels",
    )  # fmt: skip


def _list_bytes() -> LimitFound:
    body = list_body([node_entry(number) for number in range(NODES)])
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    said = _error_of(lambda: ResponseReader(Limits(body=MAX_BODY_BYTES)).feed(head + body))
    return LimitFound(
        "bytes of a full list",
        "platform/discovery.py MAX_BODY_BYTES",
        LIST,
        MAX_BODY_BYTES,
        len(body),
        "bytes",
        said,
    )


def _nodes_away() -> LimitFound:
    site = configuration().site
    targets = TargetTable(site.zones, site.kinds)
    entries = [node_entry(number) for number in range(NODES)]
    targets.apply(SECOND, 0, read_list(list_body(entries)), base=True)
    gone = [entry | {"state": "DELETED"} for entry in entries[:NODES_OF_A_ZONE]]
    targets.apply(2 * SECOND, 0, read_list(list_body(gone, 2, full=False)))
    return LimitFound(
        "nodes remembered as drained or gone", "platform/targets.py MAX_REMOVED_NODES", LIST,
        len(targets.removed), NODES_OF_A_ZONE, "nodes",
        "the oldest is forgotten, and a list that lags may bring it back",
    )  # fmt: skip


def _node_connections() -> LimitFound:
    shares = allocate(configuration().limits.sockets)
    return LimitFound(
        "connections to nodes of one process", "platform/descriptors.py allocate, 1,024 descriptors", CONNECT,
        shares.nodes, NODES, "connections", "an idle one is closed for each new one, or it has no place",
    )  # fmt: skip


def _samples_gathered() -> LimitFound:
    assembler = SampleAssembler(1024)
    for number, name in enumerate(broker_names(BROKERS)):
        assembler.receive(SampleMessage(name, number, 1, 0, 1, 1024, (), (), ()))
    return LimitFound(
        "brokers' samples gathered", "fleet/forecast/messages.py MAX_SENDERS", FORECAST,
        len(assembler.complete), BROKERS, "brokers", "the first that came gives way",
    )  # fmt: skip


def _regions() -> LimitFound:
    known = {name for name in FleetEntry.model_fields if "region" in name}
    said = _error_of(lambda: _fleet_entry(2, region="north"))
    return LimitFound(
        "regions told apart", "config/schema/fleet.py", REGION, max(len(known), 1), REGIONS, "regions",
        f"key region: {said}",
    )  # fmt: skip


FINDERS: tuple[Callable[[], LimitFound], ...] = (
    _members_configured, _members_exchanged, _bytes_exchanged, _members_scripted, _followers,
    _log_connections, _cells_counted, _sets_blamed, _members_summed, _list_bytes, _nodes_away,
    _node_connections, _samples_gathered, _regions,
)  # fmt: skip


def found_limits() -> tuple[LimitFound, ...]:
    """All that were looked for, those that hold among them (factor up to 1)."""
    return tuple(find() for find in FINDERS)


def below_target(limits: tuple[LimitFound, ...]) -> list[str]:
    """Names of those that end below the target."""
    return [limit.name for limit in limits if limit.factor > 1]
