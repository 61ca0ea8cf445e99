"""Permits to be out of service, a state machine fed by the replicated log. Pure: same entries, same state.

The leader checks a request against the budget, with its beliefs of the fleet, and proposes a grant that names
who was out by belief. The entry is checked again when it is applied, by what is committed then, so that two
concurrent grants cannot exceed the budget together. A permit never expires by itself: only *back* or a
*close* by an operator frees its place, since a holder that is cut off may have begun. An overdue permit
blocks all new grants.
"""

from typing import Any

import msgspec

from quincepath.fleet.adoption import (
    MAP_COMMANDS,
    MapCommand,
    Topology,
    apply_map_command,
    clear_halt,
    restart_measurement,
)
from quincepath.fleet.budget import Check, Reason, refusals
from quincepath.fleet.configuration.commands import ChangeConfiguration, apply_command
from quincepath.fleet.configuration.history import History
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.messages import Millis, Name, Text

MAX_HISTORY = 2000
MAX_RESULTS = 4000  # results remembered, so that a repeated command does nothing twice
SCHEMA = 3  # 1: without maps, 2: without a configuration; read as a state that has none
DRAIN = "drain"  # purpose of a permit for which all brokers drain the node


class Grant(msgspec.Struct, tag="grant", frozen=True):
    """Let one go out, for a drain or a release, until ``overdue_at`` (ms of the requester's wall clock).

    ``checks`` are the limits by the leader's configuration, so that the entry means the same on every broker;
    ``out``: who else was out by the leader's belief, and why (names of ``Reason``).
    """

    id: Text
    by: Text
    at: Millis
    name: Name
    purpose: Text
    overdue_at: Millis
    checks: tuple[Check, ...] = ()
    out: dict[str, str] = {}


class Begun(msgspec.Struct, tag="begun", frozen=True):
    """The one with a permit has gone out."""

    id: Text
    by: Text
    at: Millis
    name: Name


class Back(msgspec.Struct, tag="back", frozen=True):
    """It is back, ready and warm: its place is free."""

    id: Text
    by: Text
    at: Millis
    name: Name


class Close(msgspec.Struct, tag="close", frozen=True):
    """By an operator: its place is free, whatever became of it."""

    id: Text
    by: Text
    at: Millis
    name: Name
    why: Text


class Halt(msgspec.Struct, tag="halt", frozen=True):
    """Nothing new is granted until ``Resume``."""

    id: Text
    by: Text
    at: Millis
    why: Text


class Resume(msgspec.Struct, tag="resume", frozen=True):
    """Grants are possible again; an overdue permit still blocks them unless it was closed."""

    id: Text
    by: Text
    at: Millis


Command = Grant | Begun | Back | Close | Halt | Resume | MapCommand | ChangeConfiguration


class Permit(msgspec.Struct):
    """A permit of one that may be out, or is."""

    name: str
    purpose: str
    by: str
    granted_at: int
    overdue_at: int
    begun_at: int = 0
    index: int = 0


class Line(msgspec.Struct):
    """Entry of the history: what was requested, by whom, when, and the result."""

    index: int
    at: int
    by: str
    what: str
    name: str
    result: str


class State(msgspec.Struct):
    """All that a snapshot contains."""

    schema: int = SCHEMA
    permits: dict[str, Permit] = {}
    halted: str = ""  # reason; empty: not halted
    history: list[Line] = []
    results: dict[str, str] = {}  # by id of the command; empty text: done
    topology: Topology = msgspec.field(default_factory=Topology)
    configuration: bytes = b""  # as written by ``History.dump``; empty: never changed


_encoder = msgspec.msgpack.Encoder()
_command_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_state_decoder = msgspec.msgpack.Decoder(State)


def encode(command: Command) -> bytes:
    """Encode a command for the log."""
    return _encoder.encode(command)


class Permits:
    """The state machine of the replicated log."""

    def __init__(self) -> None:
        self.state = State()
        self.configuration = History()

    # --- log ---

    def apply(self, entry: Entry) -> None:
        """Apply one committed entry. An unreadable one changes nothing but is recorded in the history."""
        try:
            command = _command_decoder.decode(entry.data)
        except msgspec.MsgspecError as error:
            self._note(entry.index, 0, "unknown", "unreadable", "", f"refused: {error}"[:200])
            return
        if command.id in self.state.results:
            return  # a repeat: it was done, or refused, before
        result = self._execute(command, entry.index)
        self.state.results[command.id] = result
        while len(self.state.results) > MAX_RESULTS:
            del self.state.results[next(iter(self.state.results))]
        name = getattr(command, "name", "")
        text = f"refused: {result}" if result else "done"
        self._note(entry.index, command.at, command.by, type(command).__name__.lower(), name, text)

    def _note(self, index: int, at: int, by: str, what: str, name: str, result: str) -> None:
        self.state.history.append(Line(index, at, by, what, name, result))
        del self.state.history[:-MAX_HISTORY]

    def _execute(self, command: Command, index: int) -> str:
        """Execute a command and return the reason of a refusal; empty where it is done."""
        permits, topology = self.state.permits, self.state.topology
        if isinstance(command, MAP_COMMANDS):
            return apply_map_command(topology, command, index, self.map_change_blocker())[:400]
        match command:
            case ChangeConfiguration():
                return apply_command(self.configuration, command)[:400]
            case Grant():
                reasons = self.grant_refusals(command.name, command.checks, _reasons(command.out), command.at)
                if reasons:
                    return "; ".join(reasons)[:400]
                permits[command.name] = Permit(
                    command.name, command.purpose, command.by, command.at, command.overdue_at, index=index
                )
                restart_measurement(topology, command.at)
            case Halt():
                self.state.halted = command.why or "by hand"
            case Resume():
                self.state.halted = ""
                clear_halt(topology)
            case Begun() | Back() | Close():
                permit = permits.get(command.name)
                if permit is None:
                    return f"{command.name} has no permit"
                if isinstance(command, Begun):
                    permit.begun_at = permit.begun_at or command.at
                else:
                    del permits[command.name]
                    restart_measurement(topology, command.at)
        return ""

    def map_change_blocker(self) -> str:
        """What forbids a change of the shard map: it and a unit that is out do not go together."""
        if self.state.halted:
            return f"halted: {self.state.halted}"
        names = sorted(self.state.permits)
        return f"open: the permit of {', '.join(names[:5])}" if names else ""

    def dump(self) -> bytes:
        """Encode the state for a snapshot."""
        changed = self.configuration.revision or self.configuration.answers
        self.state.configuration = self.configuration.dump() if changed else b""
        return _encoder.encode(self.state)

    def load(self, data: bytes) -> None:
        """Load a snapshot; no data is the initial state. Raises ``ValueError`` for another schema."""
        self.state = _state_decoder.decode(data) if data else State()
        if not 1 <= self.state.schema <= SCHEMA:
            raise ValueError(f"permits of schema {self.state.schema}, this program reads 1 to {SCHEMA}")
        self.state.schema = SCHEMA
        self.configuration.load(self.state.configuration)
        if self.state.topology.record:
            from quincepath.fleet.forecast import decode_record  # imports a large library

            decode_record(self.state.topology.record)

    # --- checks ---

    def out(self, believed: dict[str, Reason], now: int) -> dict[str, Reason]:
        """Everyone who is out: by permit, or by belief. ``now``: ms of a wall clock."""
        found = dict(believed)
        for name, permit in self.state.permits.items():
            found[name] = Reason.OVERDUE if now > permit.overdue_at else Reason.PERMITTED
        return found

    def overdue(self, now: int) -> list[str]:
        """Those whose permit is past its time: they may still be out."""
        return sorted(name for name, permit in self.state.permits.items() if now > permit.overdue_at)

    def grant_refusals(
        self, name: str, checks: tuple[Check, ...], believed: dict[str, Reason], now: int
    ) -> list[str]:
        """The reasons to refuse a grant; empty where there are none."""
        if not checks:
            return [f"{name} is none of the configured brokers and holders"]
        if name in self.state.permits:
            return [f"{name} has a permit already, by {self.state.permits[name].by}"]
        if self.state.halted:
            return [f"halted: {self.state.halted}"]
        if self.state.topology.staging:
            return [f"version {self.state.topology.staging} of the shard map is being staged"]
        overdue = self.overdue(now)
        if overdue:
            return [f"overdue: {', '.join(overdue)}; bring it back, or close its permit"]
        return [str(one) for one in refusals(name, checks, self.out(believed, now))]

    def drained(self) -> set[str]:
        """The names that all brokers are to drain."""
        return {name for name, permit in self.state.permits.items() if permit.purpose == DRAIN}

    def status(self, now: int) -> dict[str, Any]:
        """The state for operators."""
        return {
            "halted": self.state.halted,
            "overdue": self.overdue(now),
            "permits": [msgspec.to_builtins(permit) for permit in self.state.permits.values()],
        }


def _reasons(names: dict[str, str]) -> dict[str, Reason]:
    by_name = {reason.name: reason for reason in Reason}
    return {name: by_name.get(text, Reason.SUSPECT) for name, text in names.items()}
