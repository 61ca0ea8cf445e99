"""Failure detection: direct and indirect probes, and what acks, nacks and silence mean."""

from quincepath.fleet.messages import Ack, Body, Envelope, Gossip, Nack, Ping, PingReq
from quincepath.fleet.view.anti_entropy import AntiEntropy
from quincepath.fleet.view.facts import Belief
from quincepath.fleet.view.ports import OpenConnection
from quincepath.fleet.view.probing import MAX_PROBES, IndirectProbe, Probe
from quincepath.fleet.view.sending import NEVER

CONFIRMING_MEMBERS = 3.0  # average number of members that probe a suspect at once, of all that learn of it


class FailureDetector(AntiEntropy):
    """Probes members and suspects those that do not answer, unless this member itself may be at fault."""

    def _on_datagram(self, sender: str, body: Body) -> None:
        match body:
            case Ping(number):
                self._send(sender, Ack(number))
            case PingReq(number, target):
                if target not in self.table.peers:
                    self.dropped["unknown member"] += 1
                    return
                own_number = self.prober.start_indirect(sender, number, target, self.now)
                if own_number:
                    self._send(target, Ping(own_number))
            case Ack(number):
                self._on_ack(sender, number)
            case Nack(number):
                probe = self.prober.probes.get(number)
                if probe is not None and sender in probe.helpers:
                    probe.nacks += 1

    def _ping_by_connection(self, probe: Probe) -> None:
        """Ping over TCP, which resends lost packets. An ack clears the target; its absence proves nothing."""
        if self.own.yielded:
            return
        connection = self.exchanges.open_for_probe(probe.target, probe.number, probe.end_at)
        if connection:
            self._out.append(OpenConnection(connection, probe.target))
            self._send_frame(connection, probe.target, Ping(probe.number))

    def _on_frame(self, connection: int, envelope: Envelope, body: Body) -> None:
        state = self.exchanges.connections.get(connection)
        match body:
            case Ping(number) if state is not None and not state.outgoing:
                if not self.own.yielded:
                    self._send_frame(connection, envelope.sender, Ack(number))
                self._close_connection(connection)
            case Ack(number) if state is not None and state.probe == number:
                self._on_ack(envelope.sender, number)
                self._close_connection(connection)
            case _:
                super()._on_frame(connection, envelope, body)

    def _on_ack(self, sender: str, number: int) -> None:
        probe = self.prober.probes.get(number)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            del self.prober.probes[number]
            self.prober.health.on_ack()
            seen = self._other_processes.get(probe.target)
            if seen is not None and sender == probe.target and probe.sent_at > seen.first:
                seen.proved = True
            return
        indirect = self.prober.indirect_probes.get(number)
        if indirect is not None and sender == indirect.target:
            del self.prober.indirect_probes[number]
            self._send(indirect.requester, Ack(indirect.number), (indirect.target,))

    def _round_probe_open(self) -> bool:
        return any(probe.in_round for probe in self.prober.probes.values())

    def _probe_next(self) -> None:
        settings = self.settings
        target = self.prober.next_target(self.table.live_peers(), lambda n: not self.prober.is_probing(n))
        if target is not None:
            self._send(target, Ping(self.prober.start_probe(target, self.now, True).number))
        # Counted from when it was due, so that delays of single steps do not add up; never in the past.
        wait = settings.period * self.prober.health.multiplier
        self._probe_at = max(self._probe_at + wait, self.now + wait // 2)

    def _on_probe_timer(self, probe: Probe) -> None:
        now = self.now
        if self.prober.ping_again(probe, now):
            self._send(probe.target, Ping(probe.number))
        if now >= probe.indirect_at and not probe.indirect_sent:
            probe.indirect_sent = True
            probe.helpers = self._choose_helpers(probe.target)
            for helper in probe.helpers:
                self._send(helper, PingReq(probe.number, probe.target), (probe.target,))
            if self.settings.stream:
                self._ping_by_connection(probe)
        if now >= probe.end_at:
            del self.prober.probes[probe.number]
            self._on_probe_failed(probe)

    def _on_indirect_timer(self, number: int, indirect: IndirectProbe) -> None:
        if self.now >= indirect.nack_at and not indirect.nacked:
            indirect.nacked = True
            self._send(indirect.requester, Nack(indirect.number))
        if self.now >= indirect.end_at:
            del self.prober.indirect_probes[number]

    def _choose_helpers(self, target: str) -> list[str]:
        """Members to send an indirect probe; those heard from recently, which are likely to be live, come
        first."""
        names = [name for name in self.table.live_peers() if name != target]
        since = self.now - 10 * self.settings.period
        recent = [name for name in names if self.table.last_heard.get(name, since) > since]
        chosen = self.random.sample(recent, min(self.settings.helpers, len(recent)))
        rest = [name for name in names if name not in chosen]
        missing = min(self.settings.helpers - len(chosen), len(rest))
        return chosen + self.random.sample(rest, missing)

    def _on_probe_failed(self, probe: Probe) -> None:
        """Suspect the target of a failed probe, unless the cause may be this member itself."""
        if probe.void or self.own.yielded:
            return
        if self.table.last_heard.get(probe.target, -NEVER) > probe.sent_at:
            return  # a message arrived from it meanwhile: it is live, and the path to or from it is at fault
        self.prober.health.on_missed(len(probe.helpers) - probe.nacks)
        isolated = self.last_heard_at <= probe.sent_at and len(self.table.live_peers()) > 1
        if isolated and self.now < self.last_heard_at + self.settings.max_suspicion_timeout(
            self.table.live_count
        ):
            return  # no member at all was heard from: not yet evidence against this one
        if self.table.suspect(probe.target, self.now, self.settings.name) and self.settings.told_first:
            self._send(probe.target, Gossip(), (probe.target,))

    def _confirm_suspicion(self, belief: Belief) -> None:
        """Some of the members that learn of a suspicion probe at once: they become accusers, or clear the
        suspect."""
        if self.settings.name in belief.accusers or self.prober.is_probing(belief.name):
            return
        if len(self.prober.probes) >= MAX_PROBES or not self.settings.shrinking:
            return
        if self.random.random() < CONFIRMING_MEMBERS / max(self.table.live_count - 2, 1):
            self._send(belief.name, Ping(self.prober.start_probe(belief.name, self.now, False).number))

    def _contact_absent(self) -> None:
        """Ping a member that is dead, has left or was never heard from: it may be live and not know this
        one."""
        self._trial_at = self.now + int(self.settings.trial * (0.5 + self.random.random()))
        absent = [name for name in self.settings.peers if not self._is_live(name)]
        if absent:
            self._send(self.random.choice(absent), Ping(0))

    def _recheck_digest(self) -> None:
        """Ping a member whose last digest differed: its ack carries its current digest."""
        name = self.exchanges.next_recheck(self.now)
        if self._is_live(name):
            self._send(name, Ping(0))
        else:
            self.exchanges.forget(name)

    def _is_live(self, name: str) -> bool:
        belief = self.table.beliefs.get(name)
        return belief is not None and belief.live
