"""A process of hollow brokers: ``python -m benchmarks.capacity.scale.host DESCRIPTOR SECONDS``.

It does what its parent says on the socket of that descriptor, and ends when the parent does: at the end of
that stream, or after so many seconds whatever happens.
"""

import gc
import signal
import socket
import sys
import time
from collections import Counter
from typing import Any

import psutil

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.hollow import HollowBroker
from benchmarks.capacity.scale.links import BlackHole, LinkFaults
from benchmarks.capacity.scale.memory import reachable_bytes
from benchmarks.capacity.scale.meter import CONFIGURATION, HARNESS, LEDGER, LOG, VIEW, Lateness, MeteredLoop
from benchmarks.capacity.scale.plan import Configurations, MemberPlan, Plan
from quincepath.fleet.configuration.changes import Change, Edit, encode_change
from quincepath.fleet.configuration.commands import ChangeConfiguration
from quincepath.fleet.configuration.resources import encode_resource
from quincepath.net.stream import Stream
from quincepath.observe.logs import logger, setup

FREEZE_EVERY = 1_000_000_000  # ns; see ``_freeze``
START_GAP = 50_000_000  # ns between two brokers that start: a join costs every member an exchange or news
TENANT, WEIGHTS = "scale", 90  # the resource that is changed, and how many values it takes in turn
LACKING_MOST = 8  # brokers named in a progress report


class Host:
    """The hollow brokers of one process, and the channel to the parent."""

    def __init__(self, loop: MeteredLoop, channel: socket.socket) -> None:
        self.loop = loop
        self.lateness = Lateness(loop)
        self.brokers: dict[str, HollowBroker] = {}
        self._log = logger()
        self._plan: Plan | None = None
        self._configurations: Configurations | None = None
        self._own: dict[str, MemberPlan] = {}
        self._places: dict[str, tuple[str, int]] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._sent_before: Counter[str] = Counter()  # by brokers that have ended
        self._deaths_before = 0
        self._reached: dict[int, tuple[int, int]] = {}
        self._proposed_at: dict[int, int] = {}
        self._refused: list[str] = []
        self._living = 0
        self._drained: frozenset[str] = frozenset()
        self._faults: LinkFaults | None = None
        self._hole: BlackHole | None = None
        self._freeze()
        self._reader = m.Reader(self._message)
        self._stream = Stream(loop, channel, self._reader.feed, lambda _: loop.stop())

    def _freeze(self) -> None:
        """Keep what there is out of later garbage collections.

        Hundreds of brokers in one heap make a full collection take a second, which no broker of its own has.
        Cycles that become garbage later stay until the process ends, within the run's bound of memory.
        """
        gc.freeze()
        self.loop.call_in(FREEZE_EVERY, self._freeze)

    def _say(self, message: m.ToParent) -> None:
        self._stream.write(m.pack(message))

    def _message(self, data: bytes) -> None:
        with self.loop.meter.charged(HARNESS):
            self._obey(m.to_host(data))

    def _obey(self, message: m.ToHost) -> None:
        match message:
            case m.Setup(plan, names):
                self._set_up(plan, names)
            case m.StartBrokers(names):
                self._start([name for name in names if name in self._own and name not in self.brokers])
            case m.EndBrokers(names, leaves):
                for name in names:
                    self._end(name, leaves)
            case m.Expect(living, drained):
                self._expect(living, frozenset(drained))
            case m.Command(id, member, name, back):
                self._command(id, member, name, back)
            case m.ProposeChanges(member, count, every):
                self._propose(member, count, every, None)
            case m.LinkFault() | m.EndLinkFault():
                self._change_links(message)
            case m.BeginPhase():
                self.lateness.begin()
            case m.AskProgress():
                self._say(self._progress())
            case m.AskFigures(memory):
                self._say(self._figures(memory))
            case m.Stop():
                self.loop.stop()

    # --- brokers ---

    def _set_up(self, plan: Plan, names: tuple[str, ...]) -> None:
        self._plan = plan
        self._configurations = Configurations(plan)
        members = plan.members
        self._places = {one.name: one.place for one in members}
        self._names = {one.place: one.name for one in members}
        wanted = set(names)
        self._own = {one.name: one for one in members if one.name in wanted}
        self._faults = LinkFaults(plan.seed)
        self._hole = BlackHole(members[0].host)

    def _start(self, names: list[str]) -> None:
        """One after the other, with a pause between."""
        if not names:
            return
        self._start_one(names[0])
        self.loop.call_in(START_GAP, lambda: self._start(names[1:]))

    def _start_one(self, name: str) -> None:
        assert self._plan is not None and self._configurations is not None and self._faults is not None
        broker = HollowBroker(
            self._plan,
            self._own[name],
            self._configurations,
            self.loop,
            self._log,
            lambda: self._living,
            lambda: self._drained,
            self._in_force,
        )
        broker.edge.lose(self._names, self._faults)
        self.brokers[name] = broker
        self._apply_cuts(broker)

    def _end(self, name: str, leaves: bool) -> None:
        broker = self.brokers.pop(name, None)
        if broker is not None:
            broker.end(leaves)
            self._sent_before.update(broker.edge.sent)
            self._deaths_before += broker.deaths

    def _expect(self, living: int, drained: frozenset[str]) -> None:
        self._living, self._drained = living, drained
        for broker in self.brokers.values():
            broker.look_at_living()
            broker.look_at_drained()

    def _command(self, id: str, member: str, name: str, back: bool) -> None:
        broker = self.brokers.get(member)
        if broker is not None:
            broker.propose(id, name, back, lambda why: self._say(m.Committed(id, why)))

    # --- configuration ---

    def _in_force(self, before: int, revision: int) -> None:
        """A revision, and all between it and the one before, came into force at one more broker."""
        now = time.monotonic_ns()
        for one in range(before + 1, revision + 1):
            brokers, _ = self._reached.get(one, (0, 0))
            self._reached[one] = (brokers + 1, now)

    def _propose(self, member: str, left: int, every: int, value: bytes | None, number: int = 1) -> None:
        """One change of one resource; the next when this one took effect here, but not sooner than wanted."""
        broker = self.brokers.get(member)
        if broker is None or broker.fleet.replicated_log is None or not left:
            return
        agreed, proposed_at = broker.fleet.replicated_log, time.monotonic_ns()
        new = encode_resource({"name": TENANT, "weight": float(number % WEIGHTS + 1)})
        wall = time.time_ns() // 1_000_000
        change = Change(f"change {number}", "scale", wall, (Edit(f"tenant/{TENANT}", value, new),))

        def done(why: str) -> None:
            if why:
                self._refused.append(f"{change.id}: {why}")
                return
            self._proposed_at[agreed.machine.configuration.answers[change.id].revision] = proposed_at
            next_at = max(proposed_at + every, self.loop.clock())
            self.loop.call_at(next_at, lambda: self._propose(member, left - 1, every, new, number + 1))

        agreed.submit(ChangeConfiguration(change.id, "scale", wall, encode_change(change)), done)

    # --- links ---

    def _change_links(self, message: m.LinkFault | m.EndLinkFault) -> None:
        assert self._faults is not None
        if isinstance(message, m.LinkFault):
            self._faults.begin(message)
        else:
            self._faults.end(message.id)
        for broker in self.brokers.values():
            self._apply_cuts(broker)

    def _apply_cuts(self, broker: HollowBroker) -> None:
        assert self._faults is not None and self._hole is not None
        broker.cut(self._faults.cut_from(broker.member.name), self._places, self._hole)

    # --- reports ---

    def _progress(self) -> m.Progress:
        brokers = list(self.brokers.values())
        lacking = [one.member.name for one in brokers if not one.knows_living_at or not one.knows_drained_at]
        ends = [one.configuration for one in brokers if one.configuration is not None]
        sent = Counter(self._sent_before)
        for one in brokers:
            sent.update(one.edge.sent)
        return m.Progress(
            running=len(brokers),
            settled=sum(not one.fleet.view.unsettled() for one in brokers),
            knows_living=sum(bool(one.knows_living_at) for one in brokers),
            living_at=max((one.knows_living_at for one in brokers), default=0),
            knows_drained=sum(bool(one.knows_drained_at) for one in brokers),
            drained_at=max((one.knows_drained_at for one in brokers), default=0),
            late_most=self.lateness.most,
            late_usual=self.lateness.usual,
            lacking=tuple(lacking[:LACKING_MOST]),
            messages=sent["datagrams"] + sent["posted"] + sent["frames"],
            bytes=sent["bytes"],
            deaths=self._deaths_before + sum(one.deaths for one in brokers),
            subscribed=sum(bool(end.subscriber.chooser.current) for end in ends),
            revision_least=min((end.revision for end in ends), default=0),
            changes_committed=len(self._proposed_at),
            changes_refused=tuple(self._refused[:LACKING_MOST]),
        )

    def _figures(self, memory: bool) -> m.Figures:
        dropped: dict[str, int] = {}
        for broker in self.brokers.values():
            for cause, count in broker.fleet.view.dropped.items():
                dropped[cause] = dropped.get(cause, 0) + count
        return m.Figures(
            at=time.monotonic_ns(),
            brokers=tuple(broker.figures() for broker in self.brokers.values()),
            processor=dict(self.loop.meter.spent),
            used=time.process_time_ns(),
            resident=psutil.Process().memory_info().rss,
            dropped=dropped,
            digests=tuple({broker.fleet.view.table.digest for broker in self.brokers.values()}),
            memory=self._memory() if memory else {},
            proposed_at=self._proposed_at,
            reached={one: m.Reach(*reach) for one, reach in self._reached.items()},
        )

    def _memory(self) -> dict[str, int]:
        """Of one broker, by mechanism: what only that mechanism holds."""
        broker = next(iter(self.brokers.values()), None)
        if broker is None:
            return {}
        fleet = broker.fleet
        beyond: list[Any] = [self, self.loop, self._log, broker, fleet, fleet.transport, fleet.entry]
        beyond += [fleet.log, self._places, self._names, self._configurations]
        configuration = broker.configuration
        subscriber = None if configuration is None else configuration.subscriber
        parts = {
            VIEW: fleet.view,
            LEDGER: fleet.load_service,
            LOG: fleet.replicated_log,
            CONFIGURATION: subscriber,
        }
        beyond.append(configuration)
        found = {}
        for name, part in parts.items():
            others = [other for other in parts.values() if other is not part]
            if part is not None:
                found[name] = reachable_bytes([part], [*beyond, *others])
        return found

    def close(self) -> None:
        """Give back all sockets."""
        for name in list(self.brokers):
            self._end(name, False)
        if self._hole is not None:
            self._hole.close()
        self._stream.close()


def main(descriptor: int, seconds: int) -> None:
    """Until the parent says so, or ends, or the time is over."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal sends it to all: the parent decides
    signal.alarm(seconds)  # ends the process, also where its loop is stuck
    setup("json", "error")
    loop = MeteredLoop()
    host = Host(loop, socket.socket(fileno=descriptor))
    try:
        loop.run()
    finally:
        host.close()
        loop.close()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
