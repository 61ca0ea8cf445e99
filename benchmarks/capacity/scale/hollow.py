"""One hollow broker: the whole control plane of a broker, with made-up counts in place of the data path."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from prometheus_client import CollectorRegistry

from benchmarks.capacity.scale.configuration import HollowConfiguration
from benchmarks.capacity.scale.links import BlackHole, LinkFaults, LossySocket
from benchmarks.capacity.scale.load import Queries
from benchmarks.capacity.scale.messages import BrokerFigures
from benchmarks.capacity.scale.meter import CONFIGURATION, LEDGER, LOAD, LOG, VIEW, MeteredLoop
from benchmarks.capacity.scale.plan import Configurations, Mechanism, MemberPlan, Plan
from benchmarks.capacity.scale.traffic import figures_of
from quincepath.broker.service.fleet import open_voter_store
from quincepath.fleet.permits import DRAIN, Back, Grant
from quincepath.fleet.service import Fleet
from quincepath.fleet.transport import Transport
from quincepath.fleet.view.core import Input
from quincepath.fleet.view.facts import Change

LOAD_PERIOD = 250_000_000  # ns between queries that are counted together
DRAIN_TIME = 3_600_000  # ms until a drain is overdue


class HollowEdge(Transport):
    """The edge of a hollow broker: its view's work is charged to the view, and links may fail."""

    def step(self, inputs: list[Input]) -> None:
        """One step of the view, charged to it."""
        assert isinstance(self.loop, MeteredLoop)
        with self.loop.meter.charged(VIEW):
            super().step(inputs)

    def lose(self, names: dict[tuple[str, int], str], faults: LinkFaults) -> None:
        """Apply ``faults`` to every datagram sent from now on."""
        lossy: Any = LossySocket(self.udp, self.view.settings.name, names, faults)
        self.udp = lossy

    def reroute(self, name: str, place: tuple[str, int]) -> None:
        """Reach a member at another place from now on; a standing connection to it ends."""
        self.peer_addresses[name] = place
        way = self._outbound.pop(name, None)
        if way is None:
            return
        if way.dial is not None:
            way.dial.close()
        if way.stream is not None:
            way.stream.close()


class SilentViewEdge(HollowEdge):
    """For a run without the view: it is never asked, so that it neither speaks nor hears."""

    def step(self, inputs: list[Input]) -> None:
        """No step: what came is dropped."""
        pass


class HollowBroker:
    """``knows_living_at`` and ``knows_drained_at``: when it came to know what is expected; 0: it does not."""

    def __init__(
        self,
        plan: Plan,
        member: MemberPlan,
        configurations: Configurations,
        loop: MeteredLoop,
        log: Any,
        expected_living: Callable[[], int],
        expected_drained: Callable[[], frozenset[str]],
        in_force: Callable[[int, int], None],
    ) -> None:
        self.member, self.loop, self._plan = member, loop, plan
        self._expected_living, self._expected_drained = expected_living, expected_drained
        self.knows_living_at = self.knows_drained_at = 0
        self.deaths = 0  # times that it came to believe another broker dead
        self._drained: frozenset[str] = frozenset()
        self._unreachable: frozenset[str] = frozenset()
        self._queries = 0.0
        self._closed = False
        self.fleet = Fleet(
            configurations.broker(member),
            configurations.fleet(member),
            loop,
            log,
            CollectorRegistry(),
            Path(plan.folder),
            open_voter_store,
            HollowEdge if Mechanism.VIEW in plan.mechanisms else SilentViewEdge,
        )
        self.configuration: HollowConfiguration | None = None
        if self.fleet.distribution is not None:
            self.configuration = HollowConfiguration(self.fleet.distribution, loop, in_force)
        self._charge_receivers()
        self._watch_changes()
        self.look_at_living()
        self.look_at_drained()
        if self.fleet.load_service is not None and plan.queries:
            self._made_up = Queries(member.name, plan.profile, self.fleet.load_service)
            loop.call_in(LOAD_PERIOD, self._count_queries)

    @property
    def edge(self) -> HollowEdge:
        """Its sockets."""
        assert isinstance(self.fleet.transport, HollowEdge)
        return self.fleet.transport

    def _charge_receivers(self) -> None:
        """What the edge hands to the ledger and the log is charged to them."""
        meter, edge = self.loop.meter, self.edge

        def charged(account: str, receive: Callable[[bytes], None]) -> Callable[[bytes], None]:
            def received(data: bytes) -> None:
                with meter.charged(account):
                    receive(data)

            return received

        if edge.on_other_datagram is not None:
            edge.on_other_datagram = charged(LEDGER, edge.on_other_datagram)
        if edge.on_log_message is not None:
            edge.on_log_message = self._divided(charged(LOG, edge.on_log_message))

    def _divided(self, to_log: Callable[[bytes], None]) -> Callable[[bytes], None]:
        """The log and the configuration share their connections; ``to_log`` tells them apart itself."""
        configuration = self.configuration
        if configuration is None:
            return to_log

        def received(data: bytes) -> None:
            if configuration.owns(data):
                with self.loop.meter.charged(CONFIGURATION):
                    to_log(data)
            else:
                to_log(data)

        return received

    def _watch_changes(self) -> None:
        told = self.edge.on_notice

        def noted(out: Any) -> None:
            told(out)
            if isinstance(out, Change):
                self.deaths += out.now.startswith("dead")
                self.look_at_living()

        def drained(names: frozenset[str]) -> None:
            self._drained = names
            self.look_at_drained()

        self.edge.on_notice = noted
        self.fleet.on_drained = drained

    def look_at_living(self) -> None:
        """Note whether the number of living brokers is the expected one, and since when."""
        if self.fleet.view.table.live_count != self._expected_living():
            self.knows_living_at = 0
        elif not self.knows_living_at:
            self.knows_living_at = time.monotonic_ns()

    def look_at_drained(self) -> None:
        """Note whether those drained are the expected ones, and since when."""
        if self._drained != self._expected_drained():
            self.knows_drained_at = 0
        elif not self.knows_drained_at:
            self.knows_drained_at = time.monotonic_ns()

    def _count_queries(self) -> None:
        """Those since the last time."""
        if self._closed:
            return
        with self.loop.meter.charged(LOAD):
            self._queries += self._plan.queries * LOAD_PERIOD / 1e9
            self._made_up.arrive(int(self._queries))
            self._queries %= 1
        self.loop.call_in(LOAD_PERIOD, self._count_queries)

    def propose(self, id: str, name: str, back: bool, done: Callable[[str], None]) -> None:
        """Have a drain committed, or that a broker is back; ``done`` gets why not, or nothing."""
        if self.fleet.replicated_log is None:
            done("the log is off")
            return
        now = time.time_ns() // 1_000_000
        if back:
            self.fleet.replicated_log.submit(Back(id, "scale", now, name), done)
        else:
            self.fleet.replicated_log.submit(Grant(id, "scale", now, name, DRAIN, now + DRAIN_TIME), done)

    def cut(self, unreachable: frozenset[str], places: dict[str, tuple[str, int]], hole: BlackHole) -> None:
        """Reach these members no more, and all others again."""
        for name in unreachable - self._unreachable:
            self.edge.reroute(name, hole.place)
        for name in self._unreachable - unreachable:
            self.edge.reroute(name, places[name])
        self._unreachable = unreachable

    def figures(self) -> BrokerFigures:
        """What it has sent."""
        found = figures_of(self.member.name, self.edge.sent)
        if self.configuration is not None:
            messages, size = self.configuration.messages, self.configuration.bytes
            found.messages[CONFIGURATION], found.bytes[CONFIGURATION] = messages, size
            found.messages[LOG] -= messages
            found.bytes[LOG] -= size
        return found

    def end(self, leaves: bool) -> None:
        """End without a word, or in good order."""
        self._closed = True
        if self.fleet.load_service is not None:
            self.fleet.load_service.close()
        if not leaves:
            self.edge.close()
        self.fleet.close()
