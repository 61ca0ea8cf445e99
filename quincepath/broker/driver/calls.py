"""The sends of one driver step, gathered into calls by node. Pure."""

from collections.abc import Callable

from quincepath.interface import NodeId
from quincepath.orders import AttemptOrder, StartCall


class CallBatch:
    """Attempts that go out at the end of a step; a call takes up to ``max_parts`` of them."""

    def __init__(self, max_parts: int) -> None:
        self.max_parts = max_parts
        self._calls: dict[NodeId, list[list[AttemptOrder]]] = {}

    def add(self, node: NodeId, order: AttemptOrder) -> None:
        """Add an attempt to the last call to this node, or to a new one if that is full."""
        calls = self._calls.setdefault(node, [])
        if not calls or len(calls[-1]) >= self.max_parts:
            calls.append([])
        calls[-1].append(order)

    def attempts(self) -> set[tuple[int, int]]:
        """The attempts that have not gone out yet, as (part, attempt)."""
        return {
            (order.part, order.attempt) for calls in self._calls.values() for call in calls for order in call
        }

    def drop(self, is_over: Callable[[AttemptOrder], bool]) -> None:
        """Remove the attempts for which ``is_over`` returns true."""
        for node, calls in list(self._calls.items()):
            kept = [[order for order in call if not is_over(order)] for call in calls]
            self._calls[node] = [call for call in kept if call]

    def take(self) -> list[StartCall]:
        """The calls in the order in which their nodes were first named; the batch is empty after it."""
        calls, self._calls = self._calls, {}
        return [StartCall(node, tuple(call)) for node, batches in calls.items() for call in batches]
