"""Model of three brokers and a log that delivers committed entries to each broker in order, possibly late.

State machine, reports and follower are the real ones; the model chooses who acts next. A report may arrive
late, twice, or never; one broker crashes and restarts at any step; one may be believed dead, rightly or not.
A refused command changes nothing and is not kept in the log, so that there are few states. Each step checks
the invariants.
"""

from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from quincepath.fleet.adoption import MapFollower, MapReport, MapReports, Step, Topology
from quincepath.fleet.adoption.commands import AdoptMap, AwayMap, BackMap, MapCommand, ProposeMap
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.permits import Command, Permits, Resume, encode
from quincepath.shards.versions import MapVersions
from tests.fleet.adoption.builders import (
    BAD,
    BARS,
    BROKERS,
    FIRST,
    GOOD,
    MOVED,
    NEEDS,
    SPAN,
    SPLIT,
    digest,
    judged,
)

Action = tuple[Any, ...]
Logged = tuple[bytes, ...]
MACHINE_OF_LOG: dict[Logged, Permits] = {}
QUERY = 1  # id of the only query at each broker


class InvariantViolated(AssertionError):
    """An invariant does not hold."""


def machine(log: Logged) -> Permits:
    """The state machine after these entries."""
    found = MACHINE_OF_LOG.get(log)
    if found is None:
        found = Permits()
        if log:
            found.load(machine(log[:-1]).dump())
            found.apply(Entry(len(log), 1, log[-1]))
        MACHINE_OF_LOG[log] = found
    return found


def topology(log: Logged) -> Topology:
    return machine(log).state.topology


def copy_follower(follower: MapFollower) -> MapFollower:
    """A copy that shares immutable parts."""
    versions = follower.versions
    if versions is not None:
        versions = MapVersions(
            versions.current, versions.max_versions, versions.max_queries, dict(versions._kept),
            dict(versions._held), versions._count.copy(),
        )  # fmt: skip
    return replace(follower, versions=versions, staged=dict(follower.staged), _wanted=dict(follower._wanted))


@dataclass(slots=True)
class Broker:
    """``target``: length of the log at its start. ``query``: the version of its query or 0."""

    follower: MapFollower
    up: bool = True
    boot: int = 1
    applied: int = 0
    target: int = 0
    query: int = 0
    sent: tuple[MapReport, ...] = ()

    def key(self) -> Any:
        versions = self.follower.versions
        current = 0 if versions is None else versions.current.number
        sent = tuple((one.boot, one.count, tuple(one.staged), one.version, one.older) for one in self.sent)
        return (
            self.up, self.boot, self.applied, self.target, self.query, sent, current,
            tuple(self.follower.staged), versions is not None,
        )  # fmt: skip


@dataclass(slots=True)
class ModelState:
    """One state. ``excused``: by version, the brokers declared away by the entries when it came into use."""

    log: Logged = ()
    brokers: dict[str, Broker] = field(default_factory=dict)
    reports: MapReports = field(default_factory=MapReports)
    open: int = 0
    excused: dict[int, frozenset[str]] = field(default_factory=dict)
    digests: dict[int, str] = field(default_factory=dict)
    crashes: int = 0
    leaders: int = 0

    @classmethod
    def first(cls) -> "ModelState":
        found = cls()
        for name in BROKERS:
            found.brokers[name] = Broker(MapFollower(FIRST.version(1)))
            found.brokers[name].follower.on_log_read(topology(()))
        return found

    def copy(self) -> "ModelState":
        return ModelState(
            self.log,
            {name: replace(one, follower=copy_follower(one.follower)) for name, one in self.brokers.items()},
            MapReports(dict(self.reports.reports)), self.open, dict(self.excused), dict(self.digests),
            self.crashes, self.leaders,
        )  # fmt: skip

    def key(self) -> Any:
        heard = tuple((n, r.boot, r.count) for n, (_at, r) in sorted(self.reports.reports.items()))
        return (
            self.log,
            tuple(one.key() for one in self.brokers.values()),
            heard,
            self.crashes,
            self.leaders,
        )

    # --- possible actions ---

    def actions(self) -> list[Action]:
        now = topology(self.log)
        found: list[Action] = [("propose", "split"), ("propose", "moved"), ("adopt",), ("back",)]
        found += [("use",), ("late use",), ("measured", "good"), ("measured", "bad"), ("resume",)]
        if now.step in (Step.STAGING, Step.MEASURING) and not any(self.excused.values()):
            found += [("away", name) for name in BROKERS]
        if not self.leaders:
            found.append(("new leader",))
        for name, one in self.brokers.items():
            if not one.up:
                found.append(("start", name))
                continue
            if one.applied < len(self.log):
                found.append(("apply", name))
            if one.follower.next_to_stage() is not None:
                found.append(("stage", name))
            if (
                not one.sent
                or one.sent[-1].staged != self.next_report(name).staged
                or ((one.sent[-1].version, one.sent[-1].older) != one.follower.usage())
            ):
                found.append(("report", name))
            found += [("hear", name, place) for place in range(len(one.sent))]
            found += [("part", name), ("end", name)] if one.query else [("begin", name)]
            if not self.crashes:
                found.append(("crash", name))
        return found

    def next_report(self, name: str) -> MapReport:
        one = self.brokers[name]
        staged = {number: version.digest for number, version in one.follower.staged.items()}
        return MapReport(
            one.boot,
            one.sent[-1].count + 1 if one.sent else 1,
            staged,
            *one.follower.usage(),
            proved=dict(NEEDS),
        )

    def step(self, action: Action) -> bool:
        """Performs the action; False if it changed nothing. Raises ``InvariantViolated``."""
        what, *rest = action
        if what in ("apply", "stage", "report", "hear", "begin", "part", "end", "crash", "start"):
            done = self._broker(what, *rest)
        else:
            done = self._log(what, *rest)
        self.check()
        return done

    def _broker(self, what: str, name: str, place: int = 0) -> bool:
        one = self.brokers[name]
        follower = one.follower
        match what:
            case "apply":
                one.applied += 1
                now = topology(self.log[: one.applied])
                follower.apply_topology(now)
                if one.applied == one.target and follower.versions is None:
                    follower.on_log_read(now)
            case "stage":
                version = follower.next_to_stage()
                assert version is not None
                follower.mark_staged(version)
            case "report":
                one.sent = (*one.sent[-2:], self.next_report(name))
            case "hear":
                return self.reports.receive(name, 0, one.sent[place])
            case "begin":
                version = follower.hold(QUERY)
                if version is None:
                    return False
                least = topology(self.log[: one.target]).used
                if version.number < least:
                    raise InvariantViolated(
                        f"{name} was away and answers by version {version.number}, not {least}"
                    )
                one.query = version.number
            case "part":
                version = follower.hold(QUERY)
                if version is None or version.number != one.query:
                    raise InvariantViolated(f"{name}: a query of version {one.query} has a part of {version}")
                return False
            case "end":
                follower.release(QUERY)
                one.query = 0
            case "crash":
                one.up, one.query = False, 0
                self.crashes += 1
            case "start":
                one.up, one.boot, one.applied, one.target = True, one.boot + 1, 0, len(self.log)
                one.follower = MapFollower(FIRST.version(1))
                if not one.target:
                    one.follower.on_log_read(topology(()))
        return True

    def _log(self, what: str, *rest: Any) -> bool:
        now = topology(self.log)
        id, by = f"{what}{len(self.log)}", "ann"
        command: Command | None
        match what:
            case "propose":
                found = SPLIT if rest[0] == "split" else MOVED
                command = ProposeMap(id, by, 0, found, base=FIRST)
            case "adopt":
                open_ = now.proposal
                if open_ is None:
                    return False
                verdict = judged(now.maps[open_.number])
                command = AdoptMap(id, by, 0, open_.number, verdict, BROKERS, NEEDS, SPAN)
            case "back":
                command = BackMap(id, by, 0, BROKERS, {})
            case "away":
                command = AwayMap(id, by, 0, rest[0], "dead")
            case "resume":
                command = Resume(id, by, 0)
            case "new leader":
                self.reports, self.leaders = MapReports(), 1
                return True
            case "measured":
                figures = GOOD if rest[0] == "good" else BAD
                command = (
                    self.reports.next_command(now, 0, SPAN, by, figures)
                    if now.step is Step.MEASURING
                    else None
                )
            case _:
                before = topology(self.log[:-1]) if what == "late use" else now
                command = self.reports.next_command(before, 0, 0, by, None) if before.staging else None
        if command is None:
            return False
        return self._commit(command, what)

    def _commit(self, command: MapCommand | Resume, what: str) -> bool:
        command = msgspec.structs.replace(command, id=f"{what}{len(self.log)}")
        log = (*self.log, encode(command))
        after, was = machine(log), topology(self.log)
        if after.state.results[command.id] or after.state.topology == was:
            return False
        now = after.state.topology
        if what == "propose" or (what == "back" and not self.open):
            if self.open:
                raise InvariantViolated("two proposals at once")
            self.open = 1
        elif what in ("back", "use", "late use"):
            self.open = 0
        if what in ("use", "late use"):
            assert was.proposal is not None
            self.excused[now.used] = frozenset(was.proposal.away)
        self.log = log
        for number, found in now.maps.items():
            if self.digests.setdefault(number, digest(found)) != digest(found):
                raise InvariantViolated(f"version {number} names two maps")
        return True

    # --- invariants ---

    def check(self) -> None:
        for name, one in self.brokers.items():
            if not one.up or not one.follower.serving:
                continue
            seen = topology(self.log[: one.applied]).used
            if seen > 1 and seen not in one.follower.staged:
                raise InvariantViolated(
                    f"{name} answers and has not staged version {seen}, in use as it knows"
                )
            number, _older = one.follower.usage()
            if number < 2:
                continue
            for other, two in self.brokers.items():
                lacks = two.up and two.follower.serving and number not in two.follower.staged
                if lacks and number >= two.follower.used and other not in self.excused.get(number, ()):
                    raise InvariantViolated(
                        f"{name} uses version {number}, {other} answers and has not staged it"
                    )


def next_state(state: ModelState, action: Action, depth: int) -> ModelState:
    """After one more action; the same state if it changed nothing."""
    found = state.copy()
    return found if found.step(action) and depth else state


def recover(state: ModelState) -> ModelState:
    """The state after an operator acts and the network works again: nothing is proposed, halted or stuck."""
    found = state.copy()
    for name, one in found.brokers.items():
        if not one.up:
            found.step(("start", name))
    if found.open:
        found.step(("back",))
    if topology(found.log).step is not Step.NONE:
        found.step(("back",))
    for _ in range(2):
        for name, one in found.brokers.items():
            while one.applied < len(found.log):
                found.step(("apply", name))
            while one.follower.next_to_stage() is not None:
                found.step(("stage", name))
            if one.query:
                found.step(("end", name))
            found.step(("report", name))
            found.step(("hear", name, len(one.sent) - 1))
        if topology(found.log).staging:
            found.step(("use",))
    now = topology(found.log)
    if now.step is not Step.NONE:
        raise InvariantViolated(f"no way out of {topology(state.log).step}: {now.step}")
    for name, one in found.brokers.items():
        if not one.follower.serving or (now.used and one.follower.usage() != (now.used, 0)):
            raise InvariantViolated(f"{name} does not answer by version {now.used}: {one.follower.usage()}")
    return found


__all__ = ["BARS", "InvariantViolated", "ModelState", "next_state", "topology", "recover"]
