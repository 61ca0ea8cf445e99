"""What the fleet agrees on, on one broker: a keeper with its store, or one that follows; and its commands.

Carries out what the machines say, in their order. A keeper whose store fails goes on as one that follows, and
the broker serves queries all the same.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from quincepath.config.schema import FleetEntry
from quincepath.fleet.adoption import MAP_COMMANDS, MapReport, ReadMap
from quincepath.fleet.agreement.core import (
    Came,
    Done,
    Follower,
    Input,
    Keeper,
    Persist,
    Propose,
    Refused,
    Role,
    Send,
    Times,
)  # fmt: skip
from quincepath.fleet.agreement.core.ports import NEVER
from quincepath.fleet.agreement.entries import Stable, first
from quincepath.fleet.agreement.messages import Answer, Followed, Message, Request, Whole
from quincepath.fleet.agreement.post import Body, Report, Sampled, pack, unpack
from quincepath.fleet.agreement.storing import Storage, StoreError
from quincepath.fleet.configuration.commands import ChangeConfiguration, proposal_refusal
from quincepath.fleet.drains import DrainProgress
from quincepath.fleet.messages import Rejected
from quincepath.fleet.permits import Command, Permits, encode
from quincepath.fleet.proposals import Proposal, Proposals
from quincepath.net.loop import Loop, Timer

if TYPE_CHECKING:
    from quincepath.fleet.topology import MapAdoption

ASK_EVERY = 500_000_000  # ns between asks of one that follows, reports, and tries of a command
SILENT = 1_500_000_000  # ns without a word until another keeper is asked
OpenStore = Callable[
    [Path, str, str, Stable], Storage
]  # in a folder for (fleet, member); Stable: of a new one
FINAL = "refused: "  # begins the reason of a refusal that no other keeper would give otherwise


@dataclass(slots=True)
class Hooks:
    """What the broker does for it."""

    post: Callable[[str, bytes], None]  # send to a member
    judge: Callable[[Command], tuple[Command, str]]  # the leader's word on a command, and why it is refused
    applied: Callable[[], None]  # something has been agreed
    out: Callable[[], dict[str, int]]  # attempts that are out, by holder's name
    open_store: OpenStore  # called once, where this broker is a keeper
    dropped: Callable[[str], None] = field(default=lambda cause: None)
    # Returns None without a topology: section.
    maps: Callable[[Permits], "MapAdoption | None"] = field(default=lambda machine: None)


def _refuses_none(command: ChangeConfiguration) -> str:
    return ""


class Agreed:
    """One broker's part in the log.

    ``refuses_change``: why this member as leader does not propose a change of the configuration that the
    state machine would take; empty where it does.
    """

    refuses_change: Callable[[ChangeConfiguration], str] = staticmethod(_refuses_none)

    def __init__(self, loop: Loop, entry: FleetEntry, base: Path, seed: int, hooks: Hooks, log: Any) -> None:
        self.loop, self.entry, self.hooks, self.log = loop, entry, hooks, log
        self._peers = frozenset(peer.name for peer in entry.peers)
        self.machine = Permits()
        self.progress = DrainProgress()
        self.maps = hooks.maps(self.machine)
        self.trouble = ""
        self.store: Storage | None = None
        self.keeper: Keeper | None = None
        self.follower = Follower(self.machine, tuple(entry.keepers))
        self.proposals = Proposals()
        self._timer: Timer | None = None
        self._closed = False
        self._asked = 0
        self._shown = -1
        self._heard_at = loop.clock()
        self._confirmed_at = -NEVER  # when a keeper that knew a leader had no newer entry, by its word
        if entry.member in entry.keepers:
            self._open(base, seed)
        loop.call_in(ASK_EVERY, self._tick)
        self._arm()
        if self.maps is not None:
            loop.call_in(0, self._read)

    def _read(self) -> None:
        """Have a mark committed: when it takes effect here, all that was committed before it has."""
        if self._closed or self.maps is None:
            return
        wall = self.loop.system.wall_ms()
        mark = ReadMap(f"read {self.entry.member} {self.maps.boot} {wall}", self.entry.member, wall)
        self.command(mark, self._was_read)

    def _was_read(self, why: str) -> None:
        if self.maps is None or self._closed:
            return
        if why:
            self.log.warning("fleet: log not read yet, no query is taken", cause=why)
            self.loop.call_in(ASK_EVERY, self._read)
            return
        self.log.info("fleet: log read", index=self.applied)
        self.maps.on_log_read()

    def _open(self, base: Path, seed: int) -> None:
        assert self.entry.store is not None
        stable = first(tuple(self.entry.keepers))
        try:
            folder = base / self.entry.store
            self.store = self.hooks.open_store(folder, self.entry.name, self.entry.member, stable)
        except StoreError as error:
            self._lose_store(error)
            return
        self.keeper = Keeper(
            self.entry.member, self.store.stable, self.machine, seed, self.loop.clock(), Times()
        )

    def _lose_store(self, error: StoreError) -> None:
        self.trouble = str(error)
        self.log.error("fleet: store unusable, this broker keeps the log no more", cause=str(error))
        if self.store is not None:
            self.store.close()
            self.store = None
        if self.keeper is not None:
            self.follower.applied = self.keeper.applied
            self.keeper = None

    # --- state ---

    @property
    def applied(self) -> int:
        """Index of the newest entry that has taken effect here."""
        return self.keeper.applied if self.keeper is not None else self.follower.applied

    @property
    def leader(self) -> str:
        """As far as is known here."""
        return self.keeper.leader if self.keeper is not None else self.follower.leader

    @property
    def keepers(self) -> tuple[str, ...]:
        """The newest known."""
        return self.keeper.keepers if self.keeper is not None else self.follower.keepers

    @property
    def leads(self) -> bool:
        """Whether this broker's keeper leads."""
        return self.keeper is not None and self.keeper.role == Role.LEADER

    # --- messages ---

    def receive(self, data: bytes) -> None:
        """A message of another broker."""
        try:
            post, body = unpack(data, self.entry.name, self.entry.member)
            if post.sender not in self._peers:
                raise Rejected("unknown member")
        except Rejected as error:
            self.hooks.dropped(error.cause)
            return
        match body:
            case Report(applied, out):
                self.progress.apply_report(post.sender, self.loop.clock(), applied, out)
            case MapReport():
                if self.maps is not None:
                    self.maps.reports.receive(post.sender, self.loop.clock(), body)
            case Sampled():
                if self.maps is not None:
                    why = self.maps.samples.receive(post.sender, body.data)
                    if why:
                        self.log.debug("fleet: sample not taken", cause=why)
            case Answer():
                self._answered(body)
            case Followed() | Whole():
                self._hear(body)
            case Request(id, data_):
                if self.leads:
                    data_, why = self._judged(data_)
                    if why:
                        self._post(post.sender, Answer(id, 0, why, ""))
                        return
                    body = Request(id, data_)
                self._step([Came(post.sender, post.epoch, body)])
            case _:
                self._step([Came(post.sender, post.epoch, body)])

    def _hear(self, told: Followed | Whole) -> None:
        """News for one that follows. A keeper that knows no leader has none: another one is asked in time."""
        now = self.loop.clock()
        knows = isinstance(told, Whole) or bool(told.leader or told.entries)
        if knows:
            self._heard_at = now
        if self.keeper is not None:
            return
        applied = self.follower.hear(now, told)
        if isinstance(told, Followed) and told.leader and self.follower.applied >= told.commit:
            self._confirmed_at = now
        if applied:
            self._after()

    def age(self) -> int:
        """ns since the newest entry here was known to be the newest: by the leader, or by who heard it."""
        if self.leads:
            return 0
        heard = self._confirmed_at if self.keeper is None else self.keeper.heard_leader
        return self.loop.clock() - heard

    def _post(self, to: str, body: Body) -> None:
        epoch = 0 if self.store is None else self.store.stable.epoch
        self.hooks.post(to, pack(self.entry.name, self.entry.member, to, epoch, body))

    def _step(self, inputs: list[Input]) -> None:
        """One step of the keeper; a failing disk ends it in the middle, as a crash would."""
        if self.keeper is None or self._closed:
            return
        for out in self.keeper.step(self.loop.clock(), inputs):
            match out:
                case Persist():
                    assert self.store is not None
                    try:
                        self.store.write(out)
                    except StoreError as error:
                        self._lose_store(error)
                        return
                case Send(to, message):
                    self._send(to, message)
                case Done(number, index):
                    self.proposals.stands_at(number, index)
                case Refused(number, why, leader):
                    self._refused(number, why, leader)
                case _:
                    self.log.warning("fleet: keepers", cause=out.text, kind=out.kind)
        self._after()
        self._arm()

    def _send(self, to: str, message: Message) -> None:
        self._post(to, message)

    def _arm(self) -> None:
        if self.keeper is None or self._closed:
            return
        due = self.keeper.due
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, lambda: self._step([]))

    def _after(self) -> None:
        """Something may have been applied."""
        if self.applied == self._shown:
            return
        self._shown = self.applied
        self.proposals.settle(self.applied, self.machine.state.results)
        if self.maps is not None:
            self.maps.on_applied()
        self.hooks.applied()

    # --- now and then ---

    def _tick(self) -> None:
        if self._closed:
            return
        self.loop.call_in(ASK_EVERY, self._tick)
        now = self.loop.clock()
        others = [name for name in self.keepers if name != self.entry.member]
        if self.keeper is None and others:
            if now > self._heard_at + SILENT:
                self._asked += 1
                self._heard_at = now
            self._post(others[self._asked % len(others)], self.follower.ask())
        if self.machine.drained():
            out = {name: count for name, count in self.hooks.out().items() if count}
            self.progress.apply_report(self.entry.member, now, self.applied, out)
            for name in others:
                self._post(name, Report(self.applied, out))
        self._change_maps(now, others)
        for proposal in self.proposals.overdue(now):
            self._try(proposal)

    def _change_maps(self, now: int, others: list[str]) -> None:
        """Say how far this broker is with a new shard map; propose the next step while it leads."""
        if self.maps is None:
            return
        said = self.maps.report(now)
        if said is not None:
            for name in others:
                self._post(name, said)
        wall = self.loop.system.wall_ms()
        for data in self.maps.sample_messages(now, wall, self.leader):
            self._post(self.leader, Sampled(data))
        step = self.maps.next_command(now, wall) if self.leads else None
        if step is not None and not self.proposals.any_of(type(step)):
            self.command(step, lambda why: self.log.info("fleet: step of a shard map", refused=why))

    # --- commands ---

    def command(self, command: Command, done: Callable[[str], None]) -> None:
        """Have a command committed; ``done`` gets why not, or nothing where it took effect."""
        proposal = self.proposals.add(self.loop.clock(), command, done)
        if proposal is not None:
            self._try(proposal)

    def _judged(self, data: bytes) -> tuple[bytes, str]:
        """The leader's word: its own belief and limits go into a grant."""
        try:
            command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError as error:
            return data, f"{FINAL}{error}"[:200]
        if isinstance(command, MAP_COMMANDS):
            if self.maps is None:
                return data, f"{FINAL}the leader's fleet: section has no topology:"
            filled, why = self.maps.prepare_command(command, self.loop.clock(), self.loop.system.wall_ms())
            return encode(filled), f"{FINAL}{why}"[:200] if why else ""
        if isinstance(command, ChangeConfiguration):
            why = proposal_refusal(self.machine.configuration, command) or self.refuses_change(command)
            return data, f"{FINAL}{why}"[:200] if why else ""
        command, why = self.hooks.judge(command)
        return encode(command), f"{FINAL}{why}"[:200] if why else ""

    def _try(self, proposal: Proposal, at: str = "") -> None:
        if self.leads:
            data, why = self._judged(encode(proposal.command))
            if why:
                self.proposals.end(proposal, why)
                return
            self._step([Propose(proposal.number, data)])
        elif at or self.leader:
            self._post(at or self.leader, Request(proposal.number, encode(proposal.command)))

    def _answered(self, answer: Answer) -> None:
        if answer.index:
            self.proposals.stands_at(answer.id, answer.index)
            self.proposals.settle(self.applied, self.machine.state.results)
        else:
            self._refused(answer.id, answer.why, answer.leader)

    def _refused(self, number: int, why: str, leader: str) -> None:
        proposal = self.proposals.get(number)
        if proposal is None:
            return
        if why.startswith(FINAL):
            self.proposals.end(proposal, why)
        elif leader and leader != self.entry.member and not self.leads:
            self._try(proposal, leader)

    # --- for people ---

    def status(self, brokers: list[str], left: set[str]) -> dict[str, Any]:
        """Permits, drains and how far they are, and who keeps the log."""
        now = self.loop.clock()
        drains = []
        if self.keeper is not None:
            for name in sorted(self.machine.drained()):
                waits = self.progress.waits_for(self.machine.state.permits[name], brokers, left, now)
                drains.append({"name": name, "done": not waits, "waits_for": waits})
        return {
            **self.machine.status(self.loop.system.wall_ms()),
            "member": self.entry.member,
            "drains": drains,
            "progress_at": "" if self.keeper is not None else f"keepers {', '.join(self.keepers)} know",
            "keepers": list(self.keepers),
            "leader": self.leader,
            "role": "follows" if self.keeper is None else self.keeper.role,
            "applied": self.applied,
            "store": self.trouble or ("sound" if self.store is not None else "none"),
        }

    def close(self) -> None:
        """Give back the store."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self.store is not None:
            self.store.close()
