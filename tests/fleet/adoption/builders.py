"""Builds maps, verdicts and a log for the tests of adoption."""

from typing import Any

from quincepath.fleet.adoption import (
    AdoptMap,
    AwayMap,
    BackMap,
    Bar,
    Map,
    MapVerdict,
    MeasuredMap,
    ProposeMap,
    Topology,
    UseMap,
)  # fmt: skip
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.permits import Command, Permits, encode

BROKERS = ("b1", "b2", "b3")
FIRST = Map("zone", (("s1", "g1", ("a", "b")), ("s2", "g2", ("c",))))
SPLIT = Map("zone", (("s1", "g1", ("a",)), ("s2", "g2", ("c",)), ("s3", "g2", ("b",))))
MOVED = Map("zone", (("s1", "g1", ("a", "b", "c")),))
NEEDS: dict[str, tuple[str, ...]] = {"h3": ("s3",)}
BARS = (Bar("parts", "fast", 2.0, 1.8, 2.2), Bar("load", "g1", 0.5, 0.4, 0.6))
GOOD = (("parts", "fast", 2.1), ("load", "g1", 0.45))
BAD = (("parts", "fast", 5.0), ("load", "g1", 0.45))
SPAN = 1000


def digest(found: Map) -> str:
    return found.version(1).digest


def judged(found: Map, answer: str = "accept", *why: str) -> MapVerdict:
    return MapVerdict(answer, why, digest(found), BARS)


class Log:
    """Applies commands one after the other, encoded as log entries."""

    def __init__(self) -> None:
        self.permits, self.count = Permits(), 0

    @property
    def topology(self) -> Topology:
        return self.permits.state.topology

    def put(self, kind: type[Any], at: int = 0, **fields: Any) -> str:
        """The result: empty if it was applied, otherwise why it was refused."""
        self.count += 1
        command: Command = kind(id=f"c{self.count}", by="ann", at=at, **fields)
        self.permits.apply(Entry(self.count, 1, encode(command)))
        return self.permits.state.results[f"c{self.count}"]

    def propose(self, found: Map = SPLIT, **more: Any) -> str:
        return self.put(ProposeMap, map=found, **{"base": FIRST, **more})

    def adopt(self, found: Map = SPLIT, **more: Any) -> str:
        fields = {"judged": judged(found), "brokers": BROKERS, "needs": NEEDS, "measure": SPAN}
        return self.put(AdoptMap, **{**fields, **more})

    def use(self, number: int, found: Map = SPLIT, at: int = 0, **more: Any) -> str:
        fields = {"staged": BROKERS, "proved": NEEDS, "digest": digest(found)}
        return self.put(UseMap, at, number=number, **{**fields, **more})

    def measured(self, number: int, figures: Any = GOOD, at: int = SPAN, **more: Any) -> str:
        using = {name: (number, 0) for name in BROKERS}
        return self.put(MeasuredMap, at, number=number, figures=figures, **{"using": using, **more})

    def away(self, name: str, belief: str = "dead") -> str:
        return self.put(AwayMap, name=name, belief=belief)

    def back(self, **more: Any) -> str:
        return self.put(BackMap, **{"brokers": BROKERS, "needs": {}, **more})

    def settled(self) -> "Log":
        """Version 2 in use and measured."""
        assert not (self.propose() or self.adopt() or self.use(2) or self.measured(2))
        return self
