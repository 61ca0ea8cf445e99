"""Watching others: probes in rounds and on behalf of others, what their answers and silence mean."""

from quincepath.fleet.messages import Ack, Body, Envelope, Gossip, Nack, Ping, PingReq
from quincepath.fleet.view.anti_entropy import AntiEntropy
from quincepath.fleet.view.facts import Belief
from quincepath.fleet.view.ports import OpenConnection
from quincepath.fleet.view.probing import PROBES_MOST, IndirectProbe, Probe
from quincepath.fleet.view.sending import NEVER

CONFIRM = 3.0  # members that look for themselves, of all that hear of a suspicion, on average


class FailureDetector(AntiEntropy):
    """Probes members and accuses who does not answer, unless the fault may be this member's own."""

    def _datagram(self, sender: str, body: Body) -> None:
        match body:
            case Ping(number):
                self._send(sender, Ack(number))
            case PingReq(number, target):
                if target not in self.table.peers:
                    self.dropped["unknown member"] += 1
                    return
                mine = self.prober.relay(sender, number, target, self.now)
                if mine:
                    self._send(target, Ping(mine))
            case Ack(number):
                self._acked(sender, number)
            case Nack(number):
                probe = self.prober.probes.get(number)
                if probe is not None and sender in probe.helpers:
                    probe.nacks += 1

    def _ping_by_connection(self, probe: Probe) -> None:
        """The ping once more, by TCP: what is lost there is sent again. It clears, and never accuses."""
        if self.own.yielded:
            return
        line = self.exchanges.ask(probe.target, probe.number, probe.end_at)
        if line:
            self._out.append(OpenConnection(line, probe.target))
            self._frame(line, probe.target, Ping(probe.number))

    def _on_frame(self, line: int, envelope: Envelope, body: Body) -> None:
        state = self.exchanges.lines.get(line)
        match body:
            case Ping(number) if state is not None and not state.mine:
                if not self.own.yielded:
                    self._frame(line, envelope.sender, Ack(number))
                self._hang_up(line)
            case Ack(number) if state is not None and state.probe == number:
                self._acked(envelope.sender, number)
                self._hang_up(line)
            case _:
                super()._on_frame(line, envelope, body)

    def _acked(self, sender: str, number: int) -> None:
        probe = self.prober.probes.get(number)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            del self.prober.probes[number]
            self.prober.health.answered()
            seen = self._other_processes.get(probe.target)
            if seen is not None and sender == probe.target and probe.sent > seen.first:
                seen.proved = True
            return
        relay = self.prober.indirect_probes.get(number)
        if relay is not None and sender == relay.target:
            del self.prober.indirect_probes[number]
            self._send(relay.requester, Ack(relay.number), (relay.target,))

    def _round_open(self) -> bool:
        return any(probe.of_round for probe in self.prober.probes.values())

    def _probe_next(self) -> None:
        settings = self.settings
        target = self.prober.next_target(self.table.live_peers(), lambda n: not self.prober.watches(n))
        if target is not None:
            self._send(target, Ping(self.prober.begin(target, self.now, True).number))
        # From when it was due, so that a turn's delay does not add up; never in the past.
        wait = settings.period * self.prober.health.times
        self._probe_at = max(self._probe_at + wait, self.now + wait // 2)

    def _on_probe_timer(self, probe: Probe) -> None:
        now = self.now
        if self.prober.again(probe, now):
            self._send(probe.target, Ping(probe.number))
        if now >= probe.ask_at and not probe.indirect_sent:
            probe.indirect_sent = True
            probe.helpers = self._helpers(probe.target)
            for helper in probe.helpers:
                self._send(helper, PingReq(probe.number, probe.target), (probe.target,))
            if self.settings.stream:
                self._ping_by_connection(probe)
        if now >= probe.end_at:
            del self.prober.probes[probe.number]
            self._on_probe_failed(probe)

    def _relay_timer(self, number: int, relay: IndirectProbe) -> None:
        if self.now >= relay.nack_at and not relay.nacked:
            relay.nacked = True
            self._send(relay.requester, Nack(relay.number))
        if self.now >= relay.end_at:
            del self.prober.indirect_probes[number]

    def _helpers(self, target: str) -> list[str]:
        """Others to probe it as well; those heard of late, who are likely to live themselves, come first."""
        names = [name for name in self.table.live_peers() if name != target]
        since = self.now - 10 * self.settings.period
        fresh = [name for name in names if self.table.last_heard.get(name, since) > since]
        chosen = self.random.sample(fresh, min(self.settings.helpers, len(fresh)))
        rest = [name for name in names if name not in chosen]
        lacking = min(self.settings.helpers - len(chosen), len(rest))
        return chosen + self.random.sample(rest, lacking)

    def _on_probe_failed(self, probe: Probe) -> None:
        """A probe has failed. Nobody is accused for what may be this member's own trouble."""
        if probe.void or self.own.yielded:
            return
        if self.table.last_heard.get(probe.target, -NEVER) > probe.sent:
            return  # it spoke meanwhile: it lives, its way to this member or back is at fault
        self.prober.health.missed(len(probe.helpers) - probe.nacks)
        alone = self.last_heard_at <= probe.sent and len(self.table.live_peers()) > 1
        if alone and self.now < self.last_heard_at + self.settings.max_suspicion_timeout(
            self.table.live_count
        ):
            return  # nobody at all was heard: not yet a word on this one
        if self.table.suspect(probe.target, self.now, self.settings.name) and self.settings.told_first:
            self._send(probe.target, Gossip(), (probe.target,))

    def _look_for_oneself(self, belief: Belief) -> None:
        """A few of those that hear of a suspicion probe at once: its next accusers, or who clears it."""
        if self.settings.name in belief.accusers or self.prober.watches(belief.name):
            return
        if len(self.prober.probes) >= PROBES_MOST or not self.settings.shrinking:
            return
        if self.random.random() < CONFIRM / max(self.table.live_count - 2, 1):
            self._send(belief.name, Ping(self.prober.begin(belief.name, self.now, False).number))

    def _trial(self) -> None:
        """Contact one that is believed dead, has left or was never heard: it may live, and not know."""
        self._trial_at = self.now + int(self.settings.trial * (0.5 + self.random.random()))
        absent = [name for name in self.settings.peers if not self._lives(name)]
        if absent:
            self._send(self.random.choice(absent), Ping(0))

    def _ask_for_digest(self) -> None:
        """Ping one that held another view when it last spoke: its answer carries what it holds now."""
        name = self.exchanges.to_ask(self.now)
        if self._lives(name):
            self._send(name, Ping(0))
        else:
            self.exchanges.forget(name)

    def _lives(self, name: str) -> bool:
        belief = self.table.beliefs.get(name)
        return belief is not None and belief.live
