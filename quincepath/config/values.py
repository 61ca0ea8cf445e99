"""Durations, sizes and shares as operators write them: ``250ms``, ``8MiB``, ``60%``."""

import re
from typing import Annotated, Any

from pydantic import BeforeValidator

_NS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
_NS["d"] = 24 * _NS["h"]
_BYTES = {"B": 1, "kB": 1000, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_NUMBER_UNIT = re.compile(r"(\d{1,15}(?:\.\d{1,15})?)\s*([A-Za-z]+)", re.ASCII)


def parse_duration(value: Any) -> int:
    """Nanoseconds of ``"250ms"``, ``"2s"``, ``"1.5h"``; a bare 0 is allowed. Raises ``ValueError``."""
    if value == 0 and not isinstance(value, bool):
        return 0
    found = _NUMBER_UNIT.fullmatch(value) if isinstance(value, str) else None
    if found is None or found[2] not in _NS:
        raise ValueError("expected a duration with a unit (ns, us, ms, s, m, h, d), such as 250ms")
    return round(float(found[1]) * _NS[found[2]])


def parse_size(value: Any) -> int:
    """Bytes of ``"8MiB"``, ``"64kB"``. Raises ``ValueError``."""
    found = _NUMBER_UNIT.fullmatch(value) if isinstance(value, str) else None
    if found is None or found[2] not in _BYTES:
        raise ValueError("expected a size with a unit (B, kB, MB, GB, KiB, MiB, GiB), such as 8MiB")
    return round(float(found[1]) * _BYTES[found[2]])


def parse_share(value: Any) -> float:
    """A share of ``"60%"`` or 0.6, between 0 and 1. Raises ``ValueError``."""
    wanted = "expected a share from 0 to 1, or a percentage such as 60%"
    if isinstance(value, bool):
        raise ValueError(wanted)
    try:
        text = value.removesuffix("%") if isinstance(value, str) else value
        share = float(text) / (100 if isinstance(value, str) and value.endswith("%") else 1)
    except (TypeError, ValueError):
        raise ValueError(wanted) from None
    if not 0 <= share <= 1:
        raise ValueError(wanted)
    return share


Duration = Annotated[int, BeforeValidator(parse_duration)]
Size = Annotated[int, BeforeValidator(parse_size)]
Share = Annotated[float, BeforeValidator(parse_share)]
