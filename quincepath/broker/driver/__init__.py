"""The pure driver between the edge and the module: ``step(now, inputs) -> orders``.

It owns ids, the one final answer, deadlines, attempts by part and results by part, and decides nothing: each
choice is the module's. ``Driver`` is the whole of it, ``DecisionModule`` what it needs of the decisions.
"""

from quincepath.broker.driver.core import Driver
from quincepath.broker.driver.state import DecisionModule, OpenPart, OpenQuery

__all__ = ["Driver", "DecisionModule", "OpenPart", "OpenQuery"]
