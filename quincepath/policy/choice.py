"""Choice of the part that goes next and of its replica; refusal where even the best comes too late."""

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
    def _rank(self, node: Node, query: QueryState) -> Rank:
        """The design's order: least loaded first; ties by expected latency, then at random."""
        # The count is by call. While crowded, where calls cost work of their own, one begun in this round
        # that a part may join is not held against the node, up to what runs there side by side.
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
                # New connections fail while open ones serve: guards against dialling where it can be helped.
                load += DIAL_COST
        return load, expected, self.random.random()

    def _may_join(self, node: Node) -> bool:
        """Whether a send now would travel in a call begun in this round."""
        return node.call.at == self.now and node.call.parts < self.limits.batch

    def _best_replica(self, part: PartState) -> tuple[Rank, Node] | None:
        """The part's first choice; ranks are kept for the round, until a send changes them."""
        # A further try goes where the part was tried least: guards against spending all of them on one
        # replica that turns parts away faster than it can be learned.
        busy = [attempt.node for attempt in part.live]
        tried = [attempt.node for attempt in part.attempts]
        found: list[tuple[int, Rank, Node]] = []
        for node in self._replicas(part.shard):
            if node.id not in self.ranks:
                cold = self._send_delay(node, part)
                self.ranks[node.id] = None if cold else self._rank(node, part.query)
            rank = self.ranks[node.id]
            if rank is not None and node not in busy:
                found.append((tried.count(node), rank, node))
        return min(found, key=lambda choice: choice[:2])[1:] if found else None

    def _next_first_send(self, query: QueryState) -> tuple[PartState, Node] | None:
        """The unsent part whose best replica is least loaded; only what a send changed is ranked again."""
        # Parts with one home cell have the same replicas: the first of them stands for all.
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
        """Whether even the best choice is expected to finish after the target or the client's time."""
        # While crowded repeats are refused, which would keep it up; first tries have their whole time.
        if query.repeat and self._congested(query):
            return True
        mean = self._current_latency(query.kind, 1) + (
            self._current_latency(query.kind, 2) if query.spec.second_step else 0
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
        """The typical latency, scaled by what was seen here and by how the count compares to then."""
        # Failures count where most attempts fail (guards against taking a jammed replica's dead sibling for
        # a quick one; fewer would refuse all traffic), and so does a cold node's wait.
        sound = 1 - max(node.failure_share(self.now, part.query.kind) - MOSTLY_FAILING, 0.0)
        crowd = (node.calls + ASSUMED_CORES) / (node.usual_load + ASSUMED_CORES)
        return mean * node.slowdown(self.now) * crowd / sound**3 + self._send_delay(node, part)
