"""Names are compared as given: what one customer calls a thing never reaches another's, nor the settings."""

import json
from typing import Any

import pytest

from quincepath.platform.config import ConfigError, Configuration, read_configuration
from quincepath.platform.targets import Target, TargetList, TargetTable
from tests.platform.test_turns import Seen
from tests.standins.platform import SECOND, Client, World, site

# Two by two alike but for a character that the simulator's paths do not spell.
CLASSES = ["a b", "a_b", "a,b", "a", "a/b", "K\u00fcste", "K\u00c3\u00bcste2", "\u6e2f"]
TENANTS = ["x y", "x_y", "x,y", "x", "100%", "\u00c5s", "\u00c3\u0085s2"]
LINES = ["\n", "\r", "\x0b", "\x1e", "\x85", "\u2028"]  # what ends a line where text is split into lines


def read(**changes: Any) -> Configuration:
    told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": site(**changes)}
    return read_configuration(json.dumps(told).encode(), {})


def world() -> World:
    base = site()["classes"][1]
    classes = [{**base, "name": name} for name in CLASSES]
    needs = {**site()["specifics"], "needByClass": [1] * len(CLASSES)}
    return World(Seen, classes=classes, specifics=needs, tenants=[{"name": name} for name in TENANTS])


def places(world: World) -> list[tuple[int, int]]:
    module = world.broker.driver.module
    assert isinstance(module, Seen)
    return [(one.kind, one.tenant) for one in module.told_of]


def wire(name: str, code: str) -> str:
    """A name as it stands in a head, which is bytes."""
    return name.encode(code).decode("latin-1")


def escaped(name: str) -> str:
    return "".join(f"%{byte:02X}" for byte in name.encode())


@pytest.mark.parametrize("name", CLASSES)
def test_a_class_is_found_by_its_own_name_in_the_header_and_the_path(name: str) -> None:
    broker = world()
    kind, at = wire(name, "utf-8"), CLASSES.index(name)
    paths = [f"/{escaped(name)}", f"/{escaped(name)}/more"]
    if name.isascii() and " " not in name:  # a target holds nothing else
        paths.append(f"/{kind}")
    for path in paths:
        assert broker.ask(kind, (0, 1), path=path, Req_Owner="x").status == 200
    assert places(broker) == [(at, 3)] * len(paths)
    assert broker.ask(kind, (0, 1), path="/other", Req_Owner="x").status == 404


@pytest.mark.parametrize("name", TENANTS)
def test_a_tenant_is_found_by_its_own_name(name: str) -> None:
    broker = world()
    assert broker.ask("a", (0, 1), Req_Owner=wire(name, "utf-8")).status == 200
    assert places(broker) == [(3, TENANTS.index(name))]


def test_names_in_latin_1_are_found_where_no_name_is_meant_in_utf_8() -> None:
    broker = world()
    assert broker.ask("K\u00fcste", (0, 1), path="/K%FCste", Req_Owner="\u00c5s").status == 200
    assert places(broker) == [(CLASSES.index("K\u00fcste"), TENANTS.index("\u00c5s"))]


@pytest.mark.parametrize("key", ["zone", "kind"])
def test_zones_and_kinds_keep_their_places(key: str) -> None:
    names = ["", "a b", "a_b", "a,b", "c"]
    config = read(zones=names, kinds=names)
    targets = TargetTable(config.site.zones, config.site.kinds)
    servers = [Target(f"s-{at}", "SERVING", "127.0.0.1:9", name, name) for at, name in enumerate(names)]
    news = targets.apply(SECOND, 0.0, TargetList(1, True, servers))
    assert news is not None and [getattr(entry, key) for entry in news.entries] == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("line", LINES, ids=[f"{ord(line):02x}" for line in LINES])
@pytest.mark.parametrize("key", ["tenants", "zones", "name"])
def test_no_name_can_set_another_setting(key: str, line: str) -> None:
    name = f"x{line}specifics.secondStep=5,5,5"
    classes = [{**one, "name": f"{at}{name}"} for at, one in enumerate(site()["classes"])]
    change = {"tenants": [{"name": name}], "zones": [name], "name": classes}[key]
    config = read(**{"classes" if key == "name" else key: change})
    assert [one.second_step for one in config.settings.classes] == [0, 0, 0]
    found = {"tenants": config.site.tenants, "zones": config.site.zones, "name": config.site.classes}[key]
    assert found[0].endswith(name)


@pytest.mark.parametrize("key", ["classes", "tenants"])
@pytest.mark.parametrize("other", ["acme", " acme", "acme\t"])
def test_two_names_that_a_header_cannot_tell_apart_are_refused_by_place_and_value(
    key: str, other: str
) -> None:
    items = [{**site()[key][0], "name": name} for name in ("acme", other)]
    with pytest.raises(ConfigError) as caught:
        read(**{key: items})
    text = str(caught.value)
    assert f"{key}.1.name" in text and repr(other) in text and "was expected" in text and "\n" not in text


@pytest.mark.parametrize(
    ("change", "place", "value", "wanted"),
    [
        ({"tick": "soon"}, "tick", "'soon'", "a whole number"),
        ({"zones": ["a", 7]}, "zones.1", "7", "a name"),
        ({"tenants": [{"name": 7}]}, "tenants.0.name", "7", "a name"),
        ({"limits": {**site()["limits"], "mayCancel": "yes"}}, "limits.mayCancel", "'yes'", "true or false"),
        ({"rules": {**site()["rules"], "coldShare": "x"}}, "rules.coldShare", "'x'", "a number"),
        ({"classes": [{**site()["classes"][0], "effect": "2"}]}, "classes.0.effect", "'2'", "read_like"),
    ],
)  # fmt: skip
def test_a_bad_setting_is_told_by_place_value_and_what_was_expected(
    change: dict[str, Any], place: str, value: str, wanted: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        read(**change)
    text = str(caught.value)
    assert place in text and value in text and wanted in text and "was expected" in text


def test_a_second_request_with_the_id_of_an_open_one_takes_nothing_from_the_first() -> None:
    """Ids are new on every request, and parts are named by them at the nodes: two alike cannot be open."""
    broker = World()
    first, second = Client(broker), Client(broker)
    first.stream.write(broker.request("all", (0, 1), Req_Id="same", Req_Owner="acme"))
    second.stream.write(broker.request("all", (2, 3), Req_Id="same", Req_Owner="some farm"))
    assert broker.until(lambda: first.status > 0 and second.status > 0)
    assert sorted((first.status, second.status)) == [200, 409]
    answered = first if first.status == 200 else second
    assert len(answered.answer["answers"]) == 2
