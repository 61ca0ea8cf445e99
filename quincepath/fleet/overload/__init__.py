"""Overload handled by the fleet as one: who is shed, and what each broker may spend."""

from quincepath.fleet.overload.core import OverloadControl
from quincepath.fleet.overload.types import (
    Arrival,
    Decision,
    LocalStats,
    OverloadSettings,
    SendBudget,
    Shed,
    ShedReason,
)

__all__ = [
    "Arrival", "Decision", "LocalStats", "OverloadControl", "OverloadSettings", "SendBudget",
    "Shed", "ShedReason",
]  # fmt: skip
