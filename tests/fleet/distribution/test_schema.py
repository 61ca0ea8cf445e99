"""The section that lists relays: wrong values are reported by place, and without it nothing is loaded."""

import subprocess
import sys
from pathlib import Path

import pytest

from quincepath.config.load import ConfigError, parse
from quincepath.config.schema import Config
from tests.test_config import VALID_CONFIG
from tests.test_fleet_processes import FLEET

KEEPERS = "  keepers: [b0, b1, b2]\n  store: s\n"
SECTION = """\
  configuration:
    region: east
    relays:
      - {name: b1, region: east}
      - {name: b0, region: east}
"""


def test_relays_may_be_peers_and_this_member() -> None:
    found = parse(VALID_CONFIG + FLEET + KEEPERS + SECTION, Config, "f.yaml")
    assert found.fleet is not None and found.fleet.configuration is not None
    assert [relay.name for relay in found.fleet.configuration.relays] == ["b1", "b0"]


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("name: b0, region: east", "name: b1, region: east", "relays: 'b1' is listed twice"),
        ("name: b0, region: east", "name: b7, region: west", "configuration.relays: 'b7' is neither"),
        ("name: b0, region: east", "name: b0", "relays[1].region: missing"),
        ("name: b0, region: east", "name: 'b 0', region: west", "relays[1].name is 'b 0'"),
        ("    region: east\n", "", "fleet.configuration.region: missing"),
        ("    region: east\n", "    region: east\n    voters: 3\n", "configuration.voters is 3: unknown key"),
        ("name: b0, region: east", "name: b0, region: west", "region: 'east'; expected 'west', as relays"),
        (KEEPERS, "", "configuration: expected keepers beside it"),
    ],
)
def test_a_wrong_section_is_refused_with_place_and_value(old: str, new: str, said: str) -> None:
    text = VALID_CONFIG + FLEET + KEEPERS + SECTION
    assert old in text
    with pytest.raises(ConfigError) as error:
        parse(text.replace(old, new), Config, "f.yaml")
    assert said in str(error.value) and "f.yaml:" in str(error.value)


@pytest.mark.parametrize("count", [0, 101])
def test_no_relay_or_more_than_a_hundred_are_refused(count: int) -> None:
    relays = "".join(f"      - {{name: r{number}, region: east}}\n" for number in range(count))
    section = "  configuration:\n    region: east\n    relays:" + (f"\n{relays}" if count else " []\n")
    with pytest.raises(ConfigError, match="at (least 1|most 100) item"):
        parse(VALID_CONFIG + FLEET + KEEPERS + section, Config, "f.yaml")


def _loaded(section: str, folder: str) -> list[str]:
    """Modules of the distribution that a broker with this section loads."""
    script = (
        "import sys\n"
        "from pathlib import Path\n"
        "from quincepath.broker.service import Broker\n"
        "from quincepath.config.load import parse\n"
        "from quincepath.config.schema import Config\n"
        "from quincepath.net.loop import Loop\n"
        f"config = parse({VALID_CONFIG + FLEET + KEEPERS + section!r}, Config, 'f')\n"
        f"broker = Broker(config, Loop(), Path({folder!r}))\n"
        "broker.close()\n"
        "ours = ('quincepath.fleet.distribution', 'quincepath.fleet.configuration_requests',\n"
        "        'quincepath.fleet.configuration.relay', 'quincepath.fleet.configuration.subscriber')\n"
        "print(*[module for module in ours if module in sys.modules])"
    )
    run = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    return run.stdout.splitlines()[-1].split()


def test_without_the_section_no_relay_and_no_subscriber_is_loaded(tmp_path: Path) -> None:
    off, on = tmp_path / "off", tmp_path / "on"
    off.mkdir()
    on.mkdir()
    assert _loaded("", str(off)) == []
    assert len(_loaded(SECTION, str(on))) == 4


def test_the_platform_loads_nothing_of_the_distribution() -> None:
    script = (
        "import sys\n"
        "import quincepath.platform.__main__\n"
        "print([m for m in sys.modules if m.startswith(('quincepath.fleet', 'quincepath.config'))])"
    )
    run = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert run.stdout.splitlines()[-1] == "[]"
