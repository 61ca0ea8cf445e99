"""One end of the distribution with the test as the other: messages packed and read as the peer would."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from quincepath.fleet.configuration.messages import Body, Heartbeat, encode_body, pack, unpack
from quincepath.fleet.configuration.ports import (
    Apply,
    Event,
    Lost,
    Received,
    RelayInput,
    RelayOutput,
    Send,
    SubscriberInput,
    SubscriberOutput,
)
from quincepath.fleet.configuration.relay import Relay, RelayIdentity
from quincepath.fleet.configuration.relay_preference import MS, RelayLocation
from quincepath.fleet.configuration.subscriber import Subscriber, SubscriberIdentity
from quincepath.fleet.configuration.table import NO_RULES, Rules

FLEET = "test"
PLACES = [RelayLocation("r1", "east"), RelayLocation("r2", "east"), RelayLocation("r3", "west")]


def sent(outputs: Sequence[SubscriberOutput | RelayOutput]) -> list[tuple[str, Body]]:
    """Messages that went out: to whom, and what."""
    return [(out.to, unpack(out.data, FLEET, out.to)[1]) for out in outputs if isinstance(out, Send)]


def events(outputs: Sequence[SubscriberOutput | RelayOutput]) -> list[str]:
    return [f"{out.kind}: {out.text}" for out in outputs if isinstance(out, Event)]


@dataclass
class SubscriberEnd:
    """A subscriber; the test speaks as its relays. ``sent``: what it said since last read."""

    rules: Rules = NO_RULES
    places: list[RelayLocation] = field(default_factory=lambda: list(PLACES))
    now: int = 0
    outputs: list[SubscriberOutput] = field(default_factory=list)

    def __post_init__(self) -> None:
        me = SubscriberIdentity(FLEET, "b1", "east", 7)
        self.subscriber = Subscriber(me, self.places, 1, self.now, self.rules)

    def step(self, *inputs: SubscriberInput) -> list[tuple[str, Body]]:
        found = self.subscriber.step(self.now, inputs)
        self.outputs += found
        return sent(found)

    def wait(self, milliseconds: int) -> list[tuple[str, Body]]:
        """Let the time pass, with every step that is due."""
        found = []
        until = self.now + milliseconds * MS
        while self.subscriber.due <= until:
            self.now = max(self.subscriber.due, self.now)
            found += self.step()
        self.now = until
        return found

    def hear(self, relay: str, *bodies: Body) -> list[tuple[str, Body]]:
        found = []
        for body in bodies:
            found += self.step(Received(relay, pack(FLEET, relay, 1, "b1", encode_body(body))))
        return found

    def lose(self, relay: str) -> list[tuple[str, Body]]:
        return self.step(Lost(relay))

    def served(self, newest: int = 0, age: int = 0) -> str:
        """Begin, and let the relay that it asks serve it."""
        self.wait(300)
        relay = self.subscriber.chooser.candidate
        self.hear(relay, Heartbeat(newest, age))
        assert self.subscriber.chooser.current == relay
        return relay

    def applied(self) -> list[int]:
        return [out.revision for out in self.outputs if isinstance(out, Apply)]


@dataclass
class RelayEnd:
    """A relay; the test speaks as its subscribers and its voter."""

    max_subscribers: int = 10
    now: int = 0

    def __post_init__(self) -> None:
        self.relay = Relay(RelayIdentity(FLEET, "r1", 1), self.now, self.max_subscribers)
        self.outputs: list[RelayOutput] = []

    def step(self, *inputs: RelayInput) -> list[tuple[str, Body]]:
        found = self.relay.step(self.now, inputs)
        self.outputs += found
        return sent(found)

    def hear(self, name: str, *bodies: Body, boot: int = 7) -> list[tuple[str, Body]]:
        found = []
        for body in bodies:
            found += self.step(Received(name, pack(FLEET, name, boot, "r1", encode_body(body))))
        return found

    def wait(self, milliseconds: int) -> list[tuple[str, Body]]:
        found = []
        until = self.now + milliseconds * MS
        while self.relay.due <= until:
            self.now = max(self.relay.due, self.now)
            found += self.step()
        self.now = until
        return found
