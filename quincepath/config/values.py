"""Parses durations, sizes and shares in configuration syntax: ``250ms``, ``8MiB``, ``60%``."""

import re
from typing import Annotated, Any

from pydantic import BeforeValidator

_NS_PER_UNIT = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
_NS_PER_UNIT["d"] = 24 * _NS_PER_UNIT["h"]
_BYTES_PER_UNIT = {
    "B": 1,
    "kB": 1000,
    "MB": 10**6,
    "GB": 10**9,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
_NUMBER_UNIT = re.compile(r"(\d{1,15}(?:\.\d{1,15})?)\s*([A-Za-z]+)", re.ASCII)


def parse_duration(value: Any) -> int:
    """Parse ``"250ms"``, ``"2s"``, ``"1.5h"`` to nanoseconds; 0 needs no unit. Raises ``ValueError``."""
    if value == 0 and not isinstance(value, bool):
        return 0
    match = _NUMBER_UNIT.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in _NS_PER_UNIT:
        raise ValueError("expected a duration with a unit (ns, us, ms, s, m, h, d), such as 250ms")
    return round(float(match[1]) * _NS_PER_UNIT[match[2]])


def parse_size(value: Any) -> int:
    """Parse ``"8MiB"``, ``"64kB"`` to bytes. Raises ``ValueError``."""
    match = _NUMBER_UNIT.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in _BYTES_PER_UNIT:
        raise ValueError("expected a size with a unit (B, kB, MB, GB, KiB, MiB, GiB), such as 8MiB")
    return round(float(match[1]) * _BYTES_PER_UNIT[match[2]])


def parse_share(value: Any) -> float:
    """Parse ``"60%"`` or 0.6 to a share between 0 and 1. Raises ``ValueError``."""
    expected = "expected a share from 0 to 1, or a percentage such as 60%"
    if isinstance(value, bool):
        raise ValueError(expected)
    try:
        text = value.removesuffix("%") if isinstance(value, str) else value
        share = float(text) / (100 if isinstance(value, str) and value.endswith("%") else 1)
    except (TypeError, ValueError):
        raise ValueError(expected) from None
    if not 0 <= share <= 1:
        raise ValueError(expected)
    return share


Duration = Annotated[int, BeforeValidator(parse_duration)]
Size = Annotated[int, BeforeValidator(parse_size)]
Share = Annotated[float, BeforeValidator(parse_share)]
