"""Distribution of the configuration by relays: which members relay, and the region of each."""

from typing import Literal

from pydantic import Field, model_validator

from quincepath.config.schema.base import Model, Name
from quincepath.config.schema.members import MemberName

MAX_RELAYS = 100  # the status page keeps a summary of each


class RelayEntry(Model):
    """A relay member and its region."""

    name: MemberName
    region: Name


class DistributionEntry(Model):
    """Needs a fleet with ``keepers``. ``region`` is that of this member; ``relays`` is equal on all."""

    region: Name
    relays: list[RelayEntry] = Field(min_length=1, max_length=MAX_RELAYS)

    @model_validator(mode="after")
    def _check_distinct(self) -> "DistributionEntry":
        names = [relay.name for relay in self.relays]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(f"relays: {duplicates[0]!r} is listed twice")
        return self


class NodeListEntry(Model):
    """Whether the distributed nodes are the whole list and replace the list of the file."""

    name: Literal["nodes"]
    whole: bool
