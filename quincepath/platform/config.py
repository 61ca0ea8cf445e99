"""What the platform tells a broker at its start: environment and JSON file in, plain values out. Pure.

The nested settings are turned into the paths that ``read_settings`` knows, so that the module is told the
same here as on the simulator's wire. Every error names the variable or key, the value, and what was expected.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from quincepath.interface import Settings
from quincepath.platform.targets import TargetList
from quincepath.settings import Reader, SettingsError, read_settings

Address = tuple[str, int]
CONFIG_VARIABLE = "BALANCER_CONFIG"
FALLBACK_VARIABLES = {"listen": "BALANCER_LISTEN", "discovery": "BALANCER_DISCOVERY", "name": "BALANCER_NAME"}

HEADER_BLANKS = " \t"  # around a header's value these say nothing


class ConfigError(ValueError):
    """A variable or key is missing or unreadable; the text is one line."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the process may use: share of a core, megabytes, descriptors."""

    cores: float = 1.0
    memory_mb: float = 1024.0
    sockets: int = 1024


class _File(msgspec.Struct, frozen=True):
    settings: dict[str, Any] = {}
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: ProcessLimits = ProcessLimits()
    known: TargetList | None = None


@dataclass(slots=True, frozen=True)
class SiteSettings:
    """Names and figures of the settings that the broker needs and the module does not; times in ns."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    shards: int
    max_open: int
    max_streams: int
    drain_grace: int
    pull_discovery: bool
    report_fields: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Configuration:
    """All that a broker is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: ProcessLimits
    known: TargetList | None
    settings: Settings
    site: SiteSettings


def plain(text: str) -> str:
    """A value as the paths spell it: without commas, spaces and whatever else could end a line."""
    return "_".join(text.replace(",", " ").split())


def _scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))  # JSON writes 5e6 for a whole number, too
    return plain(str(value))


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """``path=value`` lines of nested settings, as the simulator writes them."""
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list):
        if any(isinstance(item, Mapping) for item in value):
            yield f"{path}.count={len(value)}"
            for index, item in enumerate(value):
                yield from flatten(item, f"{path}.{index}")
        else:
            yield f"{path}={','.join(_scalar(item) for item in value)}"
    elif value is not None:
        yield f"{path}={_scalar(value)}"


def read_address(text: str, where: str) -> Address:
    """``host:port``; ``where`` names the variable or key."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{where}: {text!r} is not an address, host:port was expected")
    return host, int(port)


def _text(value: Any, where: str) -> str:
    if not isinstance(value, str):
        raise SettingsError(f"setting {where}: {value!r}, a name in quotes was expected")
    return value


def _names(settings: Mapping[str, Any], path: str) -> tuple[str, ...]:
    """A list of names, as given: positions count, an empty one too. Taken as the simulator spells it, too."""
    value: Any = settings
    for key in path.split("."):
        value = value.get(key) if isinstance(value, Mapping) else None
    if isinstance(value, str):
        value = value.split(",") if value else []
    elif not isinstance(value, list):
        value = []
    return tuple(_text(item, f"{path}.{at}") for at, item in enumerate(value))


def _named(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """The names of a list of objects, as given: ``a b`` and ``a_b`` are two."""
    value = settings.get(key)
    items = [item for item in value if isinstance(item, Mapping)] if isinstance(value, list) else []
    names: dict[str, str] = {}
    for at, item in enumerate(items):
        where = f"{key}.{at}.name"
        name = _text(item.get("name"), where)
        other = names.setdefault(name.strip(HEADER_BLANKS), where)
        if other != where:
            raise SettingsError(f"setting {where}: {name!r}, another name than {other} has was expected")
    return tuple(item["name"] for item in items)


def _site(text: str, settings: Mapping[str, Any]) -> SiteSettings:
    r = Reader(text)
    return SiteSettings(
        classes=_named(settings, "classes"),
        tenants=_named(settings, "tenants"),
        zones=_names(settings, "zones"),
        kinds=_names(settings, "kinds"),
        shards=r.get("specifics.shards", int),
        max_open=r.get("limits.maxOpen", int),
        max_streams=r.get("limits.maxStreams", int),
        drain_grace=r.get("rules.drainGrace", int),
        pull_discovery=r.get("discovery", str, "push") == "ask",
        report_fields=_names(settings, "report.fields"),
    )


def _file(data: bytes, where: str) -> _File:
    try:
        return msgspec.json.decode(data, type=_File)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"{where}: {error}") from None


def read_configuration(data: bytes, environment: Mapping[str, str]) -> Configuration:
    """The whole configuration; raises ``ConfigError``. What the file leaves out is taken from variables."""
    where = f"{CONFIG_VARIABLE} ({environment.get(CONFIG_VARIABLE, '-')})"
    file = _file(data, where)

    def text(key: str) -> str:
        found: str = getattr(file, key) or environment.get(FALLBACK_VARIABLES[key], "")
        if not found:
            raise ConfigError(f"{where}: key {key!r} is missing, and so is {FALLBACK_VARIABLES[key]}")
        return found

    try:
        seed = file.seed if isinstance(file.seed, int) else int(file.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"{where}: seed {file.seed!r} is not a number in hex digits") from None
    facts = "\n".join(flatten(file.settings))
    try:
        settings, site = read_settings(facts), _site(facts, file.settings)
    except SettingsError as error:
        raise ConfigError(f"{where}: settings: {error}") from None
    return Configuration(
        text("name"), read_address(text("listen"), f"{where}: listen"),
        read_address(text("discovery"), f"{where}: discovery"),
        seed, file.limits, file.known, settings, site,
    )  # fmt: skip


def read_discovery(data: bytes) -> Address:
    """The address of discovery in a replaced file; raises ``ConfigError``."""
    file = _file(data, CONFIG_VARIABLE)
    return read_address(file.discovery, f"{CONFIG_VARIABLE}: discovery")
