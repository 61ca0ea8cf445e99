"""Choice of the next part and its replica; admission, which refuses queries that would finish too late."""

import math
from heapq import heappop, heappush

from quincepath.interface import Log
from quincepath.policy.members import NodeList
from quincepath.policy.nodes import Node
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.state import Rank
from quincepath.policy.tuning import (
    ADMISSION_SHARE,
    ASSUMED_CORES,
    DIAL_COST,
    MOSTLY_FAILING,
    NEW_CONNECTION_FACTOR,
    OVERLOAD_END_AFTER,
    SIGNAL_TTL,
    ZONE_COST,
)


class ReplicaChoice(NodeList):
    """Ranks replicas and admits queries."""

    def _rank(self, node: Node, query: QueryState) -> Rank:
        """Order of replicas: the least loaded first; ties by expected latency, then at random."""
        # Load counts calls. Where calls cost work of their own, a call begun in this round that a part may
        # join is not counted against the node while the class is congested, up to the number of parts that
        # run there concurrently.
        typical = self._typical(query)
        expected = max(
            node.slowdown(self.now),
            typical.baseline / typical.mean / self._capacity_share(node, self.now),
            1.0,
        )
        load = node.load(self.now, query.kind)
        if self._may_join(node) and node.call.parts < ASSUMED_CORES and self._congested(query):
            load -= bool(self.settings.call_work)
            expected /= 1 + self.settings.call_work / typical.baseline
        if node.entry.zone != self.settings.zone:
            expected *= 1 + ZONE_COST * self.settings.cross_zone_charge
        if self.now > node.last_reply_at + self.limits.idle_close:
            expected *= NEW_CONNECTION_FACTOR
            if self.now < self.dial_failed_at + SIGNAL_TTL:
                # New connections fail while open ones work: guards against dialling where it can be avoided.
                load += DIAL_COST
        return load, expected, self.random.random()

    def _may_join(self, node: Node) -> bool:
        """Whether a part sent now would be batched into a call begun in this round."""
        return node.call.at == self.now and node.call.parts < self.limits.batch

    def _best_replica(self, part: PartState) -> tuple[Rank, Node] | None:
        """The part's best replica; ranks are kept for the round, until a send changes them."""
        # A further attempt goes to a replica with the fewest attempts of this part: guards against using all
        # of them on one replica that rejects parts faster than that can be learned.
        busy = [attempt.node for attempt in part.live]
        tried = [attempt.node for attempt in part.attempts]
        found: list[tuple[int, Rank, Node]] = []
        for node in self._replicas(part.shard):
            if node.id not in self.ranks:
                delay = self._send_delay(node, part)
                self.ranks[node.id] = None if delay else self._rank(node, part.query)
            rank = self.ranks[node.id]
            if rank is not None and node not in busy:
                found.append((tried.count(node), rank, node))
        return min(found, key=lambda choice: choice[:2])[1:] if found else None

    def _next_first_send(self, query: QueryState) -> tuple[PartState, Node] | None:
        """The unsent part whose best replica is least loaded; only what a send changed is ranked again."""
        # Parts with one home cell have the same replicas, so only the first of them is ranked.
        first = [query.unsent[home][0] for home in self.stale if home in query.unsent]
        self.stale.clear()
        for part in sorted(first, key=lambda part: part.index):
            found = self._best_replica(part)
            if found is not None:
                heappush(self.candidates, (found[0], part.index, found[1].id))
        while self.candidates:
            rank, index, node = self.candidates[0]
            if not query.parts[index].attempts and self.ranks.get(node) is rank:
                return query.parts[index], self.nodes[node]
            heappop(self.candidates)
        return None

    def _record_refusal(self) -> None:
        if not self.refused:
            self.actions.append(
                Log("overload begun: refusing queries that are not expected to finish in time")
            )
        self.refused += 1
        self.refused_at = self.now

    def _log_overload_end(self) -> None:
        if self.refused and self.now - self.refused_at > OVERLOAD_END_AFTER:
            self.actions.append(Log(f"overload ended: {self.refused} queries refused"))
            self.refused = 0

    def _expected_too_late(self, query: QueryState) -> bool:
        """Whether even the best replicas would answer after the target or after the client's time."""
        # While congested all retries are refused, since they would sustain the congestion; a first request
        # has its whole time.
        if query.repeat and self._congested(query):
            return True
        mean = self._latency_now(query.kind, 1) + (
            self._latency_now(query.kind, 2) if query.spec.second_step else 0
        )
        finish = []
        for part in query.parts:
            times = (self._expected_wait(n, part, mean) for n in self._replicas(part.shard))
            finish.append((min(times, default=math.inf), part.weight))
        covered, slowest = 0.0, 0.0
        for time, weight in sorted(finish):
            if covered < query.floor():
                covered, slowest = covered + weight, time
        until = query.end if self.now >= query.target_at else min(query.target_at, query.end)
        return slowest > ADMISSION_SHARE * (until - self.now)

    def _expected_wait(self, node: Node, part: PartState, mean: float) -> float:
        """Typical latency, scaled by the node's slowdown and by its load relative to the usual one."""
        # Failures count only where most attempts fail: guards against taking the dead sibling of a jammed
        # replica for a quick one, while counting fewer failures would refuse all traffic. The wait for a cold
        # node counts, too.
        healthy = 1 - max(node.failure_share(self.now, part.query.kind) - MOSTLY_FAILING, 0.0)
        relative_load = (node.calls + ASSUMED_CORES) / (node.usual_load + ASSUMED_CORES)
        return mean * node.slowdown(self.now) * relative_load / healthy**3 + self._send_delay(node, part)
