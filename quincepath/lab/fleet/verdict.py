"""What a fleet's day came to: when all views were equal and true, how deaths were learned, false deaths."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

SECOND = 1_000_000_000
EXCUSED_FOR = 12 * SECOND  # so long after a disturbance of a member its death may still be told of


@dataclass(slots=True)
class Death:
    """One that was killed: when, when first doubted by anybody, when all that run knew (ns of the day)."""

    name: str
    at: int
    doubted: int = -1
    known: int = -1


@dataclass(slots=True)
class Verdict:
    """Figures of a day; ``findings`` are what must not be."""

    settled: int = -1  # ns of the day from which all views were equal and true until the end; -1: never
    quiet_from: int = 0
    deaths: list[Death] = field(default_factory=list)
    false_deaths: int = 0  # beliefs in the death of one that ran undisturbed
    messages: int = 0
    bytes: int = 0
    member_seconds: float = 0.0
    findings: list[str] = field(default_factory=list)

    @property
    def settle_time(self) -> int:
        """ns after the last fault; -1: never."""
        return -1 if self.settled < 0 else max(self.settled - self.quiet_from, 0)

    def figures(self) -> dict[str, Any]:
        """For tables."""
        knowing = [(death.known - death.at) / SECOND for death in self.deaths if death.known >= 0]
        seconds = max(self.member_seconds, 1e-9)
        return {
            "settle_s": round(self.settle_time / SECOND, 3) if self.settled >= 0 else None,
            "all_know_s": [round(value, 3) for value in knowing],
            "false_deaths": self.false_deaths,
            "messages_a_second": round(self.messages / seconds, 2),
            "bytes_a_second": round(self.bytes / seconds, 1),
            "findings": self.findings,
        }


class Watcher:
    """Told of the truth and of beliefs as they change; keeps what the verdict needs."""

    def __init__(self) -> None:
        self.running: set[str] = set()  # processes, one may stand for several of a name
        self.disturbed: dict[str, int] = {}  # until when each is excused (ns); beyond the end while it lasts
        self.deaths: list[Death] = []
        self._knowing: dict[str, set[str]] = defaultdict(set)
        self.false: list[tuple[int, str, str]] = []  # at, who believed, of whom

    def excuse(self, name: str, until: int) -> None:
        """Its death may be told of until then, and for a while after."""
        self.disturbed[name] = max(self.disturbed.get(name, 0), until + EXCUSED_FOR)

    def killed(self, name: str, at: int) -> None:
        """It has ended and stays away for now."""
        self.running.discard(name)
        self.deaths.append(Death(name, at))
        self._knowing[name].clear()

    def started(self, name: str, at: int) -> None:
        """It runs (again): a death that is not known by all yet need not be any more."""
        self.running.add(name)
        self._knowing.pop(name, None)

    def believed(self, who: str, of: str, phase: str, at: int) -> None:
        """A change of belief at a member that runs."""
        if phase == "dead" and of in self.running and at > self.disturbed.get(of, -1):
            if at > self.disturbed.get(who, -1):
                self.false.append((at, who, of))
        if of in self.running:
            return
        for death in reversed(self.deaths):
            if death.name == of:
                if death.doubted < 0 and phase in ("suspect", "dead"):
                    death.doubted = at
                if phase in ("dead", "left"):
                    self._knowing[of].add(who)
                    if death.known < 0 and self._knowing[of] >= self.running:
                        death.known = at
                return
