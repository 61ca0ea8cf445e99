"""Membership of holders: their actual state, and when each broker is informed of it."""

from collections.abc import Callable

from quincepath.interface import Entry, Members, Phase, Scope
from quincepath.lab.emulator.world.broker_scheduling import BrokerScheduling
from quincepath.lab.emulator.world.entities import Broker
from quincepath.orders import MembershipUpdate
from quincepath.standins.record import Told as ToldLine


class MembershipFeed(BrokerScheduling):
    """Sends each broker membership updates with its own lag; a feed may be frozen."""

    def publish(self, name: str, phase: Phase, since: int | None = None) -> None:
        """Change a holder's entry; each broker is informed after its own lag."""
        before = self.actual_entries[name]
        self.actual_entries[name] = self._member_entry(name, phase, before.since if since is None else since)
        for broker in self.brokers:
            lag = self.source("list").between(*self.script.discovery.lag) * broker.lag_factor
            broker.next_update_at = max(broker.next_update_at, self.now + int(lag))
            entry = self.actual_entries[name]
            self.call_at(broker.next_update_at, self._membership_update(broker, name, entry))

    def _membership_update(self, broker: Broker, name: str, entry: Entry) -> Callable[[], None]:
        def notify() -> None:
            if broker.updates_frozen or not broker.alive:
                # Sent with the state at that time when the feed is unfrozen or the broker is back.
                broker.missed_updates.append(name)
                return

            def apply() -> None:
                broker.known_members[entry.node] = entry
                self.sink(ToldLine(self.now, name, entry.phase.name.lower(), broker.number))
                broker.dispatcher.enqueue(MembershipUpdate(Members(Scope.DELTA, 1, (entry,))))
                self._schedule_step(broker)

            self._deliver(broker, broker.generation, apply)

        return notify

    def unfreeze(self, broker: Broker) -> None:
        """Resume a frozen feed: missed updates are sent with the current state."""
        broker.updates_frozen = False
        self._catch_up(broker)

    def _catch_up(self, broker: Broker) -> None:
        if broker.updates_frozen or not broker.alive:
            return
        missed, broker.missed_updates = dict.fromkeys(broker.missed_updates), []
        for name in missed:
            self._membership_update(broker, name, self.actual_entries[name])()
