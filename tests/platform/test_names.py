"""Names are compared as given: one customer's name never matches another's, nor alters the settings."""

import json
from typing import Any

import pytest

from quincepath.platform.config import ConfigError, Configuration, read_configuration
from quincepath.platform.targets import Target, TargetList, TargetTable
from tests.platform.test_turns import QueryRecorder
from tests.standins.platform import SECOND, Client, PlatformHarness, platform_settings

# Pairs that differ only in a character that flattened settings do not preserve.
CLASSES = ["a b", "a_b", "a,b", "a", "a/b", "K\u00fcste", "K\u00c3\u00bcste2", "\u6e2f"]
TENANTS = ["x y", "x_y", "x,y", "x", "100%", "\u00c5s", "\u00c3\u0085s2"]
LINE_SEPARATORS = ["\n", "\r", "\x0b", "\x1e", "\x85", "\u2028"]  # some line separators of str.splitlines


def read(**changes: Any) -> Configuration:
    document = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": platform_settings(**changes),
    }
    return read_configuration(json.dumps(document).encode(), {})


def make_harness() -> PlatformHarness:
    base = platform_settings()["classes"][1]
    classes = [{**base, "name": name} for name in CLASSES]
    needs = {**platform_settings()["specifics"], "needByClass": [1] * len(CLASSES)}
    return PlatformHarness(
        QueryRecorder, classes=classes, specifics=needs, tenants=[{"name": name} for name in TENANTS]
    )


def module_indexes(harness: PlatformHarness) -> list[tuple[int, int]]:
    module = harness.broker.driver.module
    assert isinstance(module, QueryRecorder)
    return [(one.kind, one.tenant) for one in module.recorded_queries]


def header_text(name: str, encoding: str) -> str:
    """A name as the bytes of a header, in this encoding."""
    return name.encode(encoding).decode("latin-1")


def escaped(name: str) -> str:
    return "".join(f"%{byte:02X}" for byte in name.encode())


@pytest.mark.parametrize("name", CLASSES)
def test_a_class_is_found_by_its_own_name_in_the_header_and_the_path(name: str) -> None:
    harness = make_harness()
    kind, at = header_text(name, "utf-8"), CLASSES.index(name)
    paths = [f"/{escaped(name)}", f"/{escaped(name)}/more"]
    if name.isascii() and " " not in name:  # other names are not allowed in a request target
        paths.append(f"/{kind}")
    for path in paths:
        assert harness.ask(kind, (0, 1), path=path, Req_Owner="x").status == 200
    assert module_indexes(harness) == [(at, 3)] * len(paths)
    assert harness.ask(kind, (0, 1), path="/other", Req_Owner="x").status == 404


@pytest.mark.parametrize("name", TENANTS)
def test_a_tenant_is_found_by_its_own_name(name: str) -> None:
    harness = make_harness()
    assert harness.ask("a", (0, 1), Req_Owner=header_text(name, "utf-8")).status == 200
    assert module_indexes(harness) == [(3, TENANTS.index(name))]


def test_a_latin_1_name_is_found_where_no_name_matches_as_utf_8() -> None:
    harness = make_harness()
    assert harness.ask("K\u00fcste", (0, 1), path="/K%FCste", Req_Owner="\u00c5s").status == 200
    assert module_indexes(harness) == [(CLASSES.index("K\u00fcste"), TENANTS.index("\u00c5s"))]


@pytest.mark.parametrize("key", ["zone", "kind"])
def test_zones_and_kinds_keep_their_indexes(key: str) -> None:
    names = ["", "a b", "a_b", "a,b", "c"]
    config = read(zones=names, kinds=names)
    targets = TargetTable(config.site.zones, config.site.kinds)
    servers = [Target(f"s-{at}", "SERVING", "127.0.0.1:9", name, name) for at, name in enumerate(names)]
    members = targets.apply(SECOND, 0.0, TargetList(1, True, servers))
    assert members is not None and [getattr(entry, key) for entry in members.entries] == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("line", LINE_SEPARATORS, ids=[f"{ord(line):02x}" for line in LINE_SEPARATORS])
@pytest.mark.parametrize("key", ["tenants", "zones", "name"])
def test_a_name_cannot_set_another_setting(key: str, line: str) -> None:
    name = f"x{line}specifics.secondStep=5,5,5"
    classes = [{**one, "name": f"{at}{name}"} for at, one in enumerate(platform_settings()["classes"])]
    change = {"tenants": [{"name": name}], "zones": [name], "name": classes}[key]
    config = read(**{"classes" if key == "name" else key: change})
    assert [one.second_step for one in config.settings.classes] == [0, 0, 0]
    found = {"tenants": config.site.tenants, "zones": config.site.zones, "name": config.site.classes}[key]
    assert found[0].endswith(name)


@pytest.mark.parametrize("key", ["classes", "tenants"])
@pytest.mark.parametrize("other", ["acme", " acme", "acme\t"])
def test_names_that_a_header_cannot_distinguish_are_rejected_with_path_and_value(
    key: str, other: str
) -> None:
    items = [{**platform_settings()[key][0], "name": name} for name in ("acme", other)]
    with pytest.raises(ConfigError) as caught:
        read(**{key: items})
    text = str(caught.value)
    assert f"{key}.1.name" in text and repr(other) in text and "was expected" in text and "\n" not in text


@pytest.mark.parametrize(
    ("change", "path", "value", "expected"),
    [
        ({"tick": "soon"}, "tick", "'soon'", "a whole number"),
        ({"zones": ["a", 7]}, "zones.1", "7", "a name"),
        ({"tenants": [{"name": 7}]}, "tenants.0.name", "7", "a name"),
        (
            {"limits": {**platform_settings()["limits"], "mayCancel": "yes"}},
            "limits.mayCancel", "'yes'", "true or false",
        ),
        ({"rules": {**platform_settings()["rules"], "coldShare": "x"}}, "rules.coldShare", "'x'", "a number"),
        (
            {"classes": [{**platform_settings()["classes"][0], "effect": "2"}]},
            "classes.0.effect", "'2'", "read_like",
        ),
    ],
)  # fmt: skip
def test_an_invalid_setting_is_reported_with_path_value_and_expectation(
    change: dict[str, Any], path: str, value: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        read(**change)
    text = str(caught.value)
    assert path in text and value in text and expected in text and "was expected" in text


def test_a_second_request_with_the_id_of_an_open_one_does_not_affect_the_first() -> None:
    """Every request has a new id, which names its parts at the nodes, so two open ones cannot share one."""
    harness = PlatformHarness()
    first, second = Client(harness), Client(harness)
    first.stream.write(harness.request("all", (0, 1), Req_Id="same", Req_Owner="acme"))
    second.stream.write(harness.request("all", (2, 3), Req_Id="same", Req_Owner="some farm"))
    assert harness.run_until(lambda: first.status > 0 and second.status > 0)
    assert sorted((first.status, second.status)) == [200, 409]
    answered = first if first.status == 200 else second
    assert len(answered.answer["answers"]) == 2
