"""The node list: what it says, when to subscribe to it, and which nodes hold a shard."""

from collections.abc import Iterable
from itertools import chain

from quincepath.interface import Entry, Members, Phase, Scope, SetTimer, Watch
from quincepath.policy.cold import ColdNodes
from quincepath.policy.nodes import Node
from quincepath.policy.tuning import LIST_TOKEN, RESUBSCRIBE_IN, RESUBSCRIBE_SHARE


class NodeList(ColdNodes):
    """Keeps the nodes up to date with the list."""

    def _apply_members(self, event: Members) -> None:
        if self.settings.must_ask and not self.subscribed:
            self.subscribed = True
            self.actions.append(Watch(True))
        if event.scope is Scope.FAILED:
            # Random times: guards against brokers that all ask again at once, and fail again, at a small list
            # service.
            pause = (
                (self.rules.must_ask_in or RESUBSCRIBE_IN) * RESUBSCRIBE_SHARE * (0.5 + self.random.random())
            )
            self.actions.append(SetTimer(self.now + int(pause), LIST_TOKEN))
            return
        entries = list(event.entries)
        if event.scope is not Scope.DELTA:
            named = {entry.node for entry in entries}
            gone = [node.entry for node in self.nodes.values() if node.id not in named]
            entries[:0] = [Entry(old.node, 0, old.zone, old.cell, 0, Phase.GONE, 0.0) for old in gone]
        for entry in entries:
            self._apply_entry(entry)
        for node in [node for node in self.gone.values() if not node.calls]:
            del self.gone[node.id], self.nodes[node.id]
            self.cells[node.entry.cell].remove(node)

    def _apply_entry(self, entry: Entry) -> None:
        node = self.nodes.get(entry.node)
        if node is None:
            self.nodes_listed += 1
            node = self.nodes[entry.node] = Node(entry, self.nodes_listed)
            self.cells.setdefault(entry.cell, []).append(node)
            if entry.since:
                self._mark_cold(node, entry.since)
        elif entry.since > max(node.cold_from, 0):
            # A restart, ready or not yet: what was learned of the node is void, and its open calls are lost.
            node.failure_shares, node.consecutive_failures, node.ratio = {}, 0, 1.0
            self._mark_cold(node, entry.since)
        if entry.cell != node.entry.cell:
            self.cells[node.entry.cell].remove(node)
            self.cells[entry.cell] = sorted([*self.cells.get(entry.cell, ()), node], key=lambda it: it.number)
        self.ready_count += (entry.phase is Phase.READY) - node.ready
        node.entry, node.ready = entry, entry.phase is Phase.READY
        self.gone.pop(node.id, None)
        if entry.phase is Phase.GONE:
            self.gone[node.id] = node

    def _replicas(self, shard: int) -> Iterable[Node]:
        """Ready nodes of the cells that hold the shard."""
        cells = self.settings.cells
        groups = (self.cells.get((shard + j) % cells, ()) for j in range(min(self.settings.reach, cells)))
        return (node for node in chain.from_iterable(groups) if node.ready)
