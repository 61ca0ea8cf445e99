"""quincepath: the decisions of a query aggregator, as a library."""

from quincepath.interface import Settings
from quincepath.policy import Aggregator

__all__ = ["Aggregator", "Settings"]
