"""Overload control by the fleet as a whole: which queries are shed, and what each broker may send."""

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
