"""The fleet's replicated log on one broker: a voter with its store, or a learner; and the broker's proposals.

Carries out the outputs of voter and learner in order. A voter whose store fails goes on as a learner, and the
broker serves queries all the same.
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

POLL_INTERVAL_NS = 500_000_000  # between a learner's polls, progress reports, and retries of a proposal
VOTER_SILENCE_NS = 1_500_000_000  # without a useful answer until a learner polls another voter
# Arguments: the folder, the fleet, the member, and the state of a new store.
OpenStore = Callable[[Path, str, str, StableState], Storage]
FINAL_REFUSAL = "refused: "  # prefix of a reason with which any other leader would refuse, too


@dataclass(slots=True)
class Hooks:
    """What the broker provides for the log."""

    send: Callable[[str, bytes], None]  # to a member
    prepare_command: Callable[[Command], tuple[Command, str]]  # as leader: the command to propose, or why not
    on_applied: Callable[[], None]  # new entries have been applied
    attempts_in_flight: Callable[[], dict[str, int]]  # by holder name
    open_store: OpenStore  # called once, if this broker is a voter
    on_dropped: Callable[[str], None] = field(default=lambda cause: None)
    # Returns None without a topology: section.
    make_maps: Callable[[Permits], "MapAdoption | None"] = field(default=lambda machine: None)


def _refuse_none(command: ChangeConfiguration) -> str:
    return ""


class ReplicatedLog:
    """One broker's part in the log.

    ``change_refusal``: why this member, as leader, does not propose a change of the configuration that the
    state machine would accept; empty if it proposes it.
    """

    change_refusal: Callable[[ChangeConfiguration], str] = staticmethod(_refuse_none)

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
        self._poll_turn = 0
        self._notified_index = -1
        self._heard_at = loop.clock()
        self._confirmed_at = -NEVER  # when a voter that knew a leader last reported no newer entry
        if entry.member in entry.keepers:
            self._open_store(base, seed)
        loop.call_in(POLL_INTERVAL_NS, self._tick)
        self._arm_timer()
        if self.maps is not None:
            loop.call_in(0, self._submit_read_mark)

    def _submit_read_mark(self) -> None:
        """Commit a mark: once it is applied here, everything committed before it is applied, too."""
        if self._closed or self.maps is None:
            return
        wall = self.loop.system.wall_ms()
        mark = ReadMap(f"read {self.entry.member} {self.maps.boot} {wall}", self.entry.member, wall)
        self.submit(mark, self._on_read_mark)

    def _on_read_mark(self, why: str) -> None:
        if self.maps is None or self._closed:
            return
        if why:
            self.log.warning("fleet: log not read yet; no query is accepted", cause=why)
            self.loop.call_in(POLL_INTERVAL_NS, self._submit_read_mark)
            return
        self.log.info("fleet: log read", index=self.applied_index)
        self.maps.on_log_read()

    def _open_store(self, base: Path, seed: int) -> None:
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
        self.log.error("fleet: store unusable; this broker is no longer a voter", cause=str(error))
        if self.store is not None:
            self.store.close()
            self.store = None
        if self.voter is not None:
            self.learner.applied_index = self.voter.applied_index
            self.voter = None

    # --- state ---

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that is applied here."""
        return self.voter.applied_index if self.voter is not None else self.learner.applied_index

    @property
    def leader(self) -> str:
        """The leader that this broker knows of; may be empty."""
        return self.voter.leader if self.voter is not None else self.learner.leader

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest set of voters known here."""
        return self.voter.voters if self.voter is not None else self.learner.voters

    @property
    def is_leader(self) -> bool:
        """Whether this broker's voter is the leader."""
        return self.voter is not None and self.voter.role == Role.LEADER

    # --- messages ---

    def receive(self, data: bytes) -> None:
        """Handle a message of another broker."""
        try:
            envelope, body = unpack(data, self.entry.name, self.entry.member)
            if envelope.sender not in self._peers:
                raise Rejected("unknown member")
        except Rejected as error:
            self.hooks.on_dropped(error.cause)
            return
        match body:
            case ProgressReport(applied, out):
                self.progress.apply_report(envelope.sender, self.loop.clock(), applied, out)
            case MapReport():
                if self.maps is not None:
                    self.maps.reports.receive(envelope.sender, self.loop.clock(), body)
            case FootprintSample():
                if self.maps is not None:
                    why = self.maps.samples.receive(envelope.sender, body.data)
                    if why:
                        self.log.debug("fleet: footprint sample rejected", cause=why)
            case ProposalResponse():
                self._on_proposal_response(body)
            case LearnerEntries() | LearnerSnapshotChunk():
                self._on_learner_message(body)
            case ProposalRequest(id, data_):
                if self.is_leader:
                    data_, why = self._prepare_command(data_)
                    if why:
                        self._send_body(envelope.sender, ProposalResponse(id, 0, why, ""))
                        return
                    body = ProposalRequest(id, data_)
                self._step([Received(envelope.sender, envelope.epoch, body)])
            case _:
                self._step([Received(envelope.sender, envelope.epoch, body)])

    def _on_learner_message(self, message: LearnerEntries | LearnerSnapshotChunk) -> None:
        """Handle a voter's message to a learner.

        A voter that knows no leader has nothing new to tell: it counts as silent, so another one is polled.
        """
        now = self.loop.clock()
        informed = isinstance(message, LearnerSnapshotChunk) or bool(message.leader or message.entries)
        if informed:
            self._heard_at = now
        if self.voter is not None:
            return
        applied = self.learner.receive(now, message)
        if (
            isinstance(message, LearnerEntries)
            and message.leader
            and self.learner.applied_index >= message.commit
        ):
            self._confirmed_at = now
        if applied:
            self._after_step()

    def staleness_ns(self) -> int:
        """ns since the leader, or a voter that heard it, last confirmed that no newer entry was committed."""
        if self.is_leader:
            return 0
        heard = self._confirmed_at if self.voter is None else self.voter.leader_heard_at
        return self.loop.clock() - heard

    def _send_body(self, to: str, body: Body) -> None:
        epoch = 0 if self.store is None else self.store.stable.epoch
        self.hooks.send(to, pack(self.entry.name, self.entry.member, to, epoch, body))

    def _step(self, inputs: list[Input]) -> None:
        """Run one step of the voter; a failing disk ends it between two outputs, as a crash would."""
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
                    self._send_message(to, message)
                case Done(number, index):
                    self.proposals.set_index(number, index)
                case Refused(number, why, leader):
                    self._on_refused(number, why, leader)
                case _:
                    self.log.warning("fleet: notice of the replicated log", cause=out.text, kind=out.kind)
        self._after_step()
        self._arm_timer()

    def _send_message(self, to: str, message: Message) -> None:
        self._send_body(to, message)

    def _arm_timer(self) -> None:
        if self.voter is None or self._closed:
            return
        due = self.voter.due
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, lambda: self._step([]))

    def _after_step(self) -> None:
        """Notify proposals, shard maps and hooks if entries have been applied."""
        if self.applied_index == self._notified_index:
            return
        self._notified_index = self.applied_index
        self.proposals.complete_applied(self.applied_index, self.machine.state.results)
        if self.maps is not None:
            self.maps.on_applied()
        self.hooks.on_applied()

    # --- periodic work ---

    def _tick(self) -> None:
        if self._closed:
            return
        self.loop.call_in(POLL_INTERVAL_NS, self._tick)
        now = self.loop.clock()
        others = [name for name in self.voters if name != self.entry.member]
        if self.voter is None and others:
            if now > self._heard_at + VOTER_SILENCE_NS:
                self._poll_turn += 1
                self._heard_at = now
            self._send_body(others[self._poll_turn % len(others)], self.learner.poll())
        if self.machine.drained():
            out = {name: count for name, count in self.hooks.attempts_in_flight().items() if count}
            self.progress.apply_report(self.entry.member, now, self.applied_index, out)
            for name in others:
                self._send_body(name, ProgressReport(self.applied_index, out))
        self._advance_map_change(now, others)
        for proposal in self.proposals.expire(now):
            self._send_proposal(proposal)

    def _advance_map_change(self, now: int, others: list[str]) -> None:
        """Report how far this broker is with a new shard map; as leader, propose the next step."""
        if self.maps is None:
            return
        report = self.maps.report(now)
        if report is not None:
            for name in others:
                self._send_body(name, report)
        wall = self.loop.system.wall_ms()
        for data in self.maps.sample_messages(now, wall, self.leader):
            self._send_body(self.leader, FootprintSample(data))
        step = self.maps.next_command(now, wall) if self.is_leader else None
        if step is not None and not self.proposals.has_pending(type(step)):
            self.submit(step, lambda why: self.log.info("fleet: shard map step proposed", refused=why))

    # --- commands ---

    def submit(self, command: Command, done: Callable[[str], None]) -> None:
        """Propose a command; ``done`` gets the reason why it was not committed, or "" once it took effect."""
        proposal = self.proposals.add(self.loop.clock(), command, done)
        if proposal is not None:
            self._send_proposal(proposal)

    def _prepare_command(self, data: bytes) -> tuple[bytes, str]:
        """Check a command as the leader, and fill in the leader's own view and limits where it needs them.

        Returns the encoded command and the reason of a refusal, or "".
        """
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

    def _send_proposal(self, proposal: Proposal, at: str = "") -> None:
        if self.is_leader:
            data, why = self._prepare_command(encode(proposal.command))
            if why:
                self.proposals.end(proposal, why)
                return
            self._step([Propose(proposal.number, data)])
        elif at or self.leader:
            self._send_body(at or self.leader, ProposalRequest(proposal.number, encode(proposal.command)))

    def _on_proposal_response(self, response: ProposalResponse) -> None:
        if response.index:
            self.proposals.set_index(response.id, response.index)
            self.proposals.complete_applied(self.applied_index, self.machine.state.results)
        else:
            self._on_refused(response.id, response.why, response.leader)

    def _on_refused(self, number: int, why: str, leader: str) -> None:
        proposal = self.proposals.get(number)
        if proposal is None:
            return
        if why.startswith(FINAL_REFUSAL):
            self.proposals.end(proposal, why)
        elif leader and leader != self.entry.member and not self.is_leader:
            self._send_proposal(proposal, leader)

    # --- for operators ---

    def status(self, brokers: list[str], left: set[str]) -> dict[str, Any]:
        """Permits, drains with their progress, and the state of the log."""
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
        """Release the store."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self.store is not None:
            self.store.close()
