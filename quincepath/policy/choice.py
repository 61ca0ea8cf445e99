"""Choice of the replica for a part."""

from quincepath.policy.members import NodeList
from quincepath.policy.nodes import Node
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.state import Rank
from quincepath.policy.tuning import CORES_GUESS, DIAL_COST, DIAL_MEMORY, NEW_CONNECTION, ZONE_COST


class ReplicaChoice(NodeList):
    def _rank(self, node: Node, query: QueryState) -> Rank:
        """The design's order: least loaded first; ties by expected latency, then at random.

        The count is by call. While crowded, where calls cost work of their own, one begun in this round that
        a part may join is not held against the node, up to what runs there side by side.
        """
        typical = self._typical(query)
        expected = max(node.speed(self.now), typical.base / typical.mean / self._warmth(node, self.now), 1.0)
        load = node.load(self.now, query.kind)
        if node.call and self._may_join(node) and node.call.parts < CORES_GUESS and self._crowded(query):
            load -= bool(self.settings.call_work)
            expected /= 1 + self.settings.call_work / typical.base
        if node.entry.zone != self.settings.zone:
            expected *= 1 + ZONE_COST * self.settings.cross_zone_charge
        if self.now > node.heard + self.limits.idle_close:
            expected *= NEW_CONNECTION
            if self.now < self.dial_failed_at + DIAL_MEMORY:
                # New connections fail while open ones serve: guards against dialling where it can be helped.
                load += DIAL_COST
        return load, expected, self.random.random()

    def _may_join(self, node: Node) -> bool:
        """Whether a send now would travel in a call begun in this round."""
        return node.call is not None and node.call.at == self.now and node.call.parts < self.limits.batch

    def _best_replica(self, part: PartState) -> tuple[Rank, Node] | None:
        """The part's first choice; ranks are kept for the round, until a send changes them.

        A further try goes where the part was tried least: guards against spending all of them on one replica
        that turns parts away faster than it can be learned.
        """
        busy = [attempt.node for attempt in part.live]
        tried = [attempt.node for attempt in part.attempts]
        best: tuple[tuple[int, Rank], Node] | None = None
        for node in self._replicas(part.shard):
            if node.id not in self.ranks:
                cold = self._cold_wait(node, part)
                self.ranks[node.id] = None if cold else self._rank(node, part.query)
            rank = self.ranks[node.id]
            if rank is not None and node not in busy:
                key = tried.count(node), rank
                best = (key, node) if best is None or key < best[0] else best
        return None if best is None else (best[0][1], best[1])
