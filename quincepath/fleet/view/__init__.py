"""Each member's view of the fleet's membership: who is live, who reported it, whether the view is settled.

``View`` is the state machine: ``step`` takes inputs and returns outputs (``ports``), ``due`` is the time at
which it must be called without any input, ``unsettled`` lists the reasons why the view is not settled.
``ViewSettings`` holds its parameters.
"""

from quincepath.fleet.view.core import View
from quincepath.fleet.view.facts import Belief, Change, Phase, ViewSettings
from quincepath.fleet.view.ports import Input, Output

__all__ = ["Belief", "Change", "Input", "Output", "Phase", "View", "ViewSettings"]
