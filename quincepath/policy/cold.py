"""Nodes that started recently: their capacity, and what this broker may send to them."""

import math

from quincepath.policy.nodes import Node
from quincepath.policy.queries import PartState
from quincepath.policy.state import State
from quincepath.policy.tuning import COLD_CORES, COLD_SAVED_MAX, EPSILON


class ColdNodes(State):
    """Limits sends to nodes that are still warming up."""

    def _capacity_share(self, node: Node, at: int) -> float:
        """Least share of its full capacity that a node has at a time, by the ramp that the rules state."""
        age, share = (at - node.cold_from) / max(self.rules.ramp_time, 1), self.rules.cold_share
        return 1.0 if age >= 1 else share + (1 - share) * max(age, EPSILON)

    def _mark_cold(self, node: Node, since: int) -> None:
        """Record that a node started at ``since``; its bucket starts empty.

        Tokens of the time before may already be spent: guards against brokers that all restart now.
        """
        node.cold_from, node.refilled_at = since, min(since, self.now)
        node.token_fraction = (self.settings.me + int.from_bytes(node.id[-6:])) / self.settings.instances % 1
        self._refill(node, 0)
        node.tokens = 0.0

    def _refill(self, node: Node, kind: int) -> float:
        """Rule 4: refill the token bucket of a cold node and return its rate; tokens kept too long expire."""
        # Over any interval all brokers send at most the tokens earned in it and shortly before, even if some
        # restart or are idle. A token pays for the most expensive kind of part seen; the rule counts by
        # class, and a part of the second step counts like one of the first.
        work = max(
            latency.work
            for (of_kind, step), latency in self.latency.items()
            if step == 1 and (latency.seen_at or of_kind == kind)
        )
        interval, multiple = max(self.rules.overload_for, 1), max(self.rules.fall_multiple, EPSILON)
        capacity = COLD_CORES * multiple * self._capacity_share(node, (node.refilled_at + self.now) // 2)
        most = capacity * interval / (work + self.settings.call_work)  # parts of all brokers in an interval
        saved = min(math.sqrt(self.settings.instances / most), COLD_SAVED_MAX)
        rate = most * (1 - saved) / interval / self.settings.instances
        node.token_fraction, node.refilled_at = (
            node.token_fraction + rate * (self.now - node.refilled_at),
            self.now,
        )
        lifetime = interval * (saved + 1 / math.sqrt(most)) / (1 - saved)
        if node.token_fraction >= 1:
            node.tokens = min(node.tokens + int(node.token_fraction), max(rate * lifetime, 1.0))
            node.token_fraction %= 1
            node.last_token_at = self.now - node.token_fraction / rate
        node.tokens *= self.now <= node.last_token_at + lifetime
        return rate

    def _send_delay(self, node: Node, part: PartState) -> float:
        """Time until this broker may send the part to the node, if it is cold or most attempts fail there."""
        probe = self.fleet_allowance.probe_wait(self.now, node, part.query.kind)
        if self._capacity_share(node, self.now) >= 1:
            return probe
        rate = self._refill(node, part.query.kind)
        return probe if node.tokens >= 1 else max((1 - node.token_fraction) / rate, probe)
