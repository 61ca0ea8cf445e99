"""All that one broker remembers between events; the layers above add what is decided from it."""

import random

from quincepath.interface import Action, NodeId, Settings
from quincepath.policy.budget import AttemptBudget, FleetAllowance
from quincepath.policy.nodes import Latency, Node
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.tuning import CONGESTION_FACTOR, HEDGE_TOKENS_MAX, SIGNAL_TTL

Rank = tuple[int, float, float]


class State:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.nodes: dict[NodeId, Node] = {}
        self.gone: dict[NodeId, Node] = {}  # those of them that are, and have calls out
        self.cells: dict[int, list[Node]] = {}  # in order of first news
        self.ready_count = self.nodes_listed = 0
        self.queries: dict[int, QueryState] = {}
        self.admitted = [0] * len(
            settings.classes
        )  # open queries of each class that were not refused at once
        self.by_number: dict[int, QueryState] = {}
        self.parts: dict[int, PartState] = {}
        self.budget, self.fleet_allowance = AttemptBudget(settings), FleetAllowance()
        targets = [spec.target for spec in settings.classes]
        self.latency = {
            (kind, step): Latency(target) for kind, target in enumerate(targets) for step in (1, 2)
        }
        self.subscribed = False
        self.longest_timeout: dict[int, int] = {}  # by class, the most time that a client gave a try
        self.full_timeout_at: dict[int, int] = {}  # by class, when a client last gave the target or more
        self.short_timeout_at = -SIGNAL_TTL
        self.last_updated = self.latency[0, 1]  # of the kind of part that was in last
        self.first_sent_at = self.sends = 0
        self.hedge_tokens = HEDGE_TOKENS_MAX
        self.refused = self.refused_at = 0
        self.connection_lost_at = self.dial_failed_at = -SIGNAL_TTL
        self.ranks: dict[NodeId, Rank | None] = {}  # of one round; none where a node is too cold
        self.stale: set[int] = set()  # home cells whose first unsent part has to be ranked
        self.candidates: list[tuple[Rank, int, NodeId]] = []  # heap: parts by index, each with its choice
        self.poison_keys: dict[int, int] = {}  # keys of poisoned queries, and when they were last seen

    def _typical(self, query: QueryState) -> Latency:
        return self.latency[query.kind, query.step]

    def _congested(self, query: QueryState) -> bool:
        return (
            self._current_latency(query.kind, query.step) > CONGESTION_FACTOR * self._typical(query).baseline
        )

    def _current_latency(self, kind: int, step: int) -> float:
        """A class's typical latency now: without a part for long, moved as that of the class last seen."""
        latency = self.latency[kind, step]
        if self.last_updated.seen_at <= latency.seen_at + latency.target:
            return latency.mean
        return latency.baseline * self.last_updated.mean / self.last_updated.baseline
