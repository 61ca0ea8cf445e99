"""Limits that a new shard map is checked against, and how long it is measured."""

from typing import Literal

from pydantic import Field

from quincepath.config.schema.base import SECOND, Count, Model, Name
from quincepath.config.values import Duration, Share


class MapLimitEntry(Model):
    """Maximum of a forecast figure. ``where``: a replica set or class; absent: each of them."""

    kind: Literal["parts", "calls", "load", "bytes", "miss"]
    most: float = Field(gt=0)
    where: Name | None = None


class TopologyEntry(Model):
    """Adoption of a shard map. Needs a fleet with ``keepers``; equal on all brokers."""

    limits: list[MapLimitEntry] = Field(min_length=1, max_length=100)
    slots: Count = 1  # calls that a holder serves concurrently
    least: Count = 400  # minimum number of footprints in the sample
    age_most: Duration = 7200 * SECOND  # maximum age of the sample
    heard_least: Share = 0.9  # minimum share of brokers that reported
    measure: Duration = 600 * SECOND  # time in use before it is compared with the forecast
