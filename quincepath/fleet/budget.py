"""How many may be out at once: a function of who is out and why, small enough to be read aloud.

What is out counts whatever the reason. Limits are by replica set (holders that are ready and warm), by zone
and in total, for brokers and holders apart, in numbers and in shares of the configured number. Where the
budget is overdrawn by nature, nothing new is granted; a limit that is broken is named with who is out.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

SHOWN = 5  # names in one refusal


class Reason(Enum):
    """Why one is out; the first that holds is told."""

    PERMITTED = "permitted"
    OVERDUE = "permitted and overdue"
    DEAD = "believed dead"
    SUSPECT = "suspected"
    LEFT = "left"
    DRAINING = "draining by the list"
    COLD = "cold: started less than its ramp ago"


@dataclass(slots=True, frozen=True)
class Unit:
    """One broker or holder, as configured. ``sets``: replica sets that a holder is of."""

    name: str
    kind: str  # "broker" or "holder"
    zone: str = ""
    sets: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Limit:
    """Most that may be out: a number, or a share of those configured (rounded down, at least ``least``)."""

    number: int | None = None
    share: float | None = None
    least: int = 1

    def most(self, configured: int) -> int:
        """Of so many; the smaller one where both are stated, all where neither is."""
        found = configured if self.number is None else self.number
        if self.share is not None:
            found = min(found, max(int(self.share * configured + 1e-9), self.least))
        return found


@dataclass(slots=True, frozen=True)
class Limits:
    """Of one kind. ``ready_least``: holders of each replica set that must stay ready and warm."""

    total: Limit = Limit(number=1)
    zone: Limit = Limit(number=1)
    ready_least: int = 1


@dataclass(slots=True, frozen=True)
class Refusal:
    """One limit that stands in the way: its name, its figure, what it would come to, and who is out."""

    limit: str
    most: int
    would_be: int
    out: tuple[tuple[str, str], ...]  # name and reason

    def __str__(self) -> str:
        said = ", ".join(f"{name} ({why})" for name, why in self.out[:SHOWN])
        more = f" and {len(self.out) - SHOWN} more" if len(self.out) > SHOWN else ""
        now = f"{said or 'none'}{more}"
        return f"{self.limit}: at most {self.most} out, would be {self.would_be}; out now: {now}"


def _refusal(
    limit: str, most: int, units: Iterable[Unit], out: Mapping[str, Reason], more: int
) -> Refusal | None:
    """Where so many ``more`` than are out already of these units would be over the limit."""
    gone = tuple((unit.name, out[unit.name].value) for unit in units if unit.name in out)
    return Refusal(limit, most, len(gone) + more, gone) if len(gone) + more > most else None


def refusals(
    wanted: str, units: Mapping[str, Unit], out: Mapping[str, Reason], limits: Mapping[str, Limits]
) -> list[Refusal]:
    """What stands in the way of one more going out; empty where nothing does.

    One that is out already, for whatever reason, adds nothing: what is broken may be taken into repair, as
    long as the limits hold as things are. Raises ``KeyError`` for a name that is not configured.
    """
    unit = units[wanted]
    mine, more = limits[unit.kind], int(wanted not in out)
    same = [one for one in units.values() if one.kind == unit.kind]
    zone = [one for one in same if one.zone == unit.zone]
    found = [
        _refusal(f"{unit.kind}s", mine.total.most(len(same)), same, out, more),
        _refusal(f"{unit.kind}s of zone {unit.zone!r}", mine.zone.most(len(zone)), zone, out, more),
    ]
    for name in unit.sets:
        members = [one for one in same if name in one.sets]
        most = max(len(members) - mine.ready_least, 0)
        found.append(_refusal(f"holders of replica set {name!r}", most, members, out, more))
    return [refusal for refusal in found if refusal is not None]
