"""The list of holders: polls it, passes on its changes, and looks up a holder by id."""

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
    """``on_membership`` receives updates; ``poll_interval`` is in nanoseconds."""

    def __init__(
        self,
        source: MembershipSource,
        loop: Loop,
        poll_interval: int,
        log: Any,
        metrics: Metrics,
        on_membership: Callable[[Members], None],
    ) -> None:
        self.source, self.loop, self.poll_interval = source, loop, poll_interval
        self.log, self.metrics, self.on_membership = log, metrics, on_membership

    def name(self, node: NodeId) -> str:
        """The name of a holder, for logs and metrics."""
        info = self.source.state.address(node)
        return info.name if info else "unlisted"

    def path(self, node: NodeId) -> str | None:
        """The path of a holder's URL; None if it is not listed."""
        info = self.source.state.address(node)
        return None if info is None else info.path

    def read(self, force: bool = False) -> None:
        """Check the list now; ``force`` reads the file even if it looks unchanged."""
        self._apply(*self.source.poll(force))

    def distribute(self, changed: Mapping[str, Holder | None], whole: bool | None) -> None:
        """Apply holders that the fleet distributes; see ``MembershipSource.distribute``."""
        self._apply(*self.source.distribute(changed, whole))

    def _apply(self, update: Members | None, changes: Sequence[Change], error: str) -> None:
        if error:
            self.metrics.list_errors.inc()
            self.log.error("list of holders is unreadable; the previous list stays in use", cause=error)
        for change in changes:
            self.log.info("holder changed", node=change.name, change=change.description)
        if update is not None:
            self.on_membership(update)

    def poll(self) -> None:
        """Check the list now and schedule the next check."""
        self.loop.call_in(self.poll_interval, self.poll)
        self.read()

    def set_drained(self, names: frozenset[str]) -> None:
        """Apply the fleet's agreement on which holders to drain on top of the list."""
        self.source.drained = names
        self.read(force=True)

    def attempts_by_holder(self, driver: Driver) -> dict[str, int]:
        """Number of attempts in flight, by holder name."""
        counts: dict[str, int] = {}
        for part in driver.parts.values():
            for attempt in part.attempts:
                info = None if attempt.ended else self.source.state.address(attempt.node)
                if info is not None:
                    counts[info.name] = counts.get(info.name, 0) + 1
        return counts
