"""The list of holders: what is true of them, and when each broker hears of it."""

from collections.abc import Callable

from quincepath.interface import Entry, Members, Phase, Scope
from quincepath.lab.emulator.world.actors import Broker
from quincepath.lab.emulator.world.turns import Turns
from quincepath.orders import MembershipUpdate
from quincepath.standins.record import Told as ToldLine


class News(Turns):
    """One source of news for each broker, with a lag of its own; it may freeze."""

    def publish(self, name: str, phase: Phase, since: int | None = None) -> None:
        """The truth about a holder has changed; each broker hears of it in its own time."""
        before = self.truth[name]
        self.truth[name] = self._entry(name, phase, before.since if since is None else since)
        for broker in self.brokers:
            lag = self.source("list").between(*self.script.discovery.lag) * broker.lag
            broker.list_free_at = max(broker.list_free_at, self.now + int(lag))
            entry = self.truth[name]
            self.at(broker.list_free_at, self._news(broker, name, entry))

    def _news(self, broker: Broker, name: str, entry: Entry) -> Callable[[], None]:
        def hear() -> None:
            if broker.frozen or not broker.alive:
                broker.missed.append(name)  # told as it is then, when the list moves or the broker is back
                return

            def take() -> None:
                broker.known[entry.node] = entry
                self.sink(ToldLine(self.now, name, entry.phase.name.lower(), broker.number))
                broker.dispatcher.enqueue(MembershipUpdate(Members(Scope.DELTA, 1, (entry,))))
                self._poke(broker)

            self._io(broker, broker.life, take)

        return hear

    def thaw(self, broker: Broker) -> None:
        """A frozen list moves again: what was missed comes as it is now."""
        broker.frozen = False
        self._catch_up(broker)

    def _catch_up(self, broker: Broker) -> None:
        if broker.frozen or not broker.alive:
            return
        missed, broker.missed = dict.fromkeys(broker.missed), []
        for name in missed:
            self._news(broker, name, self.truth[name])()
