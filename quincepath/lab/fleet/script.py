"""Scripts of a fleet's bad day: members, links, faults between them, and what must hold at the end."""

from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from quincepath.config.schema import MS, SECOND, Model, Name
from quincepath.config.values import Duration, Share
from quincepath.lab.fleet.loads import Expect, Load, Sections

KINDS = Literal[
    "kill", "pause", "starve", "cut", "split", "lose", "slow", "reorder", "duplicate", "replay", "clone",
    "leave", "drain", "join", "flap", "skew", "surge", "holders",
]  # fmt: skip
OF_LOAD = ("surge", "holders")  # over processes only: in virtual time a script plays the views alone
Some = Annotated[list[Name], Field(min_length=1)] | Literal["summers"] | Share


class Links(Model):
    """Every way from one member to another: ``delay`` at least, ``jitter`` on top on average."""

    delay: Duration = MS
    jitter: Duration = MS
    lose: Share = 0.0


class ViewEntry(Model):
    """Changes to how the view is kept; what is left out is the program's default."""

    period: Duration | None = None
    reclaim: Duration | None = None
    exchange: Duration | None = None
    local_health: bool = True
    told_first: bool = True
    shrinking: bool = True
    again: Duration | None = None
    recheck: Duration | None = None
    helpers: int | None = Field(None, ge=0, le=16)
    stream: bool = True

    def changes(self) -> dict[str, Any]:
        """By the names of the view's settings."""
        return {name: value for name, value in self.model_dump().items() if value is not None}


class FaultEntry(Model):
    """One fault. ``members``: names, or a share drawn by the seed. What else counts depends on the kind:

    kill (``back``: started again after ``last``, without memory), pause (SIGSTOP), starve (runs ``share`` of
    the time), cut (from ``members`` towards ``towards``: one way; ``both``: both ways), split (``sides``),
    lose and duplicate (``share`` of datagrams), slow (``by`` more), reorder (``share`` of them come ``by``
    later), replay (``share`` of the datagrams so far come again, after ``by``), clone (a second process of
    that name), leave (``back`` as with kill), drain, join (those that were ``absent``), flap (killed and
    started again every ``by``), skew (killed, and started again with a wall clock that is ``by`` ahead).
    ``members: summers`` are those who sum up the ledger at the beginning. lose, reorder and duplicate with
    ``of: ledger`` meet the ledger's datagrams only.

    Of the load: surge (``times`` the load, of ``tenant`` or of replica set ``set`` alone where given, at
    the brokers ``towards``), holders (``holders``, of ``set`` alone where given, are lost as ``how`` says:
    killed, stopped, or hung, which is that they take calls and answer none; after ``last`` they are back).
    """

    kind: KINDS
    at: Duration
    last: Duration = 5 * SECOND
    members: Some = 0.2
    towards: Some = 1.0
    both: bool = False
    back: bool = False
    share: Share = 0.3
    by: Duration = SECOND
    sides: list[list[Name]] = []
    of: Literal["all", "ledger"] = "all"
    times: float = Field(3.0, gt=1, le=1000)
    tenant: Name | None = None
    set: Name | None = None
    holders: Annotated[list[Name], Field(min_length=1)] | Share = 0.3
    how: Literal["kill", "stop", "hang"] = "kill"


class FleetScript(Model):
    """A whole bad day of a fleet. Members are b0, b1 and so on."""

    about: str
    seed: int = 1
    length: Duration = 30 * SECOND
    members: int = Field(ge=2, le=500)
    zones: list[Name] = ["upper", "lower"]
    absent: list[Name] = []  # not started at the beginning
    join: list[Name] = []  # asked first by those that join
    links: Links = Links()
    view: ViewEntry = ViewEntry()
    load: Load = Load()
    sections: Sections = Sections()
    keepers: Literal[0, 3, 5] = 0  # the first so many members, each with a store in the run's folder
    faults: list[FaultEntry] = []
    expect: Expect = Expect()

    @property
    def names(self) -> list[str]:
        """Of all members."""
        return [f"b{n}" for n in range(self.members)]

    @property
    def quiet_from(self) -> int:
        """When the last fault is over (ns of the day)."""
        ends = [entry.at + (entry.last if entry.kind not in ("leave", "join") or entry.back else 0)
                for entry in self.faults]  # fmt: skip
        return max(ends, default=0)

    @property
    def loud_from(self) -> int:
        """When the first fault begins (ns of the day)."""
        return min((entry.at for entry in self.faults), default=self.length)

    @model_validator(mode="after")
    def _sound(self) -> "FleetScript":
        known = set(self.names)
        lists: list[tuple[str, Any]] = [("absent", self.absent), ("join", self.join)]
        lists += [("load: at", self.load.at)]
        lists += [(f"load: tenants: {one.name}", one.at) for one in self.load.tenants]
        if self.keepers > self.members:
            raise ValueError(f"keepers is {self.keepers}: expected at most as many as members")
        for place, entry in enumerate(self.faults):
            where = f"faults[{place}] ({entry.kind})"
            lists += [(f"{where}: members", entry.members), (f"{where}: towards", entry.towards)]
            lists += [(f"{where}: sides", side) for side in entry.sides]
            if entry.at >= self.length:
                raise ValueError(f"{where}: begins at or after the end")
            if (entry.kind == "split") != bool(entry.sides):
                raise ValueError(f"{where}: expected sides with split, and with nothing else")
            if entry.kind == "join" and not (
                isinstance(entry.members, list) and set(entry.members) <= set(self.absent)
            ):
                raise ValueError(f"{where}: expected members that are absent at first")
            self._sound_of_load(where, entry)
        for where, given in lists:
            if isinstance(given, list) and not set(given) <= known:
                unknown = ", ".join(sorted(set(given) - known))
                raise ValueError(f"{where}: no {unknown}; there are b0 to b{self.members - 1}")
        if self.quiet_from + self.expect.settle > self.length:
            raise ValueError(
                f"the last fault ends at {self.quiet_from / SECOND:g} s: expected a length of at least "
                f"{(self.quiet_from + self.expect.settle) / SECOND:g} s, so that settling can be seen"
            )
        return self

    def _sound_of_load(self, where: str, entry: FaultEntry) -> None:
        tenants = [one.name for one in self.load.tenants]
        if entry.tenant is not None and entry.tenant not in tenants:
            raise ValueError(f"{where}: no tenant {entry.tenant!r}; there are {', '.join(tenants) or 'none'}")
        if entry.set is not None and entry.set not in self.load.groups:
            raise ValueError(f"{where}: no set {entry.set!r}; there are {', '.join(self.load.groups)}")
        if isinstance(entry.holders, list) and not set(entry.holders) <= set(self.load.holder_names):
            raise ValueError(f"{where}: holders: there are h0 to h{self.load.holders - 1}")
        if entry.kind != "surge" and entry.tenant is not None:
            raise ValueError(f"{where}: expected tenant with surge only")
        if entry.kind not in OF_LOAD and entry.set is not None:
            raise ValueError(f"{where}: expected set with surge and holders only")
