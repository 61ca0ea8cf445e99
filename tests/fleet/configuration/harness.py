"""Test harnesses for a subscriber or a relay: the test plays the peers and encodes their messages."""

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
RELAYS = [RelayLocation("r1", "east"), RelayLocation("r2", "east"), RelayLocation("r3", "west")]


def sent(outputs: Sequence[SubscriberOutput | RelayOutput]) -> list[tuple[str, Body]]:
    """The messages among the outputs, each with its receiver."""
    return [(out.to, unpack(out.data, FLEET, out.to)[1]) for out in outputs if isinstance(out, Send)]


def events(outputs: Sequence[SubscriberOutput | RelayOutput]) -> list[str]:
    return [f"{out.kind}: {out.text}" for out in outputs if isinstance(out, Event)]


@dataclass
class SubscriberHarness:
    """A subscriber; the test plays its relays. ``outputs``: all since the start."""

    rules: Rules = NO_RULES
    relays: list[RelayLocation] = field(default_factory=lambda: list(RELAYS))
    now: int = 0
    outputs: list[SubscriberOutput] = field(default_factory=list)

    def __post_init__(self) -> None:
        me = SubscriberIdentity(FLEET, "b1", "east", 7)
        self.subscriber = Subscriber(me, self.relays, 1, self.now, self.rules)

    def step(self, *inputs: SubscriberInput) -> list[tuple[str, Body]]:
        step_outputs = self.subscriber.step(self.now, inputs)
        self.outputs += step_outputs
        return sent(step_outputs)

    def advance(self, milliseconds: int) -> list[tuple[str, Body]]:
        """Advance the clock and run every step that is due."""
        messages = []
        until = self.now + milliseconds * MS
        while self.subscriber.due <= until:
            self.now = max(self.subscriber.due, self.now)
            messages += self.step()
        self.now = until
        return messages

    def receive(self, relay: str, *bodies: Body) -> list[tuple[str, Body]]:
        messages = []
        for body in bodies:
            messages += self.step(Received(relay, pack(FLEET, relay, 1, "b1", encode_body(body))))
        return messages

    def lose_connection(self, relay: str) -> list[tuple[str, Body]]:
        return self.step(Lost(relay))

    def connect(self, newest: int = 0, age: int = 0) -> str:
        """Let the relay that the subscriber tries serve it; returns that relay."""
        self.advance(300)
        relay = self.subscriber.chooser.candidate
        self.receive(relay, Heartbeat(newest, age))
        assert self.subscriber.chooser.current == relay
        return relay

    def applied_revisions(self) -> list[int]:
        return [out.revision for out in self.outputs if isinstance(out, Apply)]


@dataclass
class RelayHarness:
    """A relay; the test plays its subscribers and its voter."""

    max_subscribers: int = 10
    now: int = 0

    def __post_init__(self) -> None:
        self.relay = Relay(RelayIdentity(FLEET, "r1", 1), self.now, self.max_subscribers)
        self.outputs: list[RelayOutput] = []

    def step(self, *inputs: RelayInput) -> list[tuple[str, Body]]:
        step_outputs = self.relay.step(self.now, inputs)
        self.outputs += step_outputs
        return sent(step_outputs)

    def receive(self, name: str, *bodies: Body, boot: int = 7) -> list[tuple[str, Body]]:
        messages = []
        for body in bodies:
            messages += self.step(Received(name, pack(FLEET, name, boot, "r1", encode_body(body))))
        return messages

    def advance(self, milliseconds: int) -> list[tuple[str, Body]]:
        messages = []
        until = self.now + milliseconds * MS
        while self.relay.due <= until:
            self.now = max(self.relay.due, self.now)
            messages += self.step()
        self.now = until
        return messages
