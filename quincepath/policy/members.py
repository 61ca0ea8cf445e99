"""The node list: what it tells, when to ask for it, and who holds a shard."""

from collections.abc import Iterable
from itertools import chain

from quincepath.interface import Entry, Members, Phase, Scope, SetTimer, Watch
from quincepath.policy.cold import ColdNodes
from quincepath.policy.nodes import Node
from quincepath.policy.tuning import LIST_TOKEN, REASK_LIMIT, REASK_SHARE


class NodeList(ColdNodes):
    def _members(self, event: Members) -> None:
        if self.settings.must_ask and not self.asked:
            self.asked = True
            self.out.append(Watch(True))
        if event.scope is Scope.FAILED:
            # At times of each broker's own: guards against all failing in step again at a small list service.
            pause = (self.rules.must_ask_in or REASK_LIMIT) * REASK_SHARE * (0.5 + self.random.random())
            self.out.append(SetTimer(self.now + int(pause), LIST_TOKEN))
            return
        if event.scope is not Scope.DELTA:
            named = dict.fromkeys(entry.node for entry in event.entries)
            for node in self.nodes.values():
                if node.id not in named:
                    node.entry = Entry(node.id, 0, node.entry.zone, node.entry.cell, 0, Phase.GONE, 0.0)
        for entry in event.entries:
            self._learn_entry(entry)
        self.cells, self.ready = {}, 0
        for node in list(self.nodes.values()):
            if node.entry.phase is Phase.READY:
                self.cells.setdefault(node.entry.cell, []).append(node)
                self.ready += 1
            elif node.entry.phase is Phase.GONE and not node.calls:
                del self.nodes[node.id]

    def _learn_entry(self, entry: Entry) -> None:
        node = self.nodes.get(entry.node)
        if node is None:
            node = self.nodes[entry.node] = Node(entry)
            if entry.since:
                self._chill(node, entry.since)
        elif entry.since > max(node.cold_from, 0):
            # A restart, ready or not yet: what was out there is lost, and what was learned of it is void.
            node.faults, node.failures, node.ratio = {}, 0, 1.0
            self._chill(node, entry.since)
        node.entry = entry

    def _replicas(self, shard: int) -> Iterable[Node]:
        cells = self.settings.cells
        held = (self.cells.get((shard + j) % cells, ()) for j in range(min(self.settings.reach, cells)))
        return chain.from_iterable(held)
