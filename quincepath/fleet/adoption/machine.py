"""State machine of map changes: applies a command or returns why it is refused. Pure, deterministic.

One change at a time: proposed -> staging -> in use and measured -> settled, or halted. Nothing here reads a
clock or this broker's beliefs: a step is taken by an entry, judged only by the entry and the state.
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

FIGURE_KINDS = frozenset(("parts", "calls", "load", "bytes", "miss"))  # the values of FigureKind
MAX_SHOWN = 5  # names in one refusal
AWAY_BELIEFS = ("dead", "left")  # required to confirm an operator's statement that a broker is gone


def apply_map_command(topology: Topology, command: MapCommand, index: int, obstacle: str) -> str:
    """Applies one command; returns why it is refused, empty if it was applied. ``obstacle``: an open permit,
    or why the fleet is halted; empty: neither.
    """
    match command:
        case ReadMap():
            return ""
        case ProposeMap():
            return _propose(topology, command, index)
        case AdoptMap():
            return _adopt(topology, command, index, obstacle)
        case AwayMap():
            return _mark_away(topology, command)
        case UseMap():
            return _use(topology, command, obstacle)
        case MeasuredMap():
            return _measured(topology, command, obstacle)
        case BackMap():
            return _back(topology, command, index, obstacle)


def restart_measurement(topology: Topology, at: int) -> None:
    """A permit was granted or released: the measured time starts again."""
    if topology.measuring is not None:
        topology.measuring.since = max(topology.measuring.since, at)


def clear_halt(topology: Topology) -> None:
    """An operator resumed the fleet: the version in use stays although measured figures differ."""
    if topology.halted:
        topology.halted, topology.measuring = "", None


def _size_problem(found: Map | None, what: str) -> str:
    size = 0 if found is None else len(msgspec.msgpack.encode(found))
    return f"{what}: {size} bytes; expected at most {MAX_MAP_BYTES}" if size > MAX_MAP_BYTES else ""


def _propose(topology: Topology, command: ProposeMap, index: int) -> str:
    proposal = topology.proposal
    if proposal is not None:
        return f"version {proposal.number} is proposed by {proposal.by}: adopt it or give it up (back) first"
    if topology.step != Step.NONE:
        return f"version {topology.used}: {topology.halted or 'in use and not measured yet'}"
    base = topology.maps.get(topology.used, command.base)
    if base is None:
        return "no map is in the log, and the leader's configuration named none"
    why = _size_problem(command.map, "map") or _size_problem(base, "map in use")
    if why:
        return why
    used, number = topology.used or 1, max(topology.newest, 1) + 1
    problems = map_problems(command.map.version(used + 1), base.version(used), frozenset(command.may_lose))
    if problems:
        more = f" and {len(problems) - MAX_SHOWN} more" if len(problems) > MAX_SHOWN else ""
        return "; ".join(map(str, problems[:MAX_SHOWN])) + more
    if not topology.used:
        topology.maps[1] = base
        topology.used = 1
    topology.newest = number
    topology.maps[number] = command.map
    topology.proposal = Proposal(number, command.by, command.at, index)
    return ""


def _adopt(topology: Topology, command: AdoptMap, index: int, obstacle: str) -> str:
    proposal = topology.proposal
    if proposal is None or command.number not in (0, proposal.number):
        asked = f"version {command.number}" if command.number else "nothing"
        return f"{asked} is not proposed" if command.number else "nothing is proposed"
    if proposal.staging:
        return f"version {proposal.number} is being staged already"
    if obstacle:
        return obstacle
    judged = command.judged
    if judged.answer != "accept":
        return f"{judged.answer}: {'; '.join(judged.why)}"
    digest = topology.maps[proposal.number].version(proposal.number).digest
    if judged.digest != digest:
        return f"the verdict is on map {judged.digest or 'none'}, version {proposal.number} is {digest}"
    why = _figure_problem(judged)
    if why or not command.brokers:
        return why or "no broker is named that would use it"
    proposal.staging, proposal.staging_since, proposal.index = True, command.at, index
    proposal.judged, proposal.brokers, proposal.needs = judged, command.brokers, dict(command.needs)
    proposal.measure = command.measure
    return ""


def _figure_problem(judged: MapVerdict) -> str:
    """Which figure could not be compared with a measured one; empty if there is none."""
    for bar in judged.bars:
        if bar.kind not in FIGURE_KINDS or not all(map(isfinite, (bar.value, bar.low, bar.high))):
            return f"forecast {bar.kind} of {bar.where!r}: expected a known kind and finite figures"
    for kind, factor in judged.widened.items():
        if kind not in FIGURE_KINDS or not 0 < factor < 1e6:
            return f"bars of {kind!r} widened by {factor}: expected a known kind and a factor above 0"
    return ""


def _mark_away(topology: Topology, command: AwayMap) -> str:
    if command.belief not in AWAY_BELIEFS:
        return f"{command.name} is believed {command.belief or 'alive'}: it must be believed dead or left"
    staged = topology.proposal if topology.staging else None
    found = staged or topology.measuring
    if found is None:
        return "nothing is staged or measured: nobody is waited for"
    if command.name not in found.brokers:
        return f"{command.name} is none of the brokers that are waited for"
    found.away[command.name] = f"{command.belief}, {command.by}"
    return ""


def _use(topology: Topology, command: UseMap, obstacle: str) -> str:
    proposal = topology.proposal
    if proposal is None or not proposal.staging or proposal.number != command.number:
        return f"version {command.number} is not being staged"
    if obstacle:
        return obstacle
    map_ = topology.maps[proposal.number]
    if command.digest != map_.version(proposal.number).digest:
        return f"version {proposal.number}: another map was staged, {command.digest}"
    missing = unstaged(proposal, command.staged)
    if missing:
        return f"not staged by {', '.join(missing[:MAX_SHOWN])}"
    lacking = unproved(proposal, command.proved)
    if lacking:
        return "; ".join(f"{name} has not proved {', '.join(s[:3])}" for name, s in lacking[:MAX_SHOWN])
    previous = topology.used
    topology.used, topology.before = proposal.number, 0 if proposal.going_back else previous
    topology.halted, topology.measuring = "", None
    if not proposal.going_back:
        topology.measuring = Measuring(
            proposal.number,
            command.at,
            proposal.measure,
            proposal.judged,
            proposal.brokers,
            dict(proposal.away),
        )
    topology.proposal = None
    _drop_unused(topology)
    return ""


def unstaged(proposal: Proposal, staged: tuple[str, ...] | set[str]) -> list[str]:
    """Brokers that must stage the map and have not."""
    return [name for name in proposal.brokers if name not in staged and name not in proposal.away]


def unproved(proposal: Proposal, proved: dict[str, tuple[str, ...]]) -> list[tuple[str, list[str]]]:
    """Holders, each with the shards that it needs and has not proved to have."""
    found = []
    for name, shards in sorted(proposal.needs.items()):
        missing = [shard for shard in shards if shard not in proved.get(name, ())]
        if missing:
            found.append((name, missing))
    return found


def to_forecast(judged: MapVerdict) -> "Forecast":
    """The figures of a verdict as a forecast, to compare with measured figures."""
    from quincepath.fleet.forecast import Figure, FigureKind, Forecast  # imports a large library

    figures = {(FigureKind(b.kind), b.where): Figure(b.value, b.low, b.high) for b in judged.bars}
    widened = {FigureKind(kind): factor for kind, factor in judged.widened.items()}
    return Forecast(
        figures, judged.digest, judged.queries, judged.queries, 0, 0, [], judged.heard, judged.of,
        widened=widened,
    )  # fmt: skip


def make_verdict(found: "Forecast", answer: str, why: tuple[str, ...]) -> MapVerdict:
    """A verdict and its forecast in the form of an entry."""
    bars = tuple(
        Bar(k.value, w, float(f.value), float(f.low), float(f.high))
        for (k, w), f in sorted(found.figures.items())
    )
    widened = {kind.value: float(factor) for kind, factor in found.widened.items()}
    return MapVerdict(
        answer, tuple(one[:400] for one in why[:32]), found.digest, bars, widened, found.queries,
        found.brokers_heard, found.brokers,
    )  # fmt: skip


def _measured(topology: Topology, command: MeasuredMap, obstacle: str) -> str:
    found = topology.measuring
    if found is None or topology.halted or found.number != command.number:
        return f"version {command.number} is not being measured"
    if topology.proposal is not None:
        return f"version {topology.proposal.number} is being staged"
    if obstacle:
        return obstacle
    if command.at < found.until:
        return f"measured too early: {found.until - command.at} ms are left"
    lagging = not_using(found, command.using)
    if lagging:
        return "; ".join(f"{name} {why}" for name, why in lagging[:MAX_SHOWN])
    for kind, where, value in command.figures:
        if kind not in FIGURE_KINDS or not isfinite(value):
            return f"measured {kind} of {where!r}: {value}; expected a known kind and a finite figure"
    from quincepath.fleet.forecast import (  # only where a map is measured
        FigureKind,
        compare_with_measured,
        decode_record,
    )

    measured = {(FigureKind(kind), where): value for kind, where, value in command.figures}
    comparison = compare_with_measured(to_forecast(found.judged), measured)
    record = decode_record(topology.record or EMPTY_RECORD).with_ratios(comparison.ratios)
    topology.record = msgspec.msgpack.encode(record)
    if comparison.halt:
        reasons = "; ".join(map(str, comparison.deviations[:MAX_SHOWN])) or "nothing was measured"
        topology.halted = f"measured differs: {reasons}"[:400]
    else:
        topology.measuring = None
    return ""


def not_using(found: Measuring, using: dict[str, tuple[int, int]]) -> list[tuple[str, str]]:
    """Brokers that do not yet answer by the version in use only, and why."""
    lagging = []
    for name in found.brokers:
        if name in found.away:
            continue
        version, older = using.get(name, (0, 0))
        if version != found.number:
            lagging.append((name, f"uses version {version}" if version else "has not reported"))
        elif older:
            lagging.append((name, f"has {older} queries of older versions"))
    return lagging


def _back(topology: Topology, command: BackMap, index: int, obstacle: str) -> str:
    proposal = topology.proposal
    if proposal is not None:  # not in use yet
        topology.proposal = None
        _drop_unused(topology)
        return ""
    if not topology.before:
        return "there is no version to go back to"
    if obstacle:
        return obstacle
    if not command.brokers:
        return "no broker is named that would use it"
    number = topology.newest + 1
    topology.newest = number
    topology.maps[number] = topology.maps[topology.before]
    digest = topology.maps[number].version(number).digest
    topology.proposal = Proposal(
        number, command.by, command.at, index, True, command.at, True,
        _previous_verdict(digest), command.brokers, dict(command.needs),
    )  # fmt: skip
    return ""


def _previous_verdict(digest: str) -> MapVerdict:
    """For the previous map: it was in use, so no forecast is required."""
    return MapVerdict("accept", ("the version before",), digest)


def _drop_unused(topology: Topology) -> None:
    """Drops maps that are neither in use, nor previous, nor proposed."""
    proposed = 0 if topology.proposal is None else topology.proposal.number
    kept = (topology.used, topology.before, proposed)
    topology.maps = {number: found for number, found in topology.maps.items() if number in kept}
