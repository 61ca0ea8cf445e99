"""What a run counts of the configuration's distribution at a hollow broker.

The distribution is the member's own (``quincepath.fleet.distribution``), as a broker with a data path has
it: a subscriber, and on some members also a relay, on the connections of the consensus log. Here its
messages are counted, its processor time is charged, and it is noted when a revision came into force.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace

from benchmarks.capacity.scale.meter import CONFIGURATION, MeteredLoop
from quincepath.fleet.configuration.changes import Edit
from quincepath.fleet.configuration.messages import MARK
from quincepath.fleet.configuration.subscriber import Subscriber
from quincepath.fleet.distribution import Distribution
from quincepath.fleet.transport import LENGTH_PREFIX_BYTES


class HollowConfiguration:
    """Of one member. ``in_force(before, revision)`` is called when its subscriber applied a revision."""

    def __init__(
        self, distribution: Distribution, loop: MeteredLoop, in_force: Callable[[int, int], None]
    ) -> None:
        """From now on; nothing has been sent before, since a subscriber begins after a random pause."""
        self.distribution, self._loop = distribution, loop
        self._in_force = in_force
        self._tell = distribution.ports.send
        self._feed = distribution.feed
        self.messages = self.bytes = 0  # sent
        self.revision = 0
        distribution.ports = replace(distribution.ports, send=self._counted)
        distribution.on_apply = self._applied
        distribution.feed = self._charged_feed  # type: ignore[method-assign]

    @property
    def subscriber(self) -> Subscriber:
        """The member's own end."""
        return self.distribution.subscriber

    @staticmethod
    def owns(data: bytes) -> bool:
        """Whether a message of the shared connections is the distribution's."""
        return data[: len(MARK)] == MARK

    def _counted(self, to: str, data: bytes) -> None:
        self.messages += 1
        self.bytes += LENGTH_PREFIX_BYTES + len(data)
        self._tell(to, data)

    def _charged_feed(self) -> None:
        """News of the log for the relay: the log calls it, and its work is the distribution's."""
        with self._loop.meter.charged(CONFIGURATION):
            self._feed()

    def _applied(self, edits: Sequence[Edit]) -> None:
        before, self.revision = self.revision, self.subscriber.applier.revision
        if self.revision > before:
            self._in_force(before, self.revision)
