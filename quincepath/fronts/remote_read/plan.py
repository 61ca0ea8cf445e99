"""Plans a remote read request: class, shards, parts, second step. Pure.

A request with several queries is one ask and gets one answer. Each touched shard is one part, which carries
the queries that touch it. If the queries differ in class, the strictest class applies to the whole request.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from quincepath.config.schema import ClassEntry, Config, module_kind
from quincepath.fronts.remote_read.matchers import MatcherError, accepts, describe
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, Query, ReadRequest, TimeSeries
from quincepath.orders import FollowUp, PartRequest
from quincepath.shards.shardmap import ShardMap, TouchedShard

UNLISTED_VALUE = "\ufffd"  # stands for a label value that no shard map lists
RE2_SPECIAL_CHARS = frozenset(r"\.+*?()|[]{}^$")


class BadRequest(ValueError):
    """The request is invalid: answered with 400 and this message."""


@dataclass(slots=True, frozen=True)
class PartFetch:
    """The queries of one part: (index of the query in the request, the query narrowed to the shard)."""

    queries: tuple[tuple[int, Query], ...]


PartBody = tuple[tuple[int, list[TimeSeries]], ...]  # series from a holder, by the same index


@dataclass(slots=True, frozen=True)
class Plan:
    """A planned request; if ``parts`` is empty, the answer is known to be empty."""

    kind: int  # position of the class in the module's settings
    entry: ClassEntry
    queries: int
    parts: tuple[PartRequest, ...]
    follow: FollowUp | None
    span: int = 0  # ns, the longest time range asked for
    version: int = 1  # of the shard map that the whole plan uses
    touched: tuple[tuple[int, tuple[str, ...]], ...] = ()  # values of the shard label, by shard
    accepts: tuple[bool, bool] = (False, False)  # unlisted values; series without the label


class Planner:
    """Built once for a configuration; ``plan`` is called for each request."""

    def __init__(self, config: Config, shard_map: ShardMap) -> None:
        self.config, self.map, self.version = config, shard_map, 1
        self._rules = [
            [
                (rule.label, rule.type, accepts(_pattern_matcher(rule.label, rule.value)))
                for rule in entry.when
            ]
            for entry in config.classes
        ]

    def use(self, shard_map: ShardMap, version: int) -> None:
        """Plan by this map from the next request on. Existing plans keep theirs for parts and second step."""
        self.map, self.version = shard_map, version

    def plan(self, request: ReadRequest) -> Plan:
        """Raises ``BadRequest`` that names the query by its position, from 1, and what is wrong with it."""
        if not request.queries:
            raise BadRequest("the request holds no query")
        if len(request.queries) > self.config.limits.max_queries:
            raise BadRequest(
                f"{len(request.queries)} queries in one request, {self.config.limits.max_queries} are allowed"
            )
        kinds = [self._check(position, query) for position, query in enumerate(request.queries, 1)]
        kind = max(kinds, key=lambda k: (self._strictness(self.config.classes[k]), -k))
        recent = self.config.classes[kind].recent // 1_000_000
        recent_queries: dict[int, list[tuple[int, Query]]] = {}
        older_queries: dict[int, list[tuple[int, Query]]] = {}
        values: dict[int, set[str]] = {}
        unlisted = unlabelled = False
        for index, query in enumerate(request.queries):
            tests = [accepts(m) for m in query.matchers if m.name == self.map.label]
            old_end = query.end_timestamp_ms - recent
            split = recent > 0 and query.start_timestamp_ms < old_end
            unlisted = unlisted or all(test(UNLISTED_VALUE) for test in tests)
            for touch in self.map.touched(tests):
                values.setdefault(touch.shard.number, set()).update(touch.values)
                unlabelled = unlabelled or touch.unlabelled
                narrowed = self._narrowed(query, touch)
                if split:
                    older = Query()
                    older.CopyFrom(narrowed)
                    older.end_timestamp_ms = old_end - 1
                    narrowed.start_timestamp_ms = old_end
                    older_queries.setdefault(touch.shard.number, []).append((index, older))
                recent_queries.setdefault(touch.shard.number, []).append((index, narrowed))
        follow = _follow_up(older_queries) if older_queries else None
        module = module_kind(self.config, kind, bool(older_queries))
        span = max(one.end_timestamp_ms - one.start_timestamp_ms for one in request.queries) * 1_000_000
        entry, parts = self.config.classes[kind], _parts(recent_queries)
        touched = tuple((number, tuple(sorted(labels))) for number, labels in sorted(values.items()))
        return Plan(
            module,
            entry,
            len(request.queries),
            parts,
            follow,
            span,
            self.version,
            touched,
            (unlisted, unlabelled),
        )

    @staticmethod
    def _strictness(entry: ClassEntry) -> tuple[float, float]:
        return entry.need, entry.need if entry.floor is None else entry.floor

    def _check(self, position: int, query: Query) -> int:
        """Check a query and return its class."""
        where = f"query {position}"
        if query.start_timestamp_ms > query.end_timestamp_ms:
            raise BadRequest(
                f"{where}: starts at {query.start_timestamp_ms} ms, after its end {query.end_timestamp_ms} ms"
            )
        if not query.matchers:
            raise BadRequest(f"{where}: no matchers: it would read everything")
        for matcher in query.matchers:
            if not matcher.name:
                raise BadRequest(f"{where}: a matcher without a label name")
            try:
                accepts(matcher)
            except MatcherError as error:
                raise BadRequest(f"{where}: {error}") from None
        for kind, rules in enumerate(self._rules):
            if all(
                any(
                    m.name == label and wanted in (LabelMatcher.Type.Name(m.type), "any") and test(m.value)
                    for m in query.matchers
                )
                for label, wanted, test in rules
            ):
                return kind
        described = ", ".join(describe(m) for m in query.matchers)
        raise BadRequest(f"{where}: no class takes {{{described}}}")

    def _narrowed(self, query: Query, touch: TouchedShard) -> Query:
        """The query for a holder: if it has other shards too, restricted to the values of this shard."""
        narrowed = Query()
        narrowed.CopyFrom(query)
        if touch.shard.exclusive:
            return narrowed
        values = [*touch.values, *([""] if touch.unlabelled else [])]
        if len(values) == 1:
            narrowed.matchers.add(type=LabelMatcher.EQ, name=self.map.label, value=values[0])
        else:
            pattern = "|".join(map(quote, values))
            narrowed.matchers.add(type=LabelMatcher.RE, name=self.map.label, value=pattern)
        return narrowed


def quote(text: str) -> str:
    """An RE2 expression that matches exactly this text."""
    return "".join("\\" + c if c in RE2_SPECIAL_CHARS else c for c in text)


def _pattern_matcher(label: str, value: str) -> LabelMatcher:
    return LabelMatcher(type=LabelMatcher.RE, name=label, value=value)


def _parts(fetches: Mapping[int, list[tuple[int, Query]]]) -> tuple[PartRequest, ...]:
    return tuple(
        PartRequest(shard, 1 / len(fetches), PartFetch(tuple(queries)))
        for shard, queries in sorted(fetches.items())
    )


def _follow_up(older_queries: Mapping[int, list[tuple[int, Query]]]) -> FollowUp:
    """The second step: fetches older samples from the shards that returned recent ones."""

    def follow(bodies: Mapping[int, Any]) -> tuple[PartRequest, ...]:
        return _parts({shard: queries for shard, queries in older_queries.items() if shard in bodies})

    return follow
