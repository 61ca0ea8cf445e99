"""Commands that this broker wants committed: until each has taken effect, is refused, or its time is over.

Pure: times come in with each call. Bounded in number; one more is refused at once.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from quincepath.fleet.permits import Command

MAX_PROPOSALS = 64  # at once
PROPOSAL_TIMEOUT_NS = 10_000_000_000  # ns until a command is given up, as not known to be done
TOO_MANY = "too many commands wait"
OUTCOME_UNKNOWN = "not known to be done: no majority of the keepers answered in time"
RESULT_NOT_FOUND = "not found among what was agreed"


@dataclass(slots=True)
class Proposal:
    """A command on its way. ``index``: where in the log it stands; 0 while it is not known to."""

    number: int
    command: Command
    done: Callable[[str], None]
    until: int
    index: int = 0


class Proposals:
    """All of one broker, by number. ``done`` of each is called once: with why not, or nothing."""

    def __init__(self) -> None:
        """None yet."""
        self._open: dict[int, Proposal] = {}
        self._numbers = 0

    def add(self, now: int, command: Command, done: Callable[[str], None]) -> Proposal | None:
        """Begin one; None where there are too many, which ``done`` is told."""
        if len(self._open) >= MAX_PROPOSALS:
            done(TOO_MANY)
            return None
        self._numbers += 1
        proposal = Proposal(self._numbers, command, done, now + PROPOSAL_TIMEOUT_NS)
        self._open[proposal.number] = proposal
        return proposal

    def get(self, number: int) -> Proposal | None:
        """One that has not ended."""
        return self._open.get(number)

    def set_index(self, number: int, index: int) -> None:
        """A proposal has a place in the log."""
        proposal = self._open.get(number)
        if proposal is not None:
            proposal.index = index

    def has_pending(self, kind: type) -> bool:
        """Whether a command of this kind is on its way."""
        return any(type(proposal.command) is kind for proposal in self._open.values())

    def end(self, proposal: Proposal, why: str) -> None:
        """It is over; a second end has no effect."""
        if self._open.pop(proposal.number, None) is not None:
            proposal.done(why)

    def complete_applied(self, applied: int, results: Mapping[str, str]) -> None:
        """End those that have taken effect here. ``results``: what came of each command, by its id."""
        for proposal in list(self._open.values()):
            if proposal.index and applied >= proposal.index:
                self.end(proposal, results.get(proposal.command.id, RESULT_NOT_FOUND))

    def expire(self, now: int) -> list[Proposal]:
        """End those whose time is over; returns the others that have no place in the log yet."""
        for proposal in list(self._open.values()):
            if now >= proposal.until:
                self.end(proposal, OUTCOME_UNKNOWN)
        return [proposal for proposal in self._open.values() if not proposal.index]
