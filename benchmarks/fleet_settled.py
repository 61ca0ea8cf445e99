"""How long a fleet without any fault but lost datagrams is settled, and why it is not (simulated).

Jobs for the modes of ``benchmarks.fleet_lossy``; each is one seeded run.
"""

from collections import Counter
from typing import Any

from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, Ack, Nack, Ping, PingReq, body_of, unpack
from quincepath.fleet.view import Phase, View
from quincepath.fleet.view.probing import Probe
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.verdict import SECOND
from quincepath.lab.fleet.virtual import CHECK, Virtual

FROM = 5 * SECOND  # of a run; what is before does not count
KILL_AT = SECOND
GRACE = SECOND  # the "short doubt" way: so young a suspicion of one accuser is no reason
BEFORE: dict[str, Any] = {"again": "0ns", "stream": False, "recheck": "0ns"}
WAYS: dict[str, dict[str, Any]] = {
    "before": BEFORE,
    "digests asked for": {"again": "0ns", "stream": False},
    "six helpers": {"again": "0ns", "stream": False, "helpers": 6},
    "stream": {"again": "0ns"},
    "stream, six helpers": {"again": "0ns", "helpers": 6},
    "pings again, digests not asked for": {"stream": False, "recheck": "0ns"},
    "pings again": {"stream": False},
    "pings again, stream": {},
}


def calm(
    members: int, lose: float, view: dict[str, Any], seconds: int, faults: list[dict[str, Any]] | None = None
) -> FleetScript:
    """A day on which nothing happens but loss."""
    return FleetScript.model_validate(
        {
            "about": "calm", "members": members, "length": f"{seconds}s", "links": {"lose": lose},
            "view": view, "expect": {"settle": "1s"}, "faults": faults or [],
        }
    )  # fmt: skip


def forgiving(view: View) -> bool:
    """Whether a view were settled if a short doubt, and its end, counted as noise."""
    now = view.now
    for belief in view.table.suspects.values():
        if len(belief.accusers) > 1 or now >= belief.since + GRACE:
            return False
    for change in reversed(view.table.history):
        if change.at <= now - view.settings.settle:
            break
        if {change.was, change.now} != {"alive", "suspect"}:
            return False
    return not [one for one in view.unsettled() if not one.startswith("suspect: ") and " became " not in one]


def one_calm(job: tuple[int, float, dict[str, Any], int, int]) -> dict[str, Any]:
    """Shares of the time (looked at every 100 ms, all members at once) and costs of one run.

    ``settled``: views equal and true, and no member has a reason against being settled.
    """
    members, lose, changes, seconds, seed = job
    world = Virtual(calm(members, lose, changes, seconds), seed, warm=True)
    world.keep_changes = True
    seen: Counter[str] = Counter()

    def look() -> None:
        world.at(world.now + CHECK, look)
        if world.now < FROM:
            return
        views = [member.view for member in world.members.values()]
        for view in views:
            view.now = world.now  # as when an operator asks now
        equal = world.agree()
        quiet = all(not view.unsettled() for view in views)
        seen["looks"] += 1
        seen["equal"] += equal
        seen["quiet"] += quiet
        seen["settled"] += equal and quiet
        seen["forgiving"] += quiet or all(forgiving(view) for view in views)
        seen["forgiving and equal"] += equal and (quiet or all(forgiving(view) for view in views))

    world.at(CHECK, look)
    verdict = world.run()
    doubts = sum(change.now == "suspect" and change.told_by == who for who, change in world.changes)
    return {
        **{name: seen[name] / seen["looks"] for name in seen if name != "looks"},
        "doubts": doubts, "false_deaths": verdict.false_deaths,
        "messages": verdict.messages / verdict.member_seconds,
        "bytes": verdict.bytes / verdict.member_seconds,
        "member_seconds": verdict.member_seconds,
    }  # fmt: skip


def rows_of(jobs: list[Any], found: list[dict[str, Any]]) -> dict[str, Any]:
    """The runs of one size, loss and way as one row."""
    members, lose, _, seconds, _ = jobs[0]

    def mean(name: str) -> float:
        return float(sum(one[name] for one in found) / len(found))

    return {
        "members": members, "lose": lose, "seeds": len(jobs), "seconds": seconds,
        "settled": round(mean("settled"), 4), "settled_least": round(min(one["settled"] for one in found), 4),
        "equal_and_true": round(mean("equal"), 4), "no_reason": round(mean("quiet"), 4),
        "if_short_doubts_were_noise": round(mean("forgiving and equal"), 4),
        "doubts_a_minute": round(mean("doubts") * 60 / seconds, 2),
        "false_deaths": sum(one["false_deaths"] for one in found),
        "messages": round(mean("messages"), 2), "bytes": round(mean("bytes"), 1),
    }  # fmt: skip


def one_kill(job: tuple[int, float, dict[str, Any], int]) -> tuple[float, float, float]:
    """Seconds from a kill to the first doubt, to all knowing, to all being settled again; -1: not by 16 s."""
    members, lose, changes, seed = job
    faults = [{"kind": "kill", "at": f"{KILL_AT}ns", "last": "0ns", "members": 1 / members}]
    world = Virtual(calm(members, lose, changes, 16, faults), seed, warm=True)
    again: list[int] = []

    def look() -> None:
        if again:
            return
        world.at(world.now + CHECK, look)
        views = [member.view for member in world.members.values()]
        for view in views:
            view.now = world.now
        if world.now > KILL_AT and world.agree() and all(not view.unsettled() for view in views):
            again.append(world.now - KILL_AT)

    world.at(CHECK, look)
    death = world.run().deaths[0]
    known = (death.known - death.at) / SECOND if death.known >= 0 else -1.0
    doubted = (death.doubted - death.at) / SECOND if death.doubted >= 0 else -1.0
    return doubted, known, again[0] / SECOND if again else -1.0


# --- causes, by count ---


class Causes:
    """Follows each probe of a run by what the network did to its messages."""

    def __init__(self, world: Virtual) -> None:
        self.world = world
        self.count: Counter[str] = Counter()
        self.lost: dict[tuple[str, int], set[str]] = {}  # by prober and number, the hops that were lost
        fates = world.ways.fates

        def watched(sender: str, to: str, data: bytes) -> list[int]:
            waits = fates(sender, to, data)
            self._sent(sender, to, data, not waits)
            return waits

        world.ways.fates = watched  # type: ignore[method-assign]

    def _sent(self, sender: str, to: str, data: bytes, lost: bool) -> None:
        body = body_of(unpack(data, "lab", to, MAX_DATAGRAM_BYTES))
        mine, theirs = self.world.members[sender].view.prober, self.world.members[to].view.prober
        key, hop = ("", 0), ""
        match body:
            case Ping(number) if number in mine.probes:
                key, hop = (sender, number), "ping"
                self.count["probes"] += key not in self.lost
                self.lost.setdefault(key, set())
            case Ping(number) if number in mine.indirect_probes:
                relay = mine.indirect_probes[number]
                key, hop = (relay.requester, relay.number), f"ping by {sender}"
            case Ack(number) if number in theirs.probes and sender == theirs.probes[number].target:
                key, hop = (to, number), "ack"
            case Ack(number) if number in theirs.probes:
                key, hop = (to, number), f"ack back by {sender}"
            case Ack(number) if number in theirs.indirect_probes:
                relay = theirs.indirect_probes[number]
                key, hop = (relay.requester, relay.number), f"ack to {to}"
            case PingReq(number, _):
                key, hop = (sender, number), f"ask of {to}"
                self.count["asks"] += 1
            case Nack(_):
                return
        if lost and hop and key in self.lost:
            self.lost[key].add(hop)

    def ended(self, name: str, probe: Probe, accused: bool) -> None:
        """A probe came to its end without an answer."""
        lost = self.lost.get((name, probe.number), set())
        self.count["probes failed"] += 1
        self.count["spared: heard meanwhile"] += not accused
        self.count["accused"] += accused
        if not accused:
            return
        self.count["accused: ping lost" if "ping" in lost else "accused: ack lost"] += 1
        self.count["accused: helpers asked"] += len(probe.helpers)
        for helper in probe.helpers:
            for hop, said in (
                (f"ask of {helper}", "ask lost"), (f"ping by {helper}", "helper's ping lost"),
                (f"ack to {helper}", "ack to helper lost"), (f"ack back by {helper}", "helper's ack lost"),
            ):  # fmt: skip
                if hop in lost:
                    self.count[f"accused: {said}"] += 1
                    break
            else:
                self.count["accused: no loss, not answered in time"] += 1


def one_count(job: tuple[int, float, dict[str, Any], int, int]) -> dict[str, int]:
    """What became of the probes of one run, and of those that accused, where their messages were lost."""
    members, lose, changes, seconds, seed = job
    world = Virtual(calm(members, lose, changes, seconds), seed, warm=True)
    causes = Causes(world)
    asked = View._on_probe_timer
    failed = View._on_probe_failed

    def counted(view: View, probe: Probe) -> None:
        was = probe.indirect_sent
        asked(view, probe)
        if probe.indirect_sent and not was:
            causes.count["not answered when helpers are asked"] += 1

    def judged(view: View, probe: Probe) -> None:
        belief = view.table.get(probe.target)
        before = None if belief is None else (belief.phase, len(belief.accusers))
        failed(view, probe)
        belief = view.table.get(probe.target)
        after = None if belief is None else (belief.phase, len(belief.accusers))
        causes.ended(view.settings.name, probe, before != after)
        if before is not None and before[0] is not Phase.SUSPECT and before != after:
            causes.count["doubts begun"] += 1

    View._on_probe_timer, View._on_probe_failed = counted, judged  # type: ignore[assignment,method-assign]
    try:
        world.run()
    finally:
        View._on_probe_timer, View._on_probe_failed = asked, failed  # type: ignore[method-assign]
    return dict(causes.count)
