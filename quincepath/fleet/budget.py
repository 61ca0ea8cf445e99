"""Limits how many brokers and nodes may be out of service at once, by who is out and why.

Whoever is out counts, whatever the reason. Limits are by replica set (nodes that are ready and warm), by zone
and in total, for brokers and nodes separately, as numbers and as shares of the configured number. Where the
budget is already exceeded by failures, nothing new is granted; a violated limit is reported with who is out.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

MAX_NAMES_SHOWN = 5  # names in one refusal


class Reason(Enum):
    """Why one is out; the first reason that applies is reported."""

    PERMITTED = "permitted"
    OVERDUE = "permitted and overdue"
    DEAD = "believed dead"
    SUSPECT = "suspected"
    LEFT = "left"
    DRAINING = "draining by the list"
    COLD = "cold: started less than its ramp ago"


@dataclass(slots=True, frozen=True)
class Unit:
    """One broker or node, as configured. ``sets``: replica sets of a node."""

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

    def maximum(self, configured: int) -> int:
        """The limit for a configured number; the smaller one where both are given, all where neither is."""
        maximum = configured if self.number is None else self.number
        if self.share is not None:
            maximum = min(maximum, max(int(self.share * configured + 1e-9), self.least))
        return maximum


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one kind. ``ready_least``: nodes of each replica set that must stay ready and warm."""

    total: Limit = Limit(number=1)
    zone: Limit = Limit(number=1)
    ready_least: int = 1


@dataclass(slots=True, frozen=True)
class Refusal:
    """One violated limit: its name, its value, what the number would become, and who is out."""

    limit: str
    most: int
    would_be: int
    out: tuple[tuple[str, str], ...]  # name and reason

    def __str__(self) -> str:
        named = ", ".join(f"{name} ({why})" for name, why in self.out[:MAX_NAMES_SHOWN])
        more = f" and {len(self.out) - MAX_NAMES_SHOWN} more" if len(self.out) > MAX_NAMES_SHOWN else ""
        out_now = f"{named or 'none'}{more}"
        return f"{self.limit}: at most {self.most} out, would be {self.would_be}; out now: {out_now}"


class Check(msgspec.Struct, frozen=True):
    """One limit as it applies to one unit: of these members at most so many may be out."""

    limit: str
    most: int
    members: tuple[str, ...]


def checks(wanted: str, units: Mapping[str, Unit], limits: Mapping[str, Limits]) -> tuple[Check, ...]:
    """All limits that apply when one more goes out. Raises ``KeyError`` for a name that is not configured."""
    unit = units[wanted]
    own_limits = limits[unit.kind]
    same = [one for one in units.values() if one.kind == unit.kind]
    zone = tuple(one.name for one in same if one.zone == unit.zone)
    found = [Check(f"{unit.kind}s", own_limits.total.maximum(len(same)), tuple(one.name for one in same))]
    if unit.zone:
        found.append(Check(f"{unit.kind}s of zone {unit.zone!r}", own_limits.zone.maximum(len(zone)), zone))
    for name in unit.sets:
        members = tuple(one.name for one in same if name in one.sets)
        most = max(len(members) - own_limits.ready_least, 0)
        found.append(Check(f"holders of replica set {name!r}", most, members))
    return tuple(found)


def refusals(wanted: str, checks: Iterable[Check], out: Mapping[str, Reason]) -> list[Refusal]:
    """The limits that forbid one more to go out; empty where there are none.

    One that is out already, for whatever reason, adds nothing: a failed unit may be taken into repair, as
    long as the limits hold in the present state.
    """
    found = []
    for check in checks:
        out_now = tuple((name, out[name].value) for name in check.members if name in out)
        would_be = len(out_now) + int(wanted not in out)
        if would_be > check.most:
            found.append(Refusal(check.limit, check.most, would_be, out_now))
    return found
