"""The running broker: fronts and upstream on one loop, around the driver. It decides nothing.

``Broker`` is one broker on a loop, ``MakeModule`` how it is given its decisions. A further subsystem comes
as one ``Extension``: an object with the few verbs that it needs, handed to ``Broker.extensions``.
"""

from quincepath.broker.service.core import Broker, MakeModule
from quincepath.broker.service.extension import Arrival, Extension, Extensions

__all__ = ["Arrival", "Broker", "Extension", "Extensions", "MakeModule"]
