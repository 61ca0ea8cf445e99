"""The configuration's distribution at a hollow broker: a subscriber, and on some members also a relay.

The cores and messages are those of ``quincepath.fleet.configuration``. They share the connections of the
consensus log; a relay follows the log through the member that it runs beside.
"""

from collections.abc import Callable

from benchmarks.capacity.scale.meter import CONFIGURATION, MeteredLoop
from benchmarks.capacity.scale.plan import FLEET, MemberPlan, Plan
from quincepath.fleet.agreed import Agreed
from quincepath.fleet.configuration.choice import RelayPlace
from quincepath.fleet.configuration.commands import news_for_relay
from quincepath.fleet.configuration.messages import MARK, Ack, FetchPieces, Nack, Subscribe, Unsubscribe
from quincepath.fleet.configuration.messages import unpack as open_message
from quincepath.fleet.configuration.ports import Apply, Received, RelayInput, Send, SubscriberInput
from quincepath.fleet.configuration.relay import Relay, RelayMembership
from quincepath.fleet.configuration.subscriber import Membership, Subscriber
from quincepath.fleet.edge import HEAD, Edge
from quincepath.fleet.messages import Rejected
from quincepath.net.loop import Loop, Timer

TO_RELAY = (Subscribe, Unsubscribe, Ack, Nack, FetchPieces)  # what a subscriber says
NEWS_EVERY = 500_000_000  # ns between words of the log to a relay that has nothing new


class _Stepped:
    """A core with a ``due`` on the loop: ``step`` is called when that comes, and may be called before."""

    def __init__(self, loop: Loop, step: Callable[[], None], due: Callable[[], int]) -> None:
        self._loop, self._step, self._due = loop, step, due
        self._timer: Timer | None = None

    def arm(self) -> None:
        """After each step."""
        due = max(self._due(), self._loop.clock() + 1)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._step)

    def close(self) -> None:
        """No more calls."""
        if self._timer is not None:
            self._timer.cancel()


class HollowConfiguration:
    """Of one member. ``in_force(before, revision)`` is called when its subscriber applied a revision."""

    def __init__(
        self,
        plan: Plan,
        member: MemberPlan,
        loop: MeteredLoop,
        edge: Edge,
        agreed: Agreed,
        boot: int,
        in_force: Callable[[int, int], None],
    ) -> None:
        self.member, self.loop, self.edge, self._agreed = member, loop, edge, agreed
        self._in_force = in_force
        self.messages = self.bytes = 0  # sent
        self.revision = 0
        relays = [RelayPlace(one.name, one.region) for one in plan.relays if one.name != member.name]
        me = Membership(FLEET, member.name, member.region, boot)
        self.subscriber = Subscriber(me, relays, plan.seed, loop.clock())
        self._subscriber_timer = _Stepped(loop, lambda: self._step([]), lambda: self.subscriber.due)
        self.relay: Relay | None = None
        self._relay_timer: _Stepped | None = None
        self._news_at = 0
        if member.name in {one.name for one in plan.relays}:
            relay = self.relay = Relay(RelayMembership(FLEET, member.name, boot), loop.clock())
            self._relay_timer = _Stepped(loop, lambda: self._step_relay([]), lambda: relay.due)
            self._follow_log()
            self._step_relay([])
        self._step([])

    @staticmethod
    def owns(data: bytes) -> bool:
        """Whether a message of the shared connections is the distribution's."""
        return data[: len(MARK)] == MARK

    def receive(self, data: bytes) -> None:
        """A message of another member: of a relay, or of a subscriber of this one's relay."""
        try:
            envelope, body = open_message(data, FLEET, self.member.name)
        except Rejected as error:
            self.subscriber.dropped[error.cause] += 1
            return
        if isinstance(body, TO_RELAY):
            self._step_relay([Received(envelope.sender, data)])
        else:
            self._step([Received(envelope.sender, data)])

    def _step(self, inputs: list[SubscriberInput]) -> None:
        with self.loop.meter.charged(CONFIGURATION):
            for out in self.subscriber.step(self.loop.clock(), inputs):
                match out:
                    case Send(to, data):
                        self._send(to, data)
                    case Apply(revision):
                        before, self.revision = self.revision, revision
                        self._in_force(before, revision)
            self._subscriber_timer.arm()

    # --- the relay ---

    def _follow_log(self) -> None:
        """The relay is told as soon as the member's log has applied something."""
        hooks = self._agreed.hooks
        before = hooks.applied

        def applied() -> None:
            before()
            self._step_relay([])

        hooks.applied = applied

    def _step_relay(self, inputs: list[RelayInput]) -> None:
        relay = self.relay
        if relay is None or self._relay_timer is None:
            return
        with self.loop.meter.charged(CONFIGURATION):
            now, history = self.loop.clock(), self._agreed.machine.configuration
            if history.revision > relay.log.newest or now >= self._news_at:
                self._news_at = now + NEWS_EVERY
                inputs = [*inputs, news_for_relay(history, relay.log.newest)]
            for out in relay.step(now, inputs):
                if isinstance(out, Send):
                    self._send(out.to, out.data)
            self._relay_timer.arm()

    def _send(self, to: str, data: bytes) -> None:
        self.messages += 1
        self.bytes += HEAD + len(data)
        self.edge.tell(to, data)

    def close(self) -> None:
        """No more timers."""
        self._subscriber_timer.close()
        if self._relay_timer is not None:
            self._relay_timer.close()
        self.relay = None
