"""Configuration errors name file, line, path, value and what was expected; an invalid roster is ignored."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from quincepath.broker.service import Broker
from quincepath.cli.main import main
from quincepath.config.load import ConfigError, load, parse
from quincepath.config.schema import Config, module_settings
from quincepath.config.values import parse_duration, parse_share, parse_size
from quincepath.interface import Phase, Scope
from quincepath.membership.state import HolderInfo, MembershipState
from quincepath.net.loop import Loop

VALID_CONFIG = """\
shards:
  label: district
  map:
    - {name: s0, values: [north.example.org]}
    - {name: s1, values: [south.example.org]}
holders:
  - {name: h0, url: "http://127.0.0.1:9001/api/v1/read", shards: [s0]}
  - {name: h1, url: "http://127.0.0.1:9002/api/v1/read", shards: [s1]}
classes:
  - name: report
    target: 2s
    deadline: 5s
    need: 60%
rules:
  drain_grace: 250ms
"""


def test_a_valid_file_is_parsed_with_units() -> None:
    config = parse(VALID_CONFIG, Config, "f.yaml")
    assert config.rules.drain_grace == 250_000_000
    assert config.classes[0].need == 0.6
    settings = module_settings(config)
    assert settings.cells == 2 and settings.classes[0].floor == 0.6


@pytest.mark.parametrize(
    ("old", "new", "wanted"),
    [
        (
            "drain_grace: 250ms",
            "drain_grace: 250",
            "f.yaml:15: rules.drain_grace is 250: expected a duration",
        ),
        ("drain_grace: 250ms", "drain_grase: 250ms", "f.yaml:15: rules.drain_grase is '250ms': unknown key"),
        ("need: 60%", "need: 160%", "f.yaml:13: classes[0].need is '160%': expected a share"),
        ("    target: 2s\n", "", "f.yaml:10: classes[0].target: missing"),
        ("target: 2s", "target: 9s", "f.yaml:10: classes[0]: expected 0 < target <= deadline"),
        (
            "http://127.0.0.1:9002/",
            "ftp://x/",
            "f.yaml:8: holders[1].url is 'ftp://x/api/v1/read': expected http",
        ),
        ("127.0.0.1:9002", "localhost:9002", "names are not resolved here"),
        ("9002", "9001", "holders 'h0' and 'h1' share the address 127.0.0.1:9001"),
        ("shards: [s1]", "shards: [s0, s1]", "holder 'h1' has shards s0+s1; expected a whole set: s0 or s1"),
        ("[south.example.org]", "[north.example.org]", "'north.example.org' is in shards 's0' and 's1'"),
        ("rules:", "rules: [", "f.yaml:16: not YAML"),
        ("need: 60%", "need: 60%\n    need: 50%", "f.yaml:14: not YAML: found duplicate key"),
    ],
)
def test_errors_name_location_value_and_what_was_expected(old: str, new: str, wanted: str) -> None:
    assert old in VALID_CONFIG
    with pytest.raises(ConfigError) as caught:
        parse(VALID_CONFIG.replace(old, new), Config, "f.yaml")
    assert wanted in str(caught.value)


def test_check_prints_all_errors_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "b.yaml"
    path.write_text(
        VALID_CONFIG.replace("250ms", "soon").replace("60%", "much").replace("target: 2s", "target: 2")
    )
    run = CliRunner().invoke(main, ["check", str(path)])
    assert run.exit_code == 2
    assert [line.split(":")[1] for line in run.stderr.splitlines()] == ["11", "13", "15"]
    path.write_text(VALID_CONFIG)
    assert CliRunner().invoke(main, ["check", str(path)]).exit_code == 0
    assert CliRunner().invoke(main, ["check", str(tmp_path / "none.yaml")]).exit_code == 2


@pytest.mark.parametrize(
    ("parse_value", "good", "bad"),
    [
        (
            parse_duration,
            {"250ms": 250_000_000, "1.5s": 1_500_000_000, 0: 0},
            ["250", "-1s", 3, "1 year", True],
        ),
        (parse_size, {"8MiB": 8 << 20, "1kB": 1000}, ["8", 8, "8 apples", "-1B"]),
        (parse_share, {"60%": 0.6, 0.25: 0.25, 1: 1.0}, ["160%", -0.1, "x", True, None]),
    ],
)
def test_parsing_of_values(parse_value: Callable[[Any], Any], good: dict[Any, Any], bad: list[Any]) -> None:
    assert {text: parse_value(text) for text in good} == good
    for text in bad:
        with pytest.raises(ValueError, match="expected"):
            parse_value(text)


def holder_info(name: str, phase: Phase = Phase.READY, since: int = 0, port: int = 80) -> HolderInfo:
    return HolderInfo(name, bytes((127, 0, 0, 1)) + port.to_bytes(2), "/", 0, 0, ("s0",), phase, since)


def test_membership_updates_contain_changed_and_removed_holders() -> None:
    state = MembershipState()
    update, _ = state.apply_list([holder_info("a"), holder_info("b", port=81)])
    assert update is not None and update.scope is Scope.CACHED and len(update.entries) == 2
    assert state.apply_list([holder_info("a"), holder_info("b", port=81)]) == (None, [])
    update, changes = state.apply_list([holder_info("a", Phase.DRAINING)])
    assert update is not None and update.scope is Scope.DELTA
    assert [entry.phase for entry in update.entries] == [Phase.DRAINING, Phase.GONE]
    assert [(change.name, change.description) for change in changes] == [
        ("a", "ready -> draining"), ("b", "removed from the list"),
    ]  # fmt: skip
    assert state.address(holder_info("b", port=81).node) is None


def test_a_slightly_shifted_start_time_is_not_a_restart() -> None:
    state = MembershipState()
    state.apply_list([holder_info("a", since=50_000_000_000)])
    assert state.apply_list([holder_info("a", since=50_400_000_000)]) == (None, [])
    update, changes = state.apply_list([holder_info("a", since=60_000_000_000)])
    assert update is not None and changes[0].description == "restarted"


ROSTER = """\
version: 1
holders:
  - {name: h0, url: "http://127.0.0.1:9001/api/v1/read", shards: [s0]}
  - {name: h1, url: "http://127.0.0.1:9002/api/v1/read", shards: [s1]}
"""


def test_an_invalid_roster_changes_nothing_and_is_counted(tmp_path: Path) -> None:
    before_holders, _, after_holders = VALID_CONFIG.partition("holders:")
    text = before_holders + "roster: r.yaml\nclasses:" + after_holders.partition("classes:")[2]
    (tmp_path / "b.yaml").write_text(text)
    (tmp_path / "r.yaml").write_text(ROSTER)
    loop = Loop()
    broker = Broker(load(tmp_path / "b.yaml", Config), loop, tmp_path)
    loop.turn(0)
    assert len(broker.holders.source.state.holders) == 2
    for invalid in ("version: [", ROSTER.replace("[s1]", "[s7]"), ROSTER.replace("holders", "holder")):
        (tmp_path / "r.yaml").write_text(invalid)
        broker.read_list(force=True)
        assert len(broker.holders.source.state.holders) == 2 and broker.holders.source.errors
    assert broker.holders.source.errors == 3
    (tmp_path / "r.yaml").write_text(ROSTER.replace("shards: [s1]", "shards: [s1], phase: draining"))
    broker.read_list()
    phases = [info.phase for info in broker.holders.source.state.holders.values()]
    assert phases == [Phase.READY, Phase.DRAINING]
    broker.close()
    loop.close()
