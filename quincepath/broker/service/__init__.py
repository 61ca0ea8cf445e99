"""The running broker: client protocols and connections to holders on one event loop, around the driver.

This package takes no decisions. ``Broker`` is one broker on a loop; ``MakeModule`` builds its decision
module. A further subsystem is one ``Extension``: an object that overrides the methods it needs, added to
``Broker.extensions``.
"""

from quincepath.broker.service.core import Broker, MakeModule
from quincepath.broker.service.extension import Arrival, Extension, Extensions

__all__ = ["Arrival", "Broker", "Extension", "Extensions", "MakeModule"]
