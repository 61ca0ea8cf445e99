"""All that one broker remembers between events; the layers above add what is decided from it."""

import random

from quincepath.interface import Action, NodeId, Settings
from quincepath.policy.budget import Allowed, AttemptBudget
from quincepath.policy.nodes import Latency, Node
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.tuning import CROWDED, SHORT_MEMORY, SPARE_MOST

Rank = tuple[int, float, float]


class State:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = random.Random(seed)
        self.now = 0
        self.out: list[Action] = []
        self.nodes: dict[NodeId, Node] = {}
        self.gone: dict[NodeId, Node] = {}  # those of them that are, and have calls out
        self.cells: dict[int, list[Node]] = {}  # in order of first news
        self.ready = self.listed = 0
        self.queries: dict[int, QueryState] = {}
        self.tried = [0] * len(settings.classes)  # open queries of each class that were not refused at once
        self.by_number: dict[int, QueryState] = {}
        self.parts: dict[int, PartState] = {}
        self.budget, self.allowed = AttemptBudget(settings), Allowed()
        targets = [spec.target for spec in settings.classes]
        self.latency = {(kind, step): Latency(aim) for kind, aim in enumerate(targets) for step in (1, 2)}
        self.asked = False
        self.full_try: dict[int, int] = {}  # by class, the most time that a client gave a try
        self.full_at: dict[int, int] = {}  # by class, when a client last gave the target or more
        self.short_at = -SHORT_MEMORY
        self.newest = self.latency[0, 1]  # of the kind of part that was in last
        self.first_send = self.sends = 0
        self.spare = SPARE_MOST
        self.refused = self.refused_at = 0
        self.crash_at = self.dial_failed_at = -SHORT_MEMORY
        self.ranks: dict[NodeId, Rank | None] = {}  # of one round; none where a node is too cold
        self.stale: set[int] = set()  # home cells whose first unsent part has to be ranked
        self.candidates: list[tuple[Rank, int, NodeId]] = []  # heap: parts by index, each with its choice
        self.culprits: dict[int, int] = {}  # keys of poisoned queries, and when they were last seen

    def _typical(self, query: QueryState) -> Latency:
        return self.latency[query.kind, query.step]

    def _crowded(self, query: QueryState) -> bool:
        return self._news(query.kind, query.step) > CROWDED * self._typical(query).base

    def _news(self, kind: int, step: int) -> float:
        """A class's typical latency now: without a part for long, moved as that of the class last seen."""
        latency = self.latency[kind, step]
        if self.newest.seen_at <= latency.seen_at + latency.target:
            return latency.mean
        return latency.base * self.newest.mean / self.newest.base
