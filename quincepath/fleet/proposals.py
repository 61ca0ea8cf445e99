"""Commands that this broker proposes, until each has taken effect, is refused, or times out.

Pure: times come in with each call. The number is bounded; one more is refused at once.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from quincepath.fleet.permits import Command

MAX_PROPOSALS = 64  # at a time
PROPOSAL_TIMEOUT_NS = 10_000_000_000  # the outcome of a command is then reported as unknown
TOO_MANY = "too many commands wait"
OUTCOME_UNKNOWN = "not known to be done: no majority of the keepers answered in time"
RESULT_NOT_FOUND = "not found among what was agreed"


@dataclass(slots=True)
class Proposal:
    """A command under way. ``index``: its index in the log; 0 while that is not known."""

    number: int
    command: Command
    done: Callable[[str], None]
    deadline: int
    index: int = 0


class Proposals:
    """Proposals of one broker by number. Each ``done`` is called once, with the reason of a failure or ""."""

    def __init__(self) -> None:
        """Begins empty."""
        self._open: dict[int, Proposal] = {}
        self._last_number = 0

    def add(self, now: int, command: Command, done: Callable[[str], None]) -> Proposal | None:
        """Add a proposal. If there are too many, calls ``done`` with the reason and returns None."""
        if len(self._open) >= MAX_PROPOSALS:
            done(TOO_MANY)
            return None
        self._last_number += 1
        proposal = Proposal(self._last_number, command, done, now + PROPOSAL_TIMEOUT_NS)
        self._open[proposal.number] = proposal
        return proposal

    def get(self, number: int) -> Proposal | None:
        """The proposal of a number, if it has not ended."""
        return self._open.get(number)

    def set_index(self, number: int, index: int) -> None:
        """Note the log index of a proposal."""
        proposal = self._open.get(number)
        if proposal is not None:
            proposal.index = index

    def has_pending(self, kind: type) -> bool:
        """Whether a command of this type is under way."""
        return any(type(proposal.command) is kind for proposal in self._open.values())

    def end(self, proposal: Proposal, why: str) -> None:
        """End a proposal; ending it again has no effect."""
        if self._open.pop(proposal.number, None) is not None:
            proposal.done(why)

    def complete_applied(self, applied: int, results: Mapping[str, str]) -> None:
        """End the proposals that are applied here. ``results``: the outcome of each command by its id."""
        for proposal in list(self._open.values()):
            if proposal.index and applied >= proposal.index:
                self.end(proposal, results.get(proposal.command.id, RESULT_NOT_FOUND))

    def expire(self, now: int) -> list[Proposal]:
        """End the proposals that have timed out; returns those of the others that have no log index yet."""
        for proposal in list(self._open.values()):
            if now >= proposal.deadline:
                self.end(proposal, OUTCOME_UNKNOWN)
        return [proposal for proposal in self._open.values() if not proposal.index]
