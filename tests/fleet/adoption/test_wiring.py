"""Three brokers over one log in virtual time: sample, verdict, five adoptions, rollback."""

import json
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from structlog.testing import CapturingLogger

from quincepath.cli import topology as commands
from quincepath.cli.main import main
from quincepath.config.load import ConfigError, parse
from quincepath.config.schema.holders import Shards
from quincepath.config.schema.topology import TopologyEntry
from quincepath.fleet.adoption import AdoptMap, AwayMap, BackMap, Map, MapCommand, ProposeMap
from quincepath.fleet.adoption.reports import REPORT_TTL_NS, Measurement
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.forecast import Environment, FigureKind, Sample, decode_record, forecast
from quincepath.fleet.permits import Permits, encode
from quincepath.fleet.topology import NS_PER_MS, AdoptionHooks, MapAdoption, configured_map
from quincepath.shards.versions import MapVersion
from tests.fleet.forecast.builders import sample

NAMES = ("m0", "m1", "m2")
SETS = {"h1": "g1", "h2": "g2"}
ENTRY = TopologyEntry.model_validate({"limits": [{"kind": "load", "most": 0.7}], "measure": "60s"})
SHARDS = Shards.model_validate(
    {
        "label": "district",
        "unlabelled": "nowhere",
        "map": [
            {"name": "s1", "values": ["a", "b"], "set": "g1"},
            {"name": "s2", "values": ["c"], "set": "g2"},
        ],
    }
)
SAMPLE = sample([{"times": 900, "parts": [["a"]]}, {"times": 900, "parts": [["b"], ["c"]]}], span=60)


def moved(number: int) -> Map:
    """Value b moves to the other set and back, alternately, with new shard names each time."""
    here, there = (("a",), ("b", "c")) if number % 2 == 0 else (("a", "b"), ("c",))
    return Map("district", ((f"s1-{number}", "g1", here), (f"s2-{number}", "g2", there)), False)


class Fleet:
    """A log that all brokers apply at once and reports that all receive; ``m0`` leads. Times in ns."""

    def __init__(self, heard: int = 3, found: Sample | None = SAMPLE) -> None:
        self.now, self.count = SAMPLE.until, 0
        self.beliefs: dict[str, str] = {}
        self.proved: dict[str, tuple[str, ...]] = {}
        self.measured: Measurement | None = None
        self.stages: dict[str, bool] = dict.fromkeys(NAMES, True)
        self.silent: set[str] = set()
        self.maps = {}
        for name in NAMES:
            ports = AdoptionHooks(
                lambda: NAMES, lambda: self.beliefs, list, lambda: SETS,
                lambda: None if found is None else (found, heard),
                partial(self.ready, name), lambda: self.proved, lambda: self.measured,
            )  # fmt: skip
            log: Any = CapturingLogger()
            self.maps[name] = MapAdoption(name, 1, configured_map(SHARDS), ENTRY, Permits(), ports, log)
            self.maps[name].on_log_read()

    @property
    def leader(self) -> MapAdoption:
        return self.maps["m0"]

    @property
    def wall(self) -> int:
        return self.now // NS_PER_MS

    def ready(self, name: str, version: MapVersion) -> bool:
        return self.stages[name]

    def put(self, command: MapCommand) -> str:
        self.count += 1
        command, why = self.leader.prepare_command(command, self.now, self.wall)
        if why:
            return why
        for maps in self.maps.values():
            maps.machine.apply(Entry(self.count, 1, encode(command)))
            maps.on_applied()
        return self.leader.machine.state.results[command.id]

    def do(self, kind: type[Any], *more: Any, **fields: Any) -> str:
        return self.put(kind(f"{kind.__name__}{self.count}", "ann", self.wall, *more, **fields))

    def tick(self, seconds: float = 0.5) -> MapCommand | None:
        """Delivers reports, then runs the leader's next step."""
        self.now += int(seconds * 1e9)
        for name, maps in self.maps.items():
            said = None if name in self.silent else maps.report(self.now)
            if said is not None:
                for other in self.maps.values():
                    other.reports.receive(name, self.now, said)
        step = self.leader.next_command(self.now, self.wall)
        if step is not None:
            assert self.put(step) == ""
        return step

    def status(self) -> dict[str, Any]:
        return self.leader.status(self.now, self.wall, True, "m0")

    def forecast_of(self, version: MapVersion, old: MapVersion) -> Measurement:
        world = Environment(dict.fromkeys(SETS.values(), 1), 1, 3, 3)
        found = forecast(SAMPLE, old, version, world)
        return tuple((kind.value, where, float(one.value)) for (kind, where), one in found.figures.items())


def adopted(fleet: Fleet, number: int) -> None:
    old = fleet.leader.topology.version(fleet.leader.topology.used) or fleet.leader.configured
    assert fleet.do(ProposeMap, moved(number)) == ""
    assert fleet.status()["verdict"]["answer"] == "accept", fleet.status()["verdict"]
    assert fleet.do(AdoptMap) == ""
    assert fleet.tick() is None
    set_number = "2" if number % 2 == 0 else "1"
    assert fleet.status()["waits_for"] == {
        f"h{set_number}": f"has not proved that it has s{set_number}-{number}"
    }
    fleet.proved = {f"h{set_number}": (f"s{set_number}-{number}",)}
    assert fleet.tick() is not None
    assert fleet.status()["step"] == "measuring" and fleet.status()["in_use"] == number
    new = fleet.leader.topology.version(number)
    assert new is not None
    fleet.measured = fleet.forecast_of(new, old)


def test_five_adoptions_measured_against_their_forecast() -> None:
    fleet = Fleet()
    for number in range(2, 7):
        adopted(fleet, number)
        assert fleet.tick(59) is None  # less than the measured minute
        assert fleet.tick(1) is not None
        assert fleet.status()["step"] == "none"
        assert fleet.status()["adoptions"] == number - 1
    assert {maps.follower.usage() for maps in fleet.maps.values()} == {(6, 0)}
    ratios = decode_record(fleet.leader.topology.record).ratios
    assert {len(kept) for kept in ratios.values()} == {5} and set(ratios) >= {"load", "calls", "parts"}
    assert len({maps.machine.dump() for maps in fleet.maps.values()}) == 1


def test_deviation_halts_and_rollback_is_staged_again() -> None:
    fleet = Fleet()
    adopted(fleet, 2)
    assert fleet.measured is not None
    fleet.measured = tuple((k, w, v * 3 if k == FigureKind.LOAD else v) for k, w, v in fleet.measured)
    fleet.tick(60)
    assert fleet.status()["step"] == "halted" and "load of g" in fleet.status()["halted"]
    assert "measured differs" in fleet.do(ProposeMap, moved(3))
    fleet.stages["m1"] = False
    assert fleet.do(BackMap) == ""
    assert fleet.tick() is None
    assert fleet.status()["waits_for"]["m1"] == "has not staged it"
    fleet.stages["m1"] = True
    fleet.maps["m1"].on_applied()
    fleet.proved = {"h1": ("s1",), "h2": ("s2",)}
    assert fleet.tick() is not None
    assert (fleet.status()["step"], fleet.status()["in_use"], fleet.status()["halted"]) == ("none", 3, "")
    assert {maps.follower.usage() for maps in fleet.maps.values()} == {(3, 0)}


def test_silent_broker_is_named_and_blocks_the_step() -> None:
    fleet = Fleet()
    fleet.proved = {"h1": ("s1-2",), "h2": ("s2-2",)}
    assert fleet.do(ProposeMap, moved(2)) == "" and fleet.do(AdoptMap) == ""
    fleet.silent = {"m2"}
    for _ in range(100):
        assert fleet.tick(10) is None
    assert fleet.status()["waits_for"] == {"m2": "has not reported"}
    assert fleet.do(AwayMap, "m2") == "m2 is believed alive: it must be believed dead or left"
    fleet.beliefs["m2"] = "dead"
    assert fleet.tick() is None  # the belief alone does not release the step
    assert fleet.do(AwayMap, "m2") == ""
    assert fleet.tick() is not None
    assert fleet.status()["away"] == {"m2": "dead, ann"}


def test_expired_reports_do_not_count() -> None:
    fleet = Fleet()
    assert fleet.do(ProposeMap, moved(2)) == "" and fleet.do(AdoptMap) == ""
    assert fleet.tick() is None
    fleet.silent = {"m2"}
    fleet.proved = {"h2": ("s2-2",)}
    assert fleet.tick(REPORT_TTL_NS / 1e9 + 0.1) is None
    assert fleet.status()["waits_for"] == {"m2": "reports no more"}


def test_without_sample_not_known_and_without_front_nothing_staged() -> None:
    fleet = Fleet(found=None)
    assert fleet.do(ProposeMap, moved(2)) == ""
    assert fleet.do(AdoptMap) == "not known: no broker's footprints are here"
    fleet = Fleet(heard=2)
    assert fleet.do(ProposeMap, moved(2)) == ""
    assert fleet.do(AdoptMap).startswith("not known: too many brokers unheard: 1 of 3")
    maps = MapAdoption(
        "m0",
        1,
        configured_map(SHARDS),
        ENTRY,
        Fleet().leader.machine,
        AdoptionHooks(tuple, dict),
        CapturingLogger(),
    )
    maps.on_applied()
    assert maps.follower.staged == {} and maps.report(0) is None


def test_replica_set_without_holder_is_named() -> None:
    fleet = Fleet()
    more = Map("district", (("s1", "g1", ("a", "b")), ("s9", "g9", ("c",))), False)
    assert fleet.do(ProposeMap, more) == ""
    assert fleet.do(AdoptMap) == "replica set 'g9' of version 2 has no holder"


# --- the command line ---


def test_proposed_file_is_parsed_like_the_configuration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[Any] = []
    monkeypatch.setattr(commands, "send_command", lambda *given: sent.append(given))
    path = tmp_path / "map.yaml"
    path.write_text("shards:\n  label: district\n  map:\n  - {name: s1, values: [a], set: g1}\n")
    result = CliRunner().invoke(
        main, ["fleet", "topology", "propose", str(path), "--at", "http://127.0.0.1:1", "--by", "ann"]
    )
    assert result.exit_code == 0, result.output
    ((at, what, names, by, why, _key, more),) = sent
    assert (what, names, by, why, more["may_lose"]) == ("propose", (), "ann", "", [])
    assert more["map"] == ["district", [["s1", "g1", ["a"]]], True]
    path.write_text("shards:\n  label: district\n")
    result = CliRunner().invoke(main, ["fleet", "topology", "propose", str(path), "--at", "127.0.0.1:1"])
    assert result.exit_code == 1 and "shards.map" in result.output


def test_status_shows_the_verdict_and_whom_it_waits_for(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet()
    fleet.do(ProposeMap, moved(2))
    fleet.do(AdoptMap)
    fleet.tick()
    monkeypatch.setattr(commands, "fetch_page", lambda at, path: json.loads(json.dumps(fleet.status())))
    result = CliRunner().invoke(main, ["fleet", "topology", "status", "--at", "x"])
    assert result.exit_code == 3, result.output
    assert "version 1 in use, version 2 proposed by ann; step: staging" in result.output
    assert "verdict: accept (1800 footprints, 3 of 3 brokers heard)" in result.output
    assert "has not proved that it has s2-2" in result.output
    result = CliRunner().invoke(main, ["fleet", "topology", "status", "--at", "x", "--json"])
    assert json.loads(result.output)["proposed"] == 2


def test_topology_section_requires_voters() -> None:
    from quincepath.config.schema.fleet import FleetEntry

    text = "name: orchard\nmember: m0\npeers: []\ntopology: {limits: [{kind: load, most: 0.7}]}\n"
    with pytest.raises(ConfigError, match="topology: expected keepers beside it"):
        parse(text, FleetEntry, "fleet")
