"""The pure driver between the I/O layer and the decision module: ``step(now, inputs) -> orders``.

It owns ids, the single final answer, deadlines, and attempts and results by part. It takes no decisions:
every choice is the decision module's. ``Driver`` is the entry point, ``DecisionModule`` the interface that it
requires of the module.
"""

from quincepath.broker.driver.core import Driver
from quincepath.broker.driver.state import DecisionModule, OpenPart, OpenQuery

__all__ = ["Driver", "DecisionModule", "OpenPart", "OpenQuery"]
