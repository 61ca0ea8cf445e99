"""The state that one broker keeps between events; the classes built on it add the decisions."""

import random

from quincepath.interface import Action, NodeId, Settings
from quincepath.policy.budget import AttemptBudget, FleetAllowance
from quincepath.policy.nodes import Latency, Node
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.tuning import CONGESTION_FACTOR, HEDGE_TOKENS_MAX, SIGNAL_TTL

Rank = tuple[int, float, float]  # load, expected latency, random tie-break


class State:
    """Nodes, open queries, learned latencies and budgets of one broker."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.nodes: dict[NodeId, Node] = {}
        self.gone: dict[NodeId, Node] = {}  # nodes listed as gone, kept while they have calls open
        self.cells: dict[int, list[Node]] = {}  # nodes in the order in which they were first listed
        self.ready_count = self.nodes_listed = 0
        self.queries: dict[int, QueryState] = {}
        # By class, open queries that were not refused at once.
        self.admitted = [0] * len(settings.classes)
        self.by_number: dict[int, QueryState] = {}
        self.parts: dict[int, PartState] = {}
        self.budget, self.fleet_allowance = AttemptBudget(settings), FleetAllowance()
        targets = [spec.target for spec in settings.classes]
        self.latency = {(kind, step): Latency(time) for kind, time in enumerate(targets) for step in (1, 2)}
        self.subscribed = False
        self.longest_timeout: dict[int, int] = {}  # by class, the most time that a client gave a request
        self.full_timeout_at: dict[int, int] = {}  # by class, when a client last gave the target or more
        self.short_timeout_at = -SIGNAL_TTL  # when a first request last came with less than the longest one
        self.last_updated = self.latency[0, 1]  # of the kind of part that was answered last
        self.first_sent_at = self.sends = 0
        self.hedge_tokens = HEDGE_TOKENS_MAX
        self.refused = self.refused_at = 0  # queries refused in this overload, and when the last one was
        self.connection_lost_at = self.dial_failed_at = -SIGNAL_TTL
        # Of one round: the rank of each node (None where nothing may be sent yet), home cells whose first
        # unsent part has to be ranked, and a heap of ranked parts, by index, with their best node.
        self.ranks: dict[NodeId, Rank | None] = {}
        self.stale: set[int] = set()
        self.candidates: list[tuple[Rank, int, NodeId]] = []
        self.poison_keys: dict[int, int] = {}  # keys of poison queries, and when each was last recorded

    def _typical(self, query: QueryState) -> Latency:
        return self.latency[query.kind, query.step]

    def _congested(self, query: QueryState) -> bool:
        return self._latency_now(query.kind, query.step) > CONGESTION_FACTOR * self._typical(query).baseline

    def _latency_now(self, kind: int, step: int) -> float:
        """Typical latency of a class; without recent replies it is scaled like the class answered last."""
        latency = self.latency[kind, step]
        if self.last_updated.seen_at <= latency.seen_at + latency.target:
            return latency.mean
        return latency.baseline * self.last_updated.mean / self.last_updated.baseline
