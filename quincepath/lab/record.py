"""Names of ``quincepath.standins.record`` for the laboratory."""

from quincepath.standins.record import (
    SCHEMA,
    Ask,
    Bounds,
    ClassRules,
    End,
    Got,
    Halt,
    Head,
    Line,
    Mark,
    RecordError,
    Said,
    Told,
    Up,
    Writer,
    read,
)

__all__ = [
    "SCHEMA", "Ask", "Bounds", "ClassRules", "End", "Got", "Halt", "Head", "Line", "Mark", "RecordError",
    "Said", "Told", "Up", "Writer", "read",
]  # fmt: skip
