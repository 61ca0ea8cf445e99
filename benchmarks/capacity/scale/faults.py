"""Faults of a run, in the words of the laboratory's scripts, on hollow brokers and on links.

A file has ``about`` and ``faults``; each fault is a ``FaultEntry`` of ``quincepath.lab.fleet.script``. In
place of a member's name a zone (``zone-3``) or a region (``region-2``) may stand: all of its members.
Processes of real brokers are left alone; what passes between them is treated as all else.
"""

import random
from collections.abc import Callable, Sequence
from pathlib import Path

from pydantic import Field

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.plan import Plan
from quincepath.config.load import ConfigError, load
from quincepath.config.schema import Model
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.script import FaultEntry, Some

KINDS = ("kill", "leave", "cut", "split", "lose")
FAULTS_MOST = 64
LENGTH_MOST = 300_000_000_000  # ns until the last fault must be over


class FaultFile(Model):
    """What a file of faults holds."""

    about: str
    faults: list[FaultEntry] = Field(min_length=1, max_length=FAULTS_MOST)

    @property
    def quiet_from(self) -> int:
        """When the last fault is over (ns since their beginning)."""
        return max(entry.at + entry.last for entry in self.faults)


class FaultError(ValueError):
    """A file that no run can play: the text says where, what stands there and what was expected."""


def read_faults(path: Path, plan: Plan) -> FaultFile:
    """Raises ``FaultError``."""
    try:
        found = load(path, FaultFile)
    except ConfigError as error:
        raise FaultError(str(error)) from error
    for place, entry in enumerate(found.faults):
        try:
            _check(entry, plan)
        except FaultError as error:
            raise FaultError(f"{path}: faults[{place}] ({entry.kind}): {error}") from error
    if found.quiet_from > LENGTH_MOST:
        raise FaultError(
            f"{path}: the last fault is over after {found.quiet_from / 1e9:g} s: "
            f"expected at most {LENGTH_MOST / 1e9:g} s"
        )
    return found


def _check(entry: FaultEntry, plan: Plan) -> None:
    if entry.kind not in KINDS:
        raise FaultError(f"expected one of {', '.join(KINDS)}")
    if (entry.kind == "split") != bool(entry.sides):
        raise FaultError("expected sides with split, and with nothing else")
    members = Members(plan)
    for names in (entry.members, entry.towards, *entry.sides):
        if names == "summers":
            raise FaultError("'summers': expected names or a share")
        if isinstance(names, list):
            members.named(names)
    if entry.kind in ("kill", "leave") and isinstance(entry.members, list):
        real = set(members.named(entry.members)) & {f"b{number}" for number in range(plan.real)}
        if real:
            raise FaultError(f"members: {min(real)!r} is a process of its own: expected hollow brokers")


class Members:
    """Names of members by name, zone, region or share."""

    def __init__(self, plan: Plan) -> None:
        self.all = [one.name for one in plan.members]
        self._groups: dict[str, list[str]] = {}
        for one in plan.members:
            for group in (one.name, one.zone, one.region):
                self._groups.setdefault(group, []).append(one.name)

    def named(self, names: Sequence[str]) -> list[str]:
        """Raises ``FaultError`` for a name of nothing."""
        found: dict[str, None] = {}
        for name in names:
            if name not in self._groups:
                raise FaultError(
                    f"{name!r}: expected b0 to b{len(self.all) - 1}, a zone-N or a region-N with members"
                )
            found.update(dict.fromkeys(self._groups[name]))
        return list(found)

    def some(self, chosen: Some, source: random.Random, among: Sequence[str]) -> list[str]:
        """The named ones, or a share of ``among``, at least one."""
        if isinstance(chosen, list):
            return self.named(chosen)
        assert isinstance(chosen, float)
        many = min(max(round(chosen * len(among)), 1), len(among))
        return sorted(source.sample(sorted(among), many))


class Faults:
    """Plays a file. ``at(ns, call)`` plans, ``tell`` reaches all hosts, ``changed`` is called at each change.

    ``running`` are the hollow brokers. ``ways``: of the relay in front of the real ones, if there is one.
    """

    def __init__(
        self,
        file: FaultFile,
        plan: Plan,
        at: Callable[[int, Callable[[], None]], None],
        tell: Callable[[m.ToHost], None],
        changed: Callable[[], None],
        ways: Ways | None,
    ) -> None:
        self._plan, self._at, self._tell, self._changed, self._ways = plan, at, tell, changed, ways
        self._members = Members(plan)
        self._random = random.Random(f"{plan.seed} faults")
        self._links = 0
        self.running = set(self._members.all[plan.real :])
        for entry in file.faults:
            at(entry.at, self._beginning(entry))

    def _beginning(self, entry: FaultEntry) -> Callable[[], None]:
        return lambda: self._begin(entry)

    def _begin(self, entry: FaultEntry) -> None:
        match entry.kind:
            case "kill" | "leave":
                self._end(entry)
            case "split":
                self._split(entry)
            case _:
                senders = self._members.some(entry.members, self._random, self._members.all)
                receivers = self._members.some(entry.towards, self._random, self._members.all)
                lose = 1.0 if entry.kind == "cut" else entry.share
                self._link(entry, senders, receivers, lose)
                if entry.kind == "cut" and entry.both:
                    self._link(entry, receivers, senders, lose)

    def _end(self, entry: FaultEntry) -> None:
        names = self._members.some(entry.members, self._random, sorted(self.running))
        names = [name for name in names if name in self.running]
        self.running -= set(names)
        self._tell(m.EndBrokers(tuple(names), entry.kind == "leave"))
        self._changed()
        if entry.back:
            self._at(entry.at + entry.last, lambda: self._start(names))

    def _start(self, names: list[str]) -> None:
        self.running |= set(names)
        self._tell(m.StartBrokers(tuple(names)))
        self._changed()

    def _split(self, entry: FaultEntry) -> None:
        sides = [self._members.named(side) for side in entry.sides]
        for side in sides:
            others = [name for other in sides if other is not side for name in other]
            self._link(entry, side, others, 1.0)

    def _link(self, entry: FaultEntry, senders: list[str], receivers: list[str], lose: float) -> None:
        self._links += 1
        fault = m.LinkFault(self._links, tuple(senders), tuple(receivers), lose)
        self._tell(fault)
        self._treat_real(fault, on=True)
        self._changed()

        def over() -> None:
            self._tell(m.EndLinkFault(fault.id))
            self._treat_real(fault, on=False)
            self._changed()

        self._at(entry.at + entry.last, over)

    def _treat_real(self, fault: m.LinkFault, on: bool) -> None:
        """Hosts treat what hollow brokers send, the relay what real ones do."""
        if self._ways is None:
            return
        real = {f"b{number}" for number in range(self._plan.real)}
        for sender in sorted(real.intersection(fault.senders)):
            for receiver in fault.receivers:
                way = self._ways.way(sender, receiver)
                if fault.lose >= 1:
                    way.cut += 1 if on else -1
                else:
                    way.lose = fault.lose if on else 0.0
