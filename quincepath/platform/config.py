"""The configuration of a broker at its start: environment and JSON file in, plain values out. Pure.

The nested settings are flattened to the paths that ``read_settings`` parses, so that the module gets the same
settings here as over the simulator's protocol. Every error names the variable or key, the value, and what was
expected.
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

HEADER_BLANKS = " \t"  # not significant around a header's value


class ConfigError(ValueError):
    """A variable or key is missing or unreadable; the message is one line."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the process may use: processor cores (or a share of one), megabytes, descriptors."""

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
    """The settings that the broker needs and the module does not; times are in ns."""

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
    """The whole configuration of a broker; ``known`` is the node list that it held before a restart."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: ProcessLimits
    known: TargetList | None
    settings: Settings
    site: SiteSettings


def normalized(text: str) -> str:
    """A value as written in flattened settings: without commas, spaces or any line separator."""
    return "_".join(text.replace(",", " ").split())


def _scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))  # JSON may write a whole number as 5e6
    return normalized(str(value))


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Flatten nested settings to ``path=value`` lines, as the simulator sends them."""
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
    """Parse ``host:port``; ``where`` names the variable or key in errors."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{where}: {text!r} is not an address, host:port was expected")
    return host, int(port)


def _checked_name(value: Any, where: str) -> str:
    if not isinstance(value, str):
        raise SettingsError(f"setting {where}: {value!r}, a name in quotes was expected")
    return value


def _names(settings: Mapping[str, Any], path: str) -> tuple[str, ...]:
    """A list of names as given, or comma-separated from the simulator; empty names keep their position."""
    value: Any = settings
    for key in path.split("."):
        value = value.get(key) if isinstance(value, Mapping) else None
    if isinstance(value, str):
        value = value.split(",") if value else []
    elif not isinstance(value, list):
        value = []
    return tuple(_checked_name(item, f"{path}.{at}") for at, item in enumerate(value))


def _object_names(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """The names of a list of objects, not normalized: ``a b`` and ``a_b`` are two names."""
    value = settings.get(key)
    items = [item for item in value if isinstance(item, Mapping)] if isinstance(value, list) else []
    names: dict[str, str] = {}
    for at, item in enumerate(items):
        where = f"{key}.{at}.name"
        name = _checked_name(item.get("name"), where)
        other = names.setdefault(name.strip(HEADER_BLANKS), where)
        if other != where:
            raise SettingsError(f"setting {where}: {name!r}, another name than {other} has was expected")
    return tuple(item["name"] for item in items)


def _site_settings(text: str, settings: Mapping[str, Any]) -> SiteSettings:
    reader = Reader(text)
    return SiteSettings(
        classes=_object_names(settings, "classes"),
        tenants=_object_names(settings, "tenants"),
        zones=_names(settings, "zones"),
        kinds=_names(settings, "kinds"),
        shards=reader.get("specifics.shards", int),
        max_open=reader.get("limits.maxOpen", int),
        max_streams=reader.get("limits.maxStreams", int),
        drain_grace=reader.get("rules.drainGrace", int),
        pull_discovery=reader.get("discovery", str, "push") == "ask",
        report_fields=_names(settings, "report.fields"),
    )


def _parse_file(data: bytes, where: str) -> _File:
    try:
        return msgspec.json.decode(data, type=_File)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"{where}: {error}") from None


def read_configuration(data: bytes, environment: Mapping[str, str]) -> Configuration:
    """Read the whole configuration; raises ``ConfigError``. Keys missing in the file come from variables."""
    where = f"{CONFIG_VARIABLE} ({environment.get(CONFIG_VARIABLE, '-')})"
    file = _parse_file(data, where)

    def text(key: str) -> str:
        found: str = getattr(file, key) or environment.get(FALLBACK_VARIABLES[key], "")
        if not found:
            raise ConfigError(f"{where}: key {key!r} is missing, and so is {FALLBACK_VARIABLES[key]}")
        return found

    try:
        seed = file.seed if isinstance(file.seed, int) else int(file.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"{where}: seed {file.seed!r} is not a number in hex digits") from None
    lines = "\n".join(flatten(file.settings))
    try:
        settings, site = read_settings(lines), _site_settings(lines, file.settings)
    except SettingsError as error:
        raise ConfigError(f"{where}: settings: {error}") from None
    return Configuration(
        text("name"), read_address(text("listen"), f"{where}: listen"),
        read_address(text("discovery"), f"{where}: discovery"),
        seed, file.limits, file.known, settings, site,
    )  # fmt: skip


def read_discovery(data: bytes) -> Address:
    """Read the address of discovery from a replaced file; raises ``ConfigError``."""
    file = _parse_file(data, CONFIG_VARIABLE)
    return read_address(file.discovery, f"{CONFIG_VARIABLE}: discovery")
