"""Distribution of the configuration by relays: which members relay, in which region each of them stands."""

from typing import Literal

from pydantic import Field, model_validator

from quincepath.config.schema.base import Model, Name
from quincepath.config.schema.members import MemberName

RELAYS_MOST = 100  # of which the status keeps summaries


class RelayEntry(Model):
    """A member that relays, and its region."""

    name: MemberName
    region: Name


class DistributionEntry(Model):
    """On a fleet with keepers only. ``region`` is this member's own; ``relays`` are the same on all."""

    region: Name
    relays: list[RelayEntry] = Field(min_length=1, max_length=RELAYS_MOST)

    @model_validator(mode="after")
    def _distinct(self) -> "DistributionEntry":
        names = [relay.name for relay in self.relays]
        doubled = sorted({name for name in names if names.count(name) > 1})
        if doubled:
            raise ValueError(f"relays: {doubled[0]!r} stands twice")
        return self


class NodeListEntry(Model):
    """Of the distributed nodes as a whole: whether they are all, and so take the place of the file's list."""

    name: Literal["nodes"]
    whole: bool
