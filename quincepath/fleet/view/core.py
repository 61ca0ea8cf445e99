"""The view of the fleet as a machine: what came in and the time, in; what to send and what changed, out.

SWIM: one member is probed each period, in shuffled rounds; who does not answer is probed through others,
then suspected, then, if it does not refute, dead. Suspicions, deaths and refutations travel with the probes'
messages. What Lifeguard added: local health, suspects told first, suspicions that shorten with independent
accusers. Beyond: a belief about who it speaks to goes before all news; full exchanges where digests differ;
the dead and unheard-of are tried now and then, so that halves find together. docs/design/fleet-view.md weighs
each of these.
"""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from quincepath.fleet.messages import (
    FRAME,
    PACKET,
    About,
    Ack,
    Ask,
    Body,
    Compare,
    Envelope,
    Full,
    Nack,
    Ping,
    Rejected,
    Same,
    Tell,
    body_of,
    pack,
    unpack,
)  # fmt: skip
from quincepath.fleet.view.exchange import Exchanges
from quincepath.fleet.view.facts import SECOND, Belief, Change, Phase, ViewSettings, key_of
from quincepath.fleet.view.news import News
from quincepath.fleet.view.own import Answer, Own
from quincepath.fleet.view.probing import PROBES_MOST, Probe, Prober
from quincepath.fleet.view.table import Table

NEVER = 1 << 62
CONFIRM = 3.0  # members that look for themselves, of all that hear of a suspicion, on average
SHOWN = 5  # names in one reason
STRANGER_TIMES = 3  # messages of a second process of one name, over as many periods, until it is told
STRANGER_MEMORY = 30 * SECOND
SILENCE = 4  # periods without a word from anybody
LEAVE_TELLS = 8  # members that are told at once when this one leaves


# --- inputs ---


@dataclass(slots=True, frozen=True)
class Heard:
    """A datagram."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Called:
    """Somebody opened a line to this member; the edge's number of it is below 0."""

    line: int


@dataclass(slots=True, frozen=True)
class Framed:
    """One message on a line."""

    line: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Lost:
    """A line has ended, or could not be had."""

    line: int
    why: str


@dataclass(slots=True, frozen=True)
class Drain:
    """This broker drains, or does so no longer."""

    draining: bool = True


@dataclass(slots=True, frozen=True)
class Leave:
    """This member goes; nothing is sent after this step."""


Input = Heard | Called | Framed | Lost | Drain | Leave


# --- outputs ---


@dataclass(slots=True, frozen=True)
class Packet:
    """A datagram for a member."""

    to: str
    data: bytes


@dataclass(slots=True, frozen=True)
class Call:
    """Open a line to a member; what is framed before it stands waits."""

    line: int
    to: str


@dataclass(slots=True, frozen=True)
class Frame:
    """A message for a line."""

    line: int
    data: bytes


@dataclass(slots=True, frozen=True)
class HangUp:
    """Close a line when what was framed has gone out."""

    line: int


@dataclass(slots=True, frozen=True)
class Told:
    """Something for people, beside the changes: a clone, a yield."""

    kind: str
    text: str


Output = Packet | Call | Frame | HangUp | Told | Change


@dataclass(slots=True)
class _Stranger:
    """Messages under a member's name by a process that is not the one believed in."""

    boot: int
    first: int
    last: int
    times: int = 1
    proved: bool = False  # the one believed in answered a probe sent after this one was first heard


class View:
    """One member's view. ``step`` takes what came in; ``due`` is when it is to be called without (ns)."""

    def __init__(self, settings: ViewSettings, boot: int, seed: int, now: int) -> None:
        self.settings, self.boot = settings, boot
        self.now = now
        self.random = random.Random(seed)
        self.table = Table(settings)
        self.own = Own(settings, boot, now)
        self.news = News()
        self.prober = Prober(settings, self.random)
        self.exchanges = Exchanges(settings, self.random, now)
        self.dropped: Counter[str] = Counter()  # messages, by cause
        self.heard_at = now  # when anybody last spoke
        self.late_at = -NEVER  # when an own timer last ran late
        self.clones: dict[str, int] = {}  # members of whose name two processes run, and when that last showed
        self._strangers: dict[str, _Stranger] = {}
        self._counts: dict[str, tuple[int, int]] = {}  # by member, the boot and its newest message heard
        self._count = 0
        self._corrected: dict[str, int] = {}  # when a member was last told by itself what is believed of it
        self._out: list[Output] = []
        self._left = False
        self._probe_at = now + int(settings.period * self.random.random())
        self._gossip_at = NEVER
        self._trial_at = now + int(settings.trial * (0.5 + self.random.random()))
        self.due = now
        self.table.place(self.own.belief(now), "begins")
        if not settings.peers:
            self._enter()
        self.due = max(self._next_due(), now)

    # --- the machine ---

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Take in what came, do what is due."""
        out: list[Output] = []
        self._out = out
        if self._left:
            return out
        if self.settings.local_health and now > self.due + self.settings.late:
            self._stood_still(now, now - self.due)
        self.now = now
        for item in inputs:
            self._take_in(item)
        if not self._left:
            self._timers()
        self._hand_over()
        self.due = max(self._next_due(), now)
        return out

    def _next_due(self) -> int:
        if self._left:
            return NEVER
        due = [self.table.next_due(), self.exchanges.next_due(), self.prober.next_due(), self._trial_at]
        if len(self.news):
            due.append(self._gossip_at)
        if not self._round_open():
            due.append(self._probe_at)
        return min(due)

    def _take_in(self, item: Input) -> None:
        match item:
            case Heard(data):
                self._message(data, PACKET, None)
            case Framed(line, data):
                if line in self.exchanges.lines:
                    self._message(data, FRAME, line)
            case Called(line):
                if not self.exchanges.take(line, self.now):
                    self._out.append(HangUp(line))
            case Lost(line):
                self._lost(line)
            case Drain(draining):
                if self.own.drain(draining):
                    self._say_own("its own word")
            case Leave():
                self._leave()

    def _hand_over(self) -> None:
        """What changed goes to the news and to people."""
        for name in self.table.adopted:
            if not len(self.news):
                self._gossip_at = min(self._gossip_at, self.now + self.settings.gossip)
            self.news.add(name)
            belief = self.table.get(name)
            if belief is not None and name != self.settings.name:
                if belief.living:
                    self.prober.insert(name)
                if belief.phase is Phase.SUSPECT:
                    self._look_for_oneself(belief)
        self.table.adopted.clear()
        self._out.extend(self.table.changes)
        self.table.changes.clear()

    def _stood_still(self, now: int, by: int) -> None:
        """An own timer ran late: this member stopped or was starved, and accuses nobody for what it missed.

        The machine measures this itself, from when it asked to be called: nobody has to tell it.
        """
        self.prober.stood_still(by)
        self.table.stretch(by)
        self.late_at = self.heard_at = now

    # --- saying ---

    def _about(self, name: str) -> About | None:
        belief = self.table.get(name)
        return None if belief is None else belief.about(self.now)

    def _send(self, to: str, body: Body, first: tuple[str, ...] = ()) -> None:
        """A datagram, with what news there is room for; what is believed of the receiver goes first."""
        if self.own.yielded:
            return  # not a word under a name that another process has
        names = list(dict.fromkeys([*self._for_itself(to), *first]))
        # What is no longer told to others is told to the one that it is about: halves find together by this.
        front = [held.about(self.now) for name in names if (held := self.table.beliefs.get(name))]
        me, fleet, digest = self._me(), self.settings.fleet, self.table.digest
        self._count += 1
        bare = pack(fleet, to, me, digest, self._count, body)
        news: list[About] = []
        if front or len(self.news):
            most = self.settings.sendings(self.table.living)
            news = self.news.choose(PACKET - len(bare), most, self._about, front)
        data = pack(fleet, to, me, digest, self._count, body, news) if news else bare
        self._out.append(Packet(to, data))

    def _frame(self, line: int, to: str, body: Body) -> None:
        self._count += 1
        data = pack(self.settings.fleet, to, self._me(), self.table.digest, self._count, body)
        self._out.append(Frame(line, data))

    def _me(self) -> About:
        return self.own.belief(self.now).about(self.now)

    def _for_itself(self, name: str) -> tuple[str, ...]:
        """The receiver's name where it should learn what is believed of it."""
        belief = self.table.beliefs.get(name)
        if belief is None:
            return ()
        doubted = belief.phase is Phase.SUSPECT and self.settings.told_first
        return (name,) if doubted or not belief.living or name in self._strangers else ()

    def _say_own(self, cause: str) -> None:
        """This member's belief about itself has changed."""
        self.table.place(self.own.belief(self.now), cause)

    def _enter(self) -> None:
        if self.own.phase is Phase.JOINING:
            self.own.enter(self.now)
            self._say_own("joined")

    def _leave(self) -> None:
        self.own.leave(self.now)
        self._say_own("leaves")
        names = self.table.living_peers()
        for name in self.random.sample(names, min(LEAVE_TELLS, len(names))):
            self._send(name, Tell())
        self._out.extend(HangUp(line) for line in self.exchanges.lines)
        self._left = True

    # --- hearing ---

    def _message(self, data: bytes, most: int, line: int | None) -> None:
        try:
            envelope = unpack(data, self.settings.fleet, self.settings.name, most)
            if envelope.sender not in self.table.peers:
                raise Rejected("unknown member")
            self._speaker(envelope)
            for about in envelope.news:
                self._hear_of(about, envelope.sender)
            body = body_of(envelope)
        except Rejected as error:
            self.dropped[error.cause] += 1
            if line is not None:
                self._hang_up(line)
            return
        if line is None:
            self._datagram(envelope.sender, body)
        else:
            self._on_line(line, envelope, body)

    def _speaker(self, envelope: Envelope) -> None:
        """What a message says by itself: its sender lives, as this process, with this digest."""
        me, now, name = envelope.me, self.now, envelope.sender
        newest = self._newest(name, me.boot, envelope.count)
        self.heard_at = now
        self.table.hear(me, now, name)
        belief = self.table.beliefs[name]
        if belief.boot != me.boot:
            if newest:
                self._stranger(name, me.boot)
        elif newest and belief.living:
            self.table.heard[name] = now
        if key_of(me)[:2] < belief.key[:2] and (not belief.living or belief.boot != me.boot):
            self._correct(name)
        same = envelope.digest == self.table.digest
        if self.exchanges.compare(name, same, now, self.table.changed_at) and belief.living:
            self._exchange(name)

    def _newest(self, name: str, boot: int, count: int) -> bool:
        """Whether no later message of the same process came before: a replay proves nothing of now."""
        known, last = self._counts.get(name, (-1, -1))
        if known == boot and count <= last:
            return False
        self._counts[name] = (boot, count)
        return True

    def _correct(self, name: str) -> None:
        """Tell a member what is believed of it, where it speaks as if it did not know; once a period."""
        if self.now >= self._corrected.get(name, -NEVER) + self.settings.period:
            self._corrected[name] = self.now
            self._send(name, Tell(), (name,))

    def _stranger(self, name: str, boot: int) -> None:
        seen = self._strangers.get(name)
        if seen is None or seen.boot != boot or self.now > seen.last + STRANGER_MEMORY:
            self._strangers[name] = _Stranger(boot, self.now, self.now)
            return
        seen.last = self.now
        seen.times += 1
        lasting = self.now - seen.first >= STRANGER_TIMES * self.settings.period
        if seen.proved and lasting and seen.times >= STRANGER_TIMES:
            if name not in self.clones:
                self._out.append(Told("clone", f"two processes run as {name}"))
            self.clones[name] = self.now

    def _hear_of(self, about: About, teller: str) -> None:
        if about.name == self.settings.name:
            self._hear_of_me(about)
        elif about.name not in self.table.peers:
            self.dropped["unknown member"] += 1
        else:
            self.table.hear(about, self.now, teller)

    def _hear_of_me(self, about: About) -> None:
        answer = self.own.hear(about, self.now)
        if answer is Answer.NONE:
            return
        if answer in (Answer.REFUTED, Answer.TOOK_OVER, Answer.CLONE):
            if answer is Answer.REFUTED:
                self.prober.health.missed(1)
            self._say_own(answer.value)
        if answer in (Answer.CLONE, Answer.YIELDED):
            self._out.append(Told("clone", f"{answer.value} (boot {about.boot:016x})"))

    def _datagram(self, sender: str, body: Body) -> None:
        match body:
            case Ping(number):
                self._send(sender, Ack(number))
            case Ask(number, target):
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

    def _acked(self, sender: str, number: int) -> None:
        probe = self.prober.probes.get(number)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            del self.prober.probes[number]
            self.prober.health.answered()
            seen = self._strangers.get(probe.target)
            if seen is not None and sender == probe.target and probe.sent > seen.first:
                seen.proved = True
            return
        relay = self.prober.relays.get(number)
        if relay is not None and sender == relay.target:
            del self.prober.relays[number]
            self._send(relay.asker, Ack(relay.number), (relay.target,))

    # --- exchanges ---

    def _exchange(self, peer: str) -> None:
        line = self.exchanges.call(peer, self.now)
        self._out.append(Call(line, peer))
        self._frame(line, peer, Compare())

    def _on_line(self, line: int, envelope: Envelope, body: Body) -> None:
        state = self.exchanges.lines.get(line)
        if state is None:
            return
        peer = state.peer = envelope.sender
        state.until = self.now + self.settings.exchange_time
        match body:
            case Compare():
                if envelope.digest == self.table.digest:
                    self._frame(line, peer, Same())
                    self._hang_up(line)
                else:
                    self._frame(line, peer, self._full(True))
            case Full(beliefs, answer):
                before = self.table.digest
                for about in beliefs:
                    self._hear_of(about, peer)
                if answer:
                    self._frame(line, peer, self._full(False))
                    self.exchanges.ended(peer, self.now, before != self.table.digest)
                    self._enter()
                self._hang_up(line)
            case Same():
                self.exchanges.ended(peer, self.now, True)
                self._enter()
                self._hang_up(line)
            case _:
                self._hang_up(line)

    def _full(self, answer: bool) -> Full:
        # One that yielded hears but what it asks for itself: its beliefs are nobody's help.
        beliefs = () if self.own.yielded else self.table.all()
        return Full(tuple(belief.about(self.now) for belief in beliefs), answer)

    def _hang_up(self, line: int) -> None:
        if self.exchanges.lines.pop(line, None) is not None:
            self._out.append(HangUp(line))

    def _lost(self, line: int) -> None:
        state = self.exchanges.lines.pop(line, None)
        if state is not None and state.mine:
            self.exchanges.failed += 1

    # --- time ---

    def _timers(self) -> None:
        now = self.now
        self.table.condemn(now)
        for line in [number for number, state in self.exchanges.lines.items() if now >= state.until]:
            if self.exchanges.lines[line].mine:
                self.exchanges.failed += 1
            self._hang_up(line)
        for probe in list(self.prober.probes.values()):
            self._probe_timer(probe)
        for number, relay in list(self.prober.relays.items()):
            if now >= relay.nack_at and not relay.nacked:
                relay.nacked = True
                self._send(relay.asker, Nack(relay.number))
            if now >= relay.end_at:
                del self.prober.relays[number]
        if now >= self._probe_at and not self._round_open():
            self._probe_next()
        if now >= self.exchanges.next_at:
            self._regular_exchange()
        if now >= self._trial_at:
            self._trial()
        self._hand_over()
        if len(self.news) and now >= self._gossip_at:
            self._gossip()

    def _round_open(self) -> bool:
        return any(probe.of_round for probe in self.prober.probes.values())

    def _probe_next(self) -> None:
        settings = self.settings
        target = self.prober.next_target(self.table.living_peers(), lambda n: not self.prober.watches(n))
        if target is not None:
            self._send(target, Ping(self.prober.begin(target, self.now, True).number))
        # From when it was due, so that a turn's delay does not add up; never in the past.
        wait = settings.period * self.prober.health.times
        self._probe_at = max(self._probe_at + wait, self.now + wait // 2)

    def _probe_timer(self, probe: Probe) -> None:
        now = self.now
        if now >= probe.ask_at and not probe.asked:
            probe.asked = True
            probe.helpers = self._helpers(probe.target)
            for helper in probe.helpers:
                self._send(helper, Ask(probe.number, probe.target), (probe.target,))
        if now >= probe.end_at:
            del self.prober.probes[probe.number]
            self._not_answered(probe)

    def _helpers(self, target: str) -> list[str]:
        """Others to probe it as well; those heard of late, who are likely to live themselves, come first."""
        names = [name for name in self.table.living_peers() if name != target]
        since = self.now - 10 * self.settings.period
        fresh = [name for name in names if self.table.heard.get(name, since) > since]
        chosen = self.random.sample(fresh, min(self.settings.helpers, len(fresh)))
        rest = [name for name in names if name not in chosen]
        lacking = min(self.settings.helpers - len(chosen), len(rest))
        return chosen + self.random.sample(rest, lacking)

    def _not_answered(self, probe: Probe) -> None:
        """A probe has failed. Nobody is accused for what may be this member's own trouble."""
        if probe.void or self.own.yielded:
            return
        if self.table.heard.get(probe.target, -NEVER) > probe.sent:
            return  # it spoke meanwhile: it lives, its way to this member or back is at fault
        self.prober.health.missed(len(probe.helpers) - probe.nacks)
        alone = self.heard_at <= probe.sent and len(self.table.living_peers()) > 1
        if alone and self.now < self.heard_at + self.settings.longest_suspicion(self.table.living):
            return  # nobody at all was heard: not yet a word on this one
        if self.table.accuse(probe.target, self.now, self.settings.name) and self.settings.told_first:
            self._send(probe.target, Tell(), (probe.target,))

    def _look_for_oneself(self, belief: Belief) -> None:
        """A few of those that hear of a suspicion probe at once: its next accusers, or who clears it."""
        if self.settings.name in belief.accusers or self.prober.watches(belief.name):
            return
        if len(self.prober.probes) >= PROBES_MOST or not self.settings.shrinking:
            return
        if self.random.random() < CONFIRM / max(self.table.living - 2, 1):
            self._send(belief.name, Ping(self.prober.begin(belief.name, self.now, False).number))

    def _gossip(self) -> None:
        names = self.table.living_peers()
        for name in self.random.sample(names, min(self.settings.fanout, len(names))):
            if len(self.news):
                self._send(name, Tell())
        self._gossip_at = self.now + self.settings.gossip if len(self.news) else NEVER

    def _regular_exchange(self) -> None:
        joining = self.own.phase is Phase.JOINING
        self.exchanges.plan(self.now, joining)
        names = self.table.living_peers()
        if joining or not names:
            names = [name for name in self.settings.join if name in self.table.peers]
            tried = self.exchanges.failed + self.exchanges.done
            if not names or tried % 2:  # every other time anybody: those to be asked first may be gone
                names = list(self.settings.peers)
        if names:
            peer = self.random.choice(names)
            if self.exchanges.room(peer):
                self._exchange(peer)

    def _trial(self) -> None:
        """Contact one that is believed dead, has left or was never heard: it may live, and not know."""
        self._trial_at = self.now + int(self.settings.trial * (0.5 + self.random.random()))
        absent = [name for name in self.settings.peers if not self._lives(name)]
        if absent:
            self._send(self.random.choice(absent), Ping(0))

    def _lives(self, name: str) -> bool:
        belief = self.table.beliefs.get(name)
        return belief is not None and belief.living

    # --- for people ---

    def unsettled(self) -> list[str]:
        """Why the view is not settled; empty where it is."""
        now, reasons = self.now, []
        if self.own.phase is Phase.JOINING:
            reasons.append("joining: no exchange with another member yet")
        if self.own.yielded:
            reasons.append("another process has this member's name")
        suspects = sorted(self.table.suspects)
        if suspects:
            reasons.append(f"suspect: {_names(suspects)}")
        if now < self.table.changed_at + self.settings.settle and self.table.history:
            last = self.table.history[-1]
            reasons.append(f"{last.name} became {last.now} less than {self.settings.settle / 1e9:g} s ago")
        if self.table.living_peers() and now > self.heard_at + SILENCE * self.settings.period:
            reasons.append(f"nobody heard for {(now - self.heard_at) / 1e9:.1f} s")
        if now < self.late_at + self.settings.settle:
            reasons.append("this member stood still or ran late")
        clones = sorted(name for name, at in self.clones.items() if now < at + STRANGER_MEMORY)
        if clones:
            reasons.append(f"two processes run as {_names(clones)}")
        differing = sorted(
            name
            for name, since in self.exchanges.differs.items()
            if now - since > SECOND and self._lives(name)
        )
        if differing:
            reasons.append(f"another view is held by {_names(differing)}")
        return reasons


def _names(names: list[str]) -> str:
    more = f" and {len(names) - SHOWN} more" if len(names) > SHOWN else ""
    return ", ".join(names[:SHOWN]) + more
