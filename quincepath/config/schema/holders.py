"""Shards, replica sets, the holders that serve them, and the roster file."""

from typing import Literal
from urllib.parse import urlsplit

from pydantic import Field, model_validator

from quincepath.config.schema.base import HolderUrl, Model, Name


class ShardEntry(Model):
    """One shard and its values of the shard label. Shards of one ``set`` have the same holders."""

    name: Name
    values: list[Name] = Field(min_length=1)
    set: Name | None = None


class Shards(Model):
    """How queries are split. ``unlabelled``: which shards may hold series without the shard label."""

    label: Name
    unlabelled: Literal["everywhere", "nowhere"] = "everywhere"
    map: list[ShardEntry] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_distinct(self) -> "Shards":
        names: set[str] = set()
        values: dict[str, str] = {}
        for entry in self.map:
            if entry.name in names:
                raise ValueError(f"shard {entry.name!r} is listed twice")
            names.add(entry.name)
            for value in entry.values:
                if value in values:
                    raise ValueError(f"value {value!r} is in shards {values[value]!r} and {entry.name!r}")
                values[value] = entry.name
        return self

    def sets(self) -> dict[str, list[str]]:
        """Names of the shards of each replica set, in the order of the file."""
        shards_by_set: dict[str, list[str]] = {}
        for entry in self.map:
            shards_by_set.setdefault(entry.set or entry.name, []).append(entry.name)
        return shards_by_set


class Holder(Model):
    """One holder, in the configuration or in a roster file. ``started`` is seconds since the epoch."""

    name: Name
    url: HolderUrl
    zone: str = ""
    shards: list[Name] = Field(min_length=1)
    phase: Literal["ready", "draining", "gone"] = "ready"
    started: float | None = Field(None, ge=0)


class Roster(Model):
    """A roster file: all current holders. ``version`` should grow with each change."""

    version: int = Field(0, ge=0)
    holders: list[Holder]

    @model_validator(mode="after")
    def _check_distinct(self) -> "Roster":
        check_distinct(self.holders)
        return self


def check_distinct(holders: list[Holder]) -> None:
    """Raises ``ValueError`` if two holders share a name or an address."""
    seen: dict[str, str] = {}
    for holder in holders:
        address = urlsplit(holder.url).netloc
        for what, key in (("name", holder.name), ("address", address)):
            if f"{what} {key}" in seen:
                raise ValueError(
                    f"holders {seen[f'{what} {key}']!r} and {holder.name!r} share the {what} {key}"
                )
            seen[f"{what} {key}"] = holder.name


def check_holders(shards: Shards, holders: list[Holder]) -> None:
    """Raises ``ValueError`` if the shards of a holder are not those of one replica set."""
    sets = {frozenset(names) for names in shards.sets().values()}
    for holder in holders:
        if frozenset(holder.shards) not in sets:
            wanted = " or ".join("+".join(names) for names in shards.sets().values())
            raise ValueError(
                f"holder {holder.name!r} has shards {'+'.join(holder.shards)}; expected a whole set: {wanted}"
            )
