"""Decisions of the query aggregator. Its types, events and actions are in ``quincepath/interface.py``.

A query that needs any n of its k parts sends exactly the n parts whose least-loaded replica has the lowest
load, each to that replica. Load is the number of calls that this broker itself has open at a node. Where that
count misleads, the odds of failure at the node are added to it, so that one rule serves with and without
faults.

An ``Aggregator`` decides for one broker; ``QueryState`` is one of its open queries, for tools to inspect.
"""

from quincepath.policy.aggregator import Aggregator
from quincepath.policy.queries import QueryState

__all__ = ["Aggregator", "QueryState"]
