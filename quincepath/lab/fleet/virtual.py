"""A fleet in virtual time: the views as they are, messages as bytes, faults by a script."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from quincepath.fleet.view.core import (
    CloseConnection,
    ConnectionAccepted,
    ConnectionClosed,
    DatagramReceived,
    Drain,
    FrameReceived,
    Input,
    Leave,
    OpenConnection,
    SendDatagram,
    SendFrame,
    View,
)  # fmt: skip
from quincepath.fleet.view.facts import Change, Phase, ViewSettings
from quincepath.lab.fleet.faults import Faults
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.script import FaultEntry, FleetScript
from quincepath.lab.fleet.verdict import SECOND, Verdict, Watcher

BACKLOG = 256  # datagrams that wait for a member that stands still; more are lost
DIAL_TIME = SECOND  # until a line over a cut way counts as lost
HANDSHAKE = 7 * 40  # bytes of a connection's own segments, to stand and to end
CHECK = SECOND // 10  # between looks whether all views are equal and true
FOREVER = 1 << 61


@dataclass(slots=True, eq=False)
class Member:
    """One process. ``still``: it stands; what comes waits in ``inbox``."""

    place: str  # its name, with a mark for a second process of that name
    name: str
    view: View
    started: int
    inbox: list[Input] = field(default_factory=list)
    still: int = 0
    woken_at: int = FOREVER  # the next wake-up that is planned
    gone: bool = False
    lines: dict[int, "Wire"] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Wire:
    """One line between two members; each end has its own number for it."""

    ends: dict[str, int]  # by place
    stands_at: int = 0
    free_at: int = 0  # what was framed arrives in order
    open: bool = True


class Virtual:
    """One day. Events are (time, order, call); the same script and seed give the same day.

    ``warm``: all members know each other at the beginning, nobody joins.
    """

    def __init__(self, script: FleetScript, seed: int | None = None, warm: bool = False) -> None:
        self.script, self.warm = script, warm
        self.seed = script.seed if seed is None else seed
        self.random = random.Random(f"{self.seed} faults")
        replays = any(entry.kind == "replay" for entry in script.faults)
        self.ways = Ways(script.links, self.seed, replays)
        self.now = 0
        self.members: dict[str, Member] = {}
        self.watcher = Watcher()
        self.verdict = Verdict(quiet_from=script.quiet_from)
        self.changes: list[tuple[str, Change]] = []
        self.keep_changes = False
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = self._boots = 0
        self._numbers = 0
        self._agree_since = -1

    # --- running ---

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Plan something."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, call))

    def run(self, until: int | None = None) -> Verdict:
        """The whole day, or to a time."""
        end = self.script.length if until is None else until
        if not self.members:
            if self.warm:
                self._begin_warm()
            for name in self.script.names:
                if name not in self.script.absent and not self.warm:
                    self.at(self.random.randrange(SECOND // 5), lambda n=name: self.start(n))  # type: ignore[misc]
            Faults(self.script, self.seed, self, self.ways, self.watcher)
            self.at(CHECK, self._check)
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end
        return self._finish(end)

    def _finish(self, end: int) -> Verdict:
        verdict = self.verdict
        for member in self.members.values():
            verdict.member_seconds += (end - member.started) / SECOND
            member.started = end
        verdict.settled = self._agree_since
        verdict.deaths = self.watcher.deaths
        verdict.false_deaths = len(self.watcher.false)
        verdict.findings = []
        expect = self.script.expect
        if verdict.settled < 0:
            verdict.findings.append(f"views are not equal and true at the end: {self.difference()}")
        elif verdict.settle_time > expect.settle:
            verdict.findings.append(f"settled only {verdict.settle_time / SECOND:.1f} s after the last fault")
        if expect.deaths == "none":
            for at, who, of in self.watcher.false[:3]:
                verdict.findings.append(
                    f"{who} believed {of} dead at {at / SECOND:.2f} s, which ran undisturbed"
                )
        return verdict

    def running(self) -> list[str]:
        """Names of those that run, clones left out."""
        return [place for place, member in self.members.items() if place == member.name]

    def drain(self, name: str, draining: bool) -> None:
        """It says that it drains."""
        self.deliver(name, Drain(draining))

    def again(self, to: str, data: bytes) -> None:
        """A datagram of earlier arrives once more."""
        self.deliver(to, DatagramReceived(data))

    def of_load(self, entry: FaultEntry, holders: list[str]) -> None:
        """Nothing: views alone are played here, and no view hears of load or holders."""

    def start(self, name: str, place: str = "", ahead: int = 0) -> None:
        """A new process, without memory of earlier ones; no view reads a wall clock, however far ahead."""
        self._step(self._begin(name, place), [])

    def _begin(self, name: str, place: str = "") -> Member:
        self._boots += 1
        script, place = self.script, place or name
        source = random.Random(f"{self.seed} {place} {self._boots}")
        peers = tuple(one for one in script.names if one != name)
        number = script.names.index(name)
        settings = ViewSettings(
            "lab", name, peers, tuple(one for one in script.join if one != name),
            zone=script.zones[number % len(script.zones)], **script.view.changes(),
        )  # fmt: skip
        boot, seed = source.getrandbits(62), source.getrandbits(62)
        member = Member(place, name, View(settings, boot, seed, self.now), self.now)
        self.members[place] = member
        if place == name:
            self.watcher.started(name, self.now)
        if not self.warm or self.now:
            self.watcher.excuse(name, self.now)
        return member

    def _begin_warm(self) -> None:
        """As if all had joined long ago."""
        for name in self.script.names:
            self._begin(name)
        for member in self.members.values():
            member.view.own.finish_joining(0)
        for member in self.members.values():
            table = member.view.table
            for other in self.members.values():
                table.put(other.view.own.belief(0), "known")
            for kept in (table.updated, table.changes, table.history):
                kept.clear()
            table.changed_at = -SECOND * SECOND
            member.view.exchanges.schedule_next(self.random.randrange(member.view.settings.exchange), False)
            self._step(member, [])

    def _wake(self, member: Member) -> None:
        due = max(member.view.due, self.now)
        if due < member.woken_at and not member.gone:
            member.woken_at = due
            self.at(due, lambda: self._woken(member, due))

    def _woken(self, member: Member, due: int) -> None:
        if member.woken_at != due or member.gone:
            return
        member.woken_at = FOREVER
        if not member.still:
            self._step(member, [])

    def _step(self, member: Member, inputs: list[Input]) -> None:
        for out in member.view.step(self.now, inputs):
            match out:
                case SendDatagram(to, data):
                    self._send(member, to, data)
                case OpenConnection(line, to):
                    self._call(member, line, to)
                case SendFrame(line, data):
                    self._frame(member, line, data)
                case CloseConnection(line):
                    self._hang_up(member, line)
                case Change(name=of, now=phase):
                    if member.place == member.name:
                        self.watcher.believed(member.name, of, phase.split(",")[0], self.now)
                    if self.keep_changes:
                        self.changes.append((member.place, out))
        self._wake(member)

    def deliver(self, place: str, item: Input) -> None:
        """Something arrives at a process; it waits while that stands still."""
        member = self.members.get(place)
        if member is None:
            return
        if not member.still:
            self._step(member, [item])
        elif len(member.inbox) < BACKLOG:
            member.inbox.append(item)

    # --- the network ---

    def _send(self, member: Member, to: str, data: bytes) -> None:
        self.verdict.messages += 1
        self.verdict.bytes += len(data) + 28  # with the headers of UDP and IPv4
        for wait in self.ways.fates(member.name, to, data):
            self.at(self.now + wait, lambda: self.deliver(to, DatagramReceived(data)))

    def _call(self, member: Member, line: int, to: str) -> None:
        there = self.members.get(to)
        way = self.ways.way(member.name, to)
        self.verdict.bytes += HANDSHAKE
        if self.ways.is_cut(member.name, to) or self.ways.is_cut(to, member.name) or there is member:
            self.at(self.now + DIAL_TIME, lambda: self._lost(member, line, "not established in time"))
            return
        if there is None:
            self.at(self.now + self.ways.wait(way), lambda: self._lost(member, line, "refused"))
            return
        wait = self.ways.connected(member.name, to)
        if wait > member.view.settings.exchange_time:
            self.at(
                self.now + member.view.settings.exchange_time,
                lambda: self._lost(member, line, "not established in time"),
            )
            return
        self._numbers -= 1
        number = self._numbers
        wire = Wire({member.place: line, there.place: number}, self.now + wait, self.now + wait)
        member.lines[line] = there.lines[number] = wire
        self.at(wire.free_at, lambda: self.deliver(to, ConnectionAccepted(number)))

    def _lost(self, member: Member, line: int, why: str) -> None:
        if not member.gone:
            self.deliver(member.place, ConnectionClosed(line, why))

    def _other(self, wire: Wire, member: Member) -> tuple[Member | None, int]:
        for place, number in wire.ends.items():
            if place != member.place:
                return self.members.get(place), number
        return None, 0

    def _frame(self, member: Member, line: int, data: bytes) -> None:
        wire = member.lines.get(line)
        self.verdict.bytes += len(data) + 40
        if wire is None or not wire.open:
            return
        there, number = self._other(wire, member)
        if there is None or self.ways.is_cut(member.name, there.name):
            return  # no word comes; the other's time runs out
        wait = self.ways.streamed(member.name, there.name, len(data))
        wire.free_at = max(wire.free_at, max(self.now, wire.stands_at) + wait)
        place, name = there.place, there.name

        def arrives() -> None:
            # Cut while it was sent again: it does not come, and what comes after it neither.
            if not self.ways.is_cut(member.name, name):
                self.deliver(place, FrameReceived(number, data))

        self.at(wire.free_at, arrives)

    def _hang_up(self, member: Member, line: int) -> None:
        wire = member.lines.pop(line, None)
        if wire is None or not wire.open:
            return
        wire.open = False
        there, number = self._other(wire, member)
        if there is not None:
            there.lines.pop(number, None)
            place = there.place
            self.at(
                max(wire.free_at, self.now) + 1,
                lambda: self.deliver(place, ConnectionClosed(number, "end of stream")),
            )

    # --- faults ---

    def end(self, place: str, leaves: bool) -> None:
        """A process ends; its lines break."""
        member = self.members.get(place)
        if member is None:
            return
        if leaves:
            self._step(member, [Leave()])
        for line in list(member.lines):
            self._hang_up(member, line)
        member.gone = True
        del self.members[place]
        self.verdict.member_seconds += (self.now - member.started) / SECOND
        if place == member.name:
            self.watcher.killed(place, self.now)

    def hold(self, name: str) -> None:
        """It stands still."""
        if name in self.members:
            self.members[name].still += 1

    def go_on(self, name: str) -> None:
        """It goes on, with what came meanwhile before it."""
        member = self.members.get(name)
        if member is None or not member.still:
            return
        member.still -= 1
        if not member.still:
            inputs, member.inbox = member.inbox, []
            self._step(member, inputs)

    # --- looking ---

    def truth(self) -> set[str]:
        """Names of processes that run."""
        return {member.name for member in self.members.values()}

    def agree(self) -> bool:
        """Whether all that run hold the same view and it is true."""
        views = [member.view for place, member in self.members.items() if place == member.name]
        if not views or len({view.table.digest for view in views}) > 1:
            return False
        first = views[0].table
        living = {belief.name for belief in first.all() if belief.live}
        return (
            living == self.truth()
            and not any(view.table.suspects for view in views)
            and all(view.own.phase is Phase.ALIVE for view in views)
        )

    def difference(self) -> str:
        """What keeps views from being equal and true, for people."""
        truth = self.truth()
        for place, member in sorted(self.members.items()):
            living = {belief.name for belief in member.view.table.all() if belief.live}
            if living != truth or member.view.table.suspects:
                missing, extra = sorted(truth - living), sorted(living - truth)
                suspects = sorted(member.view.table.suspects)
                return f"{place} lacks {missing[:5]}, has {extra[:5]} too many, suspects {suspects[:5]}"
        digests = {place: member.view.table.digest for place, member in self.members.items()}
        return f"{len(set(digests.values()))} digests"

    def _check(self) -> None:
        if not self.agree():
            self._agree_since = -1
        elif self._agree_since < 0:
            self._agree_since = self.now
        self.at(self.now + CHECK, self._check)


def play(script: FleetScript, seed: int | None = None) -> Verdict:
    """A script in virtual time."""
    return Virtual(script, seed).run()
