"""The machine: a command and the state in, what stands in its way out. Pure; same entries, same state.

One change at a time: proposed -> staging -> in use and measured -> settled, or halted. Nothing here looks at
a clock or at what is believed: a step is taken by an entry, judged by what it and the state say.
"""

from math import isfinite
from typing import TYPE_CHECKING

import msgspec

from quincepath.fleet.adoption.commands import (
    MAX_MAP_BYTES,
    AdoptMap,
    AwayMap,
    BackMap,
    Bar,
    Map,
    MapCommand,
    MapVerdict,
    MeasuredMap,
    ProposeMap,
    ReadMap,
    UseMap,
)  # fmt: skip
from quincepath.fleet.adoption.state import EMPTY_RECORD, Measuring, Proposal, Step, Topology
from quincepath.shards.versions import map_problems

if TYPE_CHECKING:
    from quincepath.fleet.forecast import Forecast

KINDS = frozenset(("parts", "calls", "load", "bytes", "miss"))  # of the forecast's figures
SHOWN = 5  # names in one refusal
AWAY = ("dead", "left")  # beliefs that go with a person's word that one is away


def apply_map_command(topology: Topology, command: MapCommand, index: int, way: str) -> str:
    """Apply one command; what stands in its way, empty where it is done. ``way``: a permit that is open, or
    why the fleet is halted; empty: neither.
    """
    match command:
        case ReadMap():
            return ""
        case ProposeMap():
            return _propose(topology, command, index)
        case AdoptMap():
            return _adopt(topology, command, index, way)
        case AwayMap():
            return _away(topology, command)
        case UseMap():
            return _use(topology, command, way)
        case MeasuredMap():
            return _measured(topology, command, way)
        case BackMap():
            return _back(topology, command, index, way)


def restart_measurement(topology: Topology, at: int) -> None:
    """A permit was granted or freed: what is measured counts from then on."""
    if topology.measuring is not None:
        topology.measuring.since = max(topology.measuring.since, at)


def clear_halt(topology: Topology) -> None:
    """By hand (``resume``): the version in use stays, though what was measured differs."""
    if topology.halted:
        topology.halted, topology.measuring = "", None


def _size(found: Map | None, what: str) -> str:
    size = 0 if found is None else len(msgspec.msgpack.encode(found))
    return f"{what}: {size} bytes; expected at most {MAX_MAP_BYTES}" if size > MAX_MAP_BYTES else ""


def _propose(topology: Topology, command: ProposeMap, index: int) -> str:
    open_ = topology.proposal
    if open_ is not None:
        return f"version {open_.number} is proposed by {open_.by}: adopt it or give it up (back) first"
    if topology.step != Step.NONE:
        return f"version {topology.used}: {topology.halted or 'in use and not measured yet'}"
    base = topology.maps.get(topology.used, command.base)
    if base is None:
        return "no map is in the log, and the leader's configuration named none"
    why = _size(command.map, "map") or _size(base, "map in use")
    if why:
        return why
    used, number = topology.used or 1, max(topology.newest, 1) + 1
    wrong = map_problems(command.map.version(used + 1), base.version(used), frozenset(command.may_lose))
    if wrong:
        more = f" and {len(wrong) - SHOWN} more" if len(wrong) > SHOWN else ""
        return "; ".join(map(str, wrong[:SHOWN])) + more
    if not topology.used:
        topology.maps[1] = base
        topology.used = 1
    topology.newest = number
    topology.maps[number] = command.map
    topology.proposal = Proposal(number, command.by, command.at, index)
    return ""


def _adopt(topology: Topology, command: AdoptMap, index: int, way: str) -> str:
    open_ = topology.proposal
    if open_ is None or command.number not in (0, open_.number):
        asked = f"version {command.number}" if command.number else "nothing"
        return f"{asked} is not proposed" if command.number else "nothing is proposed"
    if open_.staging:
        return f"version {open_.number} is being staged already"
    if way:
        return way
    judged = command.judged
    if judged.answer != "accept":
        return f"{judged.answer}: {'; '.join(judged.why)}"
    digest = topology.maps[open_.number].version(open_.number).digest
    if judged.digest != digest:
        return f"the verdict is on map {judged.digest or 'none'}, version {open_.number} is {digest}"
    why = _unsound(judged)
    if why or not command.brokers:
        return why or "no broker is named that would use it"
    open_.staging, open_.staging_since, open_.index = True, command.at, index
    open_.judged, open_.brokers, open_.needs = judged, command.brokers, dict(command.needs)
    open_.measure = command.measure
    return ""


def _unsound(judged: MapVerdict) -> str:
    """What of the figures could not be held against what is measured."""
    for bar in judged.bars:
        if bar.kind not in KINDS or not all(map(isfinite, (bar.value, bar.low, bar.high))):
            return f"forecast {bar.kind} of {bar.where!r}: expected a known kind and finite figures"
    for kind, factor in judged.widened.items():
        if kind not in KINDS or not 0 < factor < 1e6:
            return f"bars of {kind!r} widened by {factor}: expected a known kind and a factor above 0"
    return ""


def _away(topology: Topology, command: AwayMap) -> str:
    if command.belief not in AWAY:
        return f"{command.name} is believed {command.belief or 'alive'}: it must be believed dead or left"
    staged = topology.proposal if topology.staging else None
    found = staged or topology.measuring
    if found is None:
        return "nothing is staged or measured: nobody is waited for"
    if command.name not in found.brokers:
        return f"{command.name} is none of the brokers that are waited for"
    found.away[command.name] = f"{command.belief}, {command.by}"
    return ""


def _use(topology: Topology, command: UseMap, way: str) -> str:
    open_ = topology.proposal
    if open_ is None or not open_.staging or open_.number != command.number:
        return f"version {command.number} is not being staged"
    if way:
        return way
    map_ = topology.maps[open_.number]
    if command.digest != map_.version(open_.number).digest:
        return f"version {open_.number}: another map was staged, {command.digest}"
    missing = unstaged(open_, command.staged)
    if missing:
        return f"not staged by {', '.join(missing[:SHOWN])}"
    lacking = unproved(open_, command.proved)
    if lacking:
        return "; ".join(f"{name} has not proved {', '.join(s[:3])}" for name, s in lacking[:SHOWN])
    left = topology.used
    topology.used, topology.before = open_.number, 0 if open_.going_back else left
    topology.halted, topology.measuring = "", None
    if not open_.going_back:
        topology.measuring = Measuring(
            open_.number, command.at, open_.measure, open_.judged, open_.brokers, dict(open_.away)
        )
    topology.proposal = None
    _keep(topology)
    return ""


def unstaged(proposal: Proposal, staged: tuple[str, ...] | set[str]) -> list[str]:
    """Brokers that must have the map and have not."""
    return [name for name in proposal.brokers if name not in staged and name not in proposal.away]


def unproved(proposal: Proposal, proved: dict[str, tuple[str, ...]]) -> list[tuple[str, list[str]]]:
    """Holders, each with the shards that it must have and has not shown."""
    found = []
    for name, shards in sorted(proposal.needs.items()):
        missing = [shard for shard in shards if shard not in proved.get(name, ())]
        if missing:
            found.append((name, missing))
    return found


def forecast_of(judged: MapVerdict) -> "Forecast":
    """The figures of a verdict as a forecast, to hold against what is measured."""
    from quincepath.fleet.forecast import Figure, FigureKind, Forecast  # a large library comes with it

    figures = {(FigureKind(b.kind), b.where): Figure(b.value, b.low, b.high) for b in judged.bars}
    widened = {FigureKind(kind): factor for kind, factor in judged.widened.items()}
    return Forecast(
        figures, judged.digest, judged.queries, judged.queries, 0, 0, [], judged.heard, judged.of,
        widened=widened,
    )  # fmt: skip


def make_verdict(found: "Forecast", answer: str, why: tuple[str, ...]) -> MapVerdict:
    """A verdict and its forecast as they go into an entry."""
    bars = tuple(
        Bar(k.value, w, float(f.value), float(f.low), float(f.high))
        for (k, w), f in sorted(found.figures.items())
    )
    widened = {kind.value: float(factor) for kind, factor in found.widened.items()}
    return MapVerdict(
        answer, tuple(one[:400] for one in why[:32]), found.digest, bars, widened, found.queries,
        found.heard, found.of,
    )  # fmt: skip


def _measured(topology: Topology, command: MeasuredMap, way: str) -> str:
    found = topology.measuring
    if found is None or topology.halted or found.number != command.number:
        return f"version {command.number} is not being measured"
    if topology.proposal is not None:
        return f"version {topology.proposal.number} is being staged"
    if way:
        return way
    if command.at < found.until:
        return f"measured too early: {found.until - command.at} ms are left"
    late = not_using(found, command.using)
    if late:
        return "; ".join(f"{name} {why}" for name, why in late[:SHOWN])
    for kind, where, value in command.figures:
        if kind not in KINDS or not isfinite(value):
            return f"measured {kind} of {where!r}: {value}; expected a known kind and a finite figure"
    from quincepath.fleet.forecast import (  # only where a map is measured
        FigureKind,
        compare_with_measured,
        decode_record,
    )

    measured = {(FigureKind(kind), where): value for kind, where, value in command.figures}
    after = compare_with_measured(forecast_of(found.judged), measured)
    record = decode_record(topology.record or EMPTY_RECORD).with_ratios(after.ratios)
    topology.record = msgspec.msgpack.encode(record)
    if after.halt:
        said = "; ".join(map(str, after.deviations[:SHOWN])) or "nothing was measured"
        topology.halted = f"measured differs: {said}"[:400]
    else:
        topology.measuring = None
    return ""


def not_using(found: Measuring, using: dict[str, tuple[int, int]]) -> list[tuple[str, str]]:
    """Brokers that do not answer by the version in use alone, and why."""
    late = []
    for name in found.brokers:
        if name in found.away:
            continue
        version, older = using.get(name, (0, 0))
        if version != found.number:
            late.append((name, f"uses version {version}" if version else "has not reported"))
        elif older:
            late.append((name, f"has {older} queries of older versions"))
    return late


def _back(topology: Topology, command: BackMap, index: int, way: str) -> str:
    open_ = topology.proposal
    if open_ is not None:  # nobody uses it
        topology.proposal = None
        _keep(topology)
        return ""
    if not topology.before:
        return "there is no version to go back to"
    if way:
        return way
    if not command.brokers:
        return "no broker is named that would use it"
    number = topology.newest + 1
    topology.newest = number
    topology.maps[number] = topology.maps[topology.before]
    digest = topology.maps[number].version(number).digest
    topology.proposal = Proposal(
        number, command.by, command.at, index, True, command.at, True,
        _was_in_use(digest), command.brokers, dict(command.needs),
    )  # fmt: skip
    return ""


def _was_in_use(digest: str) -> MapVerdict:
    """Of the map before: it was in use, no forecast is asked for."""
    return MapVerdict("accept", ("the version before",), digest)


def _keep(topology: Topology) -> None:
    """Forget maps that are neither in use, nor before, nor proposed."""
    open_ = 0 if topology.proposal is None else topology.proposal.number
    kept = (topology.used, topology.before, open_)
    topology.maps = {number: found for number, found in topology.maps.items() if number in kept}
