"""Query classes and the rules that assign a query to one."""

from typing import Literal

from pydantic import model_validator

from quincepath.config.schema.base import Model, Name, Pattern
from quincepath.config.values import Duration, Share


class ClassRule(Model):
    """Matches a query that has a matcher of this label and type whose whole value the expression matches."""

    label: Name
    type: Literal["EQ", "NEQ", "RE", "NRE", "any"] = "EQ"
    value: Pattern = ".*"


class ClassEntry(Model):
    """One query class. ``recent`` splits a longer time range into two steps, the newest samples first."""

    name: Name
    when: list[ClassRule] = []
    target: Duration
    deadline: Duration
    need: Share = 1.0
    floor: Share | None = None
    late_worth: Share = 0.3
    worth: Share = 1.0  # relative to other classes, when many queries are open
    recent: Duration = 0

    @model_validator(mode="after")
    def _check_values(self) -> "ClassEntry":
        if not 0 < self.target <= self.deadline:
            raise ValueError("expected 0 < target <= deadline")
        if not 0 < self.need or (self.floor is not None and not 0 < self.floor <= self.need):
            raise ValueError("expected 0 < floor <= need <= 1")
        return self
