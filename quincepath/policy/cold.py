"""Nodes that started a short while ago: how warm each is, and what this broker may send it."""

import math

from quincepath.policy.nodes import Node
from quincepath.policy.queries import PartState
from quincepath.policy.state import State
from quincepath.policy.tuning import COLD_CORES, COLD_SAVED_MAX, EPSILON


class ColdNodes(State):
    def _capacity_share(self, node: Node, at: int) -> float:
        """Least share of its capacity that a node has then, by the stated ramp."""
        age, share = (at - node.cold_from) / max(self.rules.ramp_time, 1), self.rules.cold_share
        return 1.0 if age >= 1 else share + (1 - share) * max(age, EPSILON)

    def _mark_cold(self, node: Node, since: int) -> None:
        """It started then. Tokens of before now may be spent: guards against brokers that all restart now."""
        node.cold_from, node.refilled_at = since, min(since, self.now)
        node.token_fraction = (self.settings.me + int.from_bytes(node.id[-6:])) / self.settings.instances % 1
        self._refill(node, 0)
        node.tokens = 0.0

    def _refill(self, node: Node, kind: int) -> float:
        """Rule 4: a token bucket for parts to a cold node; returns its rate. One held too long is lost."""
        # Over any interval all brokers send what came in it and shortly before, whoever restarts or rests.
        # A token pays for the dearest part met; the rule counts by class, a second step's like a first's.
        work = max(x.work for (of, at), x in self.latency.items() if at == 1 and (x.seen_at or of == kind))
        over, multiple = max(self.rules.overload_for, 1), max(self.rules.fall_multiple, EPSILON)
        flow = COLD_CORES * multiple * self._capacity_share(node, (node.refilled_at + self.now) // 2)
        most = flow * over / (work + self.settings.call_work)  # of all brokers, in an interval
        held = min(math.sqrt(self.settings.instances / most), COLD_SAVED_MAX)
        rate = most * (1 - held) / over / self.settings.instances
        node.token_fraction, node.refilled_at = (
            node.token_fraction + rate * (self.now - node.refilled_at),
            self.now,
        )
        hold = over * (held + 1 / math.sqrt(most)) / (1 - held)
        if node.token_fraction >= 1:
            node.tokens = min(node.tokens + int(node.token_fraction), max(rate * hold, 1.0))
            node.token_fraction %= 1
            node.last_token_at = self.now - node.token_fraction / rate
        node.tokens *= self.now <= node.last_token_at + hold
        return rate

    def _send_delay(self, node: Node, part: PartState) -> float:
        """How long until this broker may send a cold node the part, or try again where most attempts fail."""
        trial = self.fleet_allowance.probe_wait(self.now, node, part.query.kind)
        if self._capacity_share(node, self.now) >= 1:
            return trial
        rate = self._refill(node, part.query.kind)
        return trial if node.tokens >= 1 else max((1 - node.token_fraction) / rate, trial)
