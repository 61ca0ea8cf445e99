"""The list of holders: read now and then, handed on as news, and what is known of one by its id."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from quincepath.broker.driver import Driver
from quincepath.config.schema import Holder
from quincepath.interface import Members, NodeId
from quincepath.membership.source import MembershipSource
from quincepath.membership.state import Change
from quincepath.net.loop import Loop
from quincepath.observe.metrics import Metrics


class Holders:
    """``told`` gets what is new; ``every`` is the time between looks, in nanoseconds."""

    def __init__(
        self,
        source: MembershipSource,
        loop: Loop,
        every: int,
        log: Any,
        metrics: Metrics,
        on_membership: Callable[[Members], None],
    ) -> None:
        self.source, self.loop, self.every = source, loop, every
        self.log, self.metrics, self.on_membership = log, metrics, on_membership

    def name(self, node: NodeId) -> str:
        """For people."""
        fact = self.source.state.address(node)
        return fact.name if fact else "unlisted"

    def path(self, node: NodeId) -> str | None:
        """Of its URL; None where it is not listed."""
        fact = self.source.state.address(node)
        return None if fact is None else fact.path

    def read(self, force: bool = False) -> None:
        """Look for news of the holders now; ``force`` reads the file even if it looks unchanged."""
        self._tell(*self.source.poll(force))

    def distribute(self, changed: Mapping[str, Holder | None], whole: bool | None) -> None:
        """Holders as the fleet distributes them; see ``MembershipSource.distribute``."""
        self._tell(*self.source.distribute(changed, whole))

    def _tell(self, news: Members | None, changes: Sequence[Change], error: str) -> None:
        if error:
            self.metrics.list_errors.inc()
            self.log.error("list unreadable, the one before stays in force", cause=error)
        for change in changes:
            self.log.info("holder changed", node=change.name, change=change.description)
        if news is not None:
            self.on_membership(news)

    def poll(self) -> None:
        """Look now, and again and again."""
        self.loop.call_in(self.every, self.poll)
        self.read()

    def set_drained(self, names: frozenset[str]) -> None:
        """The fleet agreed which holders are to be drained: laid over the list."""
        self.source.drained = names
        self.read(force=True)

    def attempts_by_holder(self, driver: Driver) -> dict[str, int]:
        """Attempts that have not ended, by holder."""
        found: dict[str, int] = {}
        for part in driver.parts.values():
            for attempt in part.attempts:
                fact = None if attempt.ended else self.source.state.address(attempt.node)
                if fact is not None:
                    found[fact.name] = found.get(fact.name, 0) + 1
        return found
