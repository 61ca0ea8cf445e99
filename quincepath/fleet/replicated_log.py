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
from quincepath.fleet.configuration.commands import ChangeConfiguration, proposal_refusal
from quincepath.fleet.consensus.core import (
    ConsensusSettings,
    Done,
    Input,
    Learner,
    Persist,
    Propose,
    Received,
    Refused,
    Role,
    Send,
    Voter,
)  # fmt: skip
from quincepath.fleet.consensus.core.ports import NEVER
from quincepath.fleet.consensus.entries import StableState, initial_state
from quincepath.fleet.consensus.envelope import Body, FootprintSample, ProgressReport, pack, unpack
from quincepath.fleet.consensus.messages import (
    LearnerEntries,
    LearnerSnapshotChunk,
    Message,
    ProposalRequest,
    ProposalResponse,
)
from quincepath.fleet.consensus.storage import Storage, StoreError
from quincepath.fleet.drains import DrainProgress
from quincepath.fleet.messages import Rejected
from quincepath.fleet.permits import Command, Permits, encode
from quincepath.fleet.proposals import Proposal, Proposals
from quincepath.net.loop import Loop, Timer

if TYPE_CHECKING:
    from quincepath.fleet.topology import MapAdoption

POLL_INTERVAL_NS = 500_000_000  # ns between asks of one that follows, reports, and tries of a command
VOTER_SILENCE_NS = 1_500_000_000  # ns without a word until another keeper is asked
OpenStore = Callable[
    [Path, str, str, StableState], Storage
]  # in a folder for (fleet, member); Stable: of a new one
FINAL_REFUSAL = "refused: "  # begins the reason of a refusal that no other keeper would give otherwise


@dataclass(slots=True)
class Hooks:
    """What the broker does for it."""

    send: Callable[[str, bytes], None]  # send to a member
    prepare_command: Callable[
        [Command], tuple[Command, str]
    ]  # the leader's word on a command, and why it is refused
    on_applied: Callable[[], None]  # something has been agreed
    attempts_in_flight: Callable[[], dict[str, int]]  # attempts that are out, by holder's name
    open_store: OpenStore  # called once, where this broker is a keeper
    on_dropped: Callable[[str], None] = field(default=lambda cause: None)
    make_maps: Callable[[Permits], "MapAdoption | None"] = field(
        default=lambda machine: None
    )  # with a topology: only


def _refuses_none(command: ChangeConfiguration) -> str:
    return ""


class ReplicatedLog:
    """One broker's part in the log.

    ``change_refusal``: why this member as leader does not propose a change of the configuration that the
    state machine would take; empty where it does.
    """

    change_refusal: Callable[[ChangeConfiguration], str] = staticmethod(_refuses_none)

    def __init__(self, loop: Loop, entry: FleetEntry, base: Path, seed: int, hooks: Hooks, log: Any) -> None:
        self.loop, self.entry, self.hooks, self.log = loop, entry, hooks, log
        self._peers = frozenset(peer.name for peer in entry.peers)
        self.machine = Permits()
        self.progress = DrainProgress()
        self.maps = hooks.make_maps(self.machine)
        self.store_error = ""
        self.store: Storage | None = None
        self.voter: Voter | None = None
        self.learner = Learner(self.machine, tuple(entry.keepers))
        self.proposals = Proposals()
        self._timer: Timer | None = None
        self._closed = False
        self._asked = 0
        self._shown = -1
        self._heard_at = loop.clock()
        self._confirmed_at = -NEVER  # when a keeper that knew a leader had no newer entry, by its word
        if entry.member in entry.keepers:
            self._open(base, seed)
        loop.call_in(POLL_INTERVAL_NS, self._tick)
        self._arm()
        if self.maps is not None:
            loop.call_in(0, self._read)

    def _read(self) -> None:
        """Have a mark committed: when it takes effect here, all that was committed before it has."""
        if self._closed or self.maps is None:
            return
        wall = self.loop.system.wall_ms()
        mark = ReadMap(f"read {self.entry.member} {self.maps.boot} {wall}", self.entry.member, wall)
        self.submit(mark, self._was_read)

    def _was_read(self, why: str) -> None:
        if self.maps is None or self._closed:
            return
        if why:
            self.log.warning("fleet: log not read yet, no query is taken", cause=why)
            self.loop.call_in(POLL_INTERVAL_NS, self._read)
            return
        self.log.info("fleet: log read", index=self.applied_index)
        self.maps.on_log_read()

    def _open(self, base: Path, seed: int) -> None:
        assert self.entry.store is not None
        stable = initial_state(tuple(self.entry.keepers))
        try:
            folder = base / self.entry.store
            self.store = self.hooks.open_store(folder, self.entry.name, self.entry.member, stable)
        except StoreError as error:
            self._lose_store(error)
            return
        self.voter = Voter(
            self.entry.member, self.store.stable, self.machine, seed, self.loop.clock(), ConsensusSettings()
        )

    def _lose_store(self, error: StoreError) -> None:
        self.store_error = str(error)
        self.log.error("fleet: store unusable, this broker keeps the log no more", cause=str(error))
        if self.store is not None:
            self.store.close()
            self.store = None
        if self.voter is not None:
            self.learner.applied_index = self.voter.applied_index
            self.voter = None

    # --- state ---

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that has taken effect here."""
        return self.voter.applied_index if self.voter is not None else self.learner.applied_index

    @property
    def leader(self) -> str:
        """As far as is known here."""
        return self.voter.leader if self.voter is not None else self.learner.leader

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest known."""
        return self.voter.voters if self.voter is not None else self.learner.voters

    @property
    def is_leader(self) -> bool:
        """Whether this broker's keeper leads."""
        return self.voter is not None and self.voter.role == Role.LEADER

    # --- messages ---

    def receive(self, data: bytes) -> None:
        """A message of another broker."""
        try:
            post, body = unpack(data, self.entry.name, self.entry.member)
            if post.sender not in self._peers:
                raise Rejected("unknown member")
        except Rejected as error:
            self.hooks.on_dropped(error.cause)
            return
        match body:
            case ProgressReport(applied, out):
                self.progress.apply_report(post.sender, self.loop.clock(), applied, out)
            case MapReport():
                if self.maps is not None:
                    self.maps.reports.receive(post.sender, self.loop.clock(), body)
            case FootprintSample():
                if self.maps is not None:
                    why = self.maps.samples.receive(post.sender, body.data)
                    if why:
                        self.log.debug("fleet: sample not taken", cause=why)
            case ProposalResponse():
                self._answered(body)
            case LearnerEntries() | LearnerSnapshotChunk():
                self._hear(body)
            case ProposalRequest(id, data_):
                if self.is_leader:
                    data_, why = self._prepare_command(data_)
                    if why:
                        self._post(post.sender, ProposalResponse(id, 0, why, ""))
                        return
                    body = ProposalRequest(id, data_)
                self._step([Received(post.sender, post.epoch, body)])
            case _:
                self._step([Received(post.sender, post.epoch, body)])

    def _hear(self, told: LearnerEntries | LearnerSnapshotChunk) -> None:
        """News for one that follows. A keeper that knows no leader has none: another one is asked in time."""
        now = self.loop.clock()
        knows = isinstance(told, LearnerSnapshotChunk) or bool(told.leader or told.entries)
        if knows:
            self._heard_at = now
        if self.voter is not None:
            return
        applied = self.learner.receive(now, told)
        if isinstance(told, LearnerEntries) and told.leader and self.learner.applied_index >= told.commit:
            self._confirmed_at = now
        if applied:
            self._after()

    def staleness_ns(self) -> int:
        """ns since the newest entry here was known to be the newest: by the leader, or by who heard it."""
        if self.is_leader:
            return 0
        heard = self._confirmed_at if self.voter is None else self.voter.leader_heard_at
        return self.loop.clock() - heard

    def _post(self, to: str, body: Body) -> None:
        epoch = 0 if self.store is None else self.store.stable.epoch
        self.hooks.send(to, pack(self.entry.name, self.entry.member, to, epoch, body))

    def _step(self, inputs: list[Input]) -> None:
        """One step of the keeper; a failing disk ends it in the middle, as a crash would."""
        if self.voter is None or self._closed:
            return
        for out in self.voter.step(self.loop.clock(), inputs):
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
                    self.proposals.set_index(number, index)
                case Refused(number, why, leader):
                    self._refused(number, why, leader)
                case _:
                    self.log.warning("fleet: keepers", cause=out.text, kind=out.kind)
        self._after()
        self._arm()

    def _send(self, to: str, message: Message) -> None:
        self._post(to, message)

    def _arm(self) -> None:
        if self.voter is None or self._closed:
            return
        due = self.voter.due
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, lambda: self._step([]))

    def _after(self) -> None:
        """Something may have been applied."""
        if self.applied_index == self._shown:
            return
        self._shown = self.applied_index
        self.proposals.complete_applied(self.applied_index, self.machine.state.results)
        if self.maps is not None:
            self.maps.on_applied()
        self.hooks.on_applied()

    # --- now and then ---

    def _tick(self) -> None:
        if self._closed:
            return
        self.loop.call_in(POLL_INTERVAL_NS, self._tick)
        now = self.loop.clock()
        others = [name for name in self.voters if name != self.entry.member]
        if self.voter is None and others:
            if now > self._heard_at + VOTER_SILENCE_NS:
                self._asked += 1
                self._heard_at = now
            self._post(others[self._asked % len(others)], self.learner.poll())
        if self.machine.drained():
            out = {name: count for name, count in self.hooks.attempts_in_flight().items() if count}
            self.progress.apply_report(self.entry.member, now, self.applied_index, out)
            for name in others:
                self._post(name, ProgressReport(self.applied_index, out))
        self._change_maps(now, others)
        for proposal in self.proposals.expire(now):
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
            self._post(self.leader, FootprintSample(data))
        step = self.maps.next_command(now, wall) if self.is_leader else None
        if step is not None and not self.proposals.has_pending(type(step)):
            self.submit(step, lambda why: self.log.info("fleet: step of a shard map", refused=why))

    # --- commands ---

    def submit(self, command: Command, done: Callable[[str], None]) -> None:
        """Have a command committed; ``done`` gets why not, or nothing where it took effect."""
        proposal = self.proposals.add(self.loop.clock(), command, done)
        if proposal is not None:
            self._try(proposal)

    def _prepare_command(self, data: bytes) -> tuple[bytes, str]:
        """The leader's word: its own belief and limits go into a grant."""
        try:
            command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError as error:
            return data, f"{FINAL_REFUSAL}{error}"[:200]
        if isinstance(command, MAP_COMMANDS):
            if self.maps is None:
                return data, f"{FINAL_REFUSAL}the leader's fleet: section has no topology:"
            filled, why = self.maps.prepare_command(command, self.loop.clock(), self.loop.system.wall_ms())
            return encode(filled), f"{FINAL_REFUSAL}{why}"[:200] if why else ""
        if isinstance(command, ChangeConfiguration):
            why = proposal_refusal(self.machine.configuration, command) or self.change_refusal(command)
            return data, f"{FINAL_REFUSAL}{why}"[:200] if why else ""
        command, why = self.hooks.prepare_command(command)
        return encode(command), f"{FINAL_REFUSAL}{why}"[:200] if why else ""

    def _try(self, proposal: Proposal, at: str = "") -> None:
        if self.is_leader:
            data, why = self._prepare_command(encode(proposal.command))
            if why:
                self.proposals.end(proposal, why)
                return
            self._step([Propose(proposal.number, data)])
        elif at or self.leader:
            self._post(at or self.leader, ProposalRequest(proposal.number, encode(proposal.command)))

    def _answered(self, answer: ProposalResponse) -> None:
        if answer.index:
            self.proposals.set_index(answer.id, answer.index)
            self.proposals.complete_applied(self.applied_index, self.machine.state.results)
        else:
            self._refused(answer.id, answer.why, answer.leader)

    def _refused(self, number: int, why: str, leader: str) -> None:
        proposal = self.proposals.get(number)
        if proposal is None:
            return
        if why.startswith(FINAL_REFUSAL):
            self.proposals.end(proposal, why)
        elif leader and leader != self.entry.member and not self.is_leader:
            self._try(proposal, leader)

    # --- for people ---

    def status(self, brokers: list[str], left: set[str]) -> dict[str, Any]:
        """Permits, drains and how far they are, and who keeps the log."""
        now = self.loop.clock()
        drains = []
        if self.voter is not None:
            for name in sorted(self.machine.drained()):
                waits = self.progress.waits_for(self.machine.state.permits[name], brokers, left, now)
                drains.append({"name": name, "done": not waits, "waits_for": waits})
        return {
            **self.machine.status(self.loop.system.wall_ms()),
            "member": self.entry.member,
            "drains": drains,
            "progress_at": "" if self.voter is not None else f"keepers {', '.join(self.voters)} know",
            "keepers": list(self.voters),
            "leader": self.leader,
            "role": "follows" if self.voter is None else self.voter.role,
            "applied": self.applied_index,
            "store": self.store_error or ("sound" if self.store is not None else "none"),
        }

    def close(self) -> None:
        """Give back the store."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self.store is not None:
            self.store.close()
