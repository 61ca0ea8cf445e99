"""From a remote read request to an Ask: class, shards, parts, second step. Pure.

A request with several queries is one ask: it gets one answer. Each touched shard is one part, which asks
there those of the queries that touch it. Of differing classes the strictest holds for the whole request.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from quincepath.config.schema import ClassEntry, Config, module_kind
from quincepath.fronts.remote_read.matchers import MatcherError, accepts, describe
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, Query, ReadRequest, TimeSeries
from quincepath.orders import FollowUp, PartRequest
from quincepath.shards.shardmap import ShardMap, TouchedShard

UNKNOWN = "\ufffd"  # stands for a value that no map knows
SPECIAL = frozenset(r"\.+*?()|[]{}^$")


class BadRequest(ValueError):
    """The request cannot be served as it stands: 400 with this text."""


@dataclass(slots=True, frozen=True)
class PartFetch:
    """What one part asks at its shard: (index of the request's query, the query for there)."""

    queries: tuple[tuple[int, Query], ...]


PartBody = tuple[tuple[int, list[TimeSeries]], ...]  # by the same index; what a holder answered


@dataclass(slots=True, frozen=True)
class Plan:
    """A request made ready: ``parts`` may be empty, then the answer is known to be empty."""

    kind: int  # the module's position
    entry: ClassEntry
    queries: int
    parts: tuple[PartRequest, ...]
    follow: FollowUp | None
    span: int = 0  # ns, the longest time range asked for
    version: int = 1  # of the shard map that all of it is cut by
    touched: tuple[tuple[int, tuple[str, ...]], ...] = ()  # by shard, values of the shard label
    accepts: tuple[bool, bool] = (False, False)  # values that no map knows; series without the label


class Planner:
    """Built once a configuration; ``plan`` is called for each request."""

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
        """Cut by this map from the next request on. A plan that is made keeps its own: parts, second step."""
        self.map, self.version = shard_map, version

    def plan(self, request: ReadRequest) -> Plan:
        """Raises ``BadRequest`` naming the query, by its place from 1, and what is wrong with it."""
        if not request.queries:
            raise BadRequest("the request holds no query")
        if len(request.queries) > self.config.limits.max_queries:
            raise BadRequest(
                f"{len(request.queries)} queries in one request, {self.config.limits.max_queries} are allowed"
            )
        kinds = [self._check(place, query) for place, query in enumerate(request.queries, 1)]
        kind = max(kinds, key=lambda k: (self._strictness(self.config.classes[k]), -k))
        recent = self.config.classes[kind].recent // 1_000_000
        first: dict[int, list[tuple[int, Query]]] = {}
        later: dict[int, list[tuple[int, Query]]] = {}
        values: dict[int, set[str]] = {}
        unknown = bare = False
        for index, query in enumerate(request.queries):
            tests = [accepts(m) for m in query.matchers if m.name == self.map.label]
            old_end = query.end_timestamp_ms - recent
            split = recent > 0 and query.start_timestamp_ms < old_end
            unknown = unknown or all(test(UNKNOWN) for test in tests)
            for touch in self.map.touched(tests):
                values.setdefault(touch.shard.number, set()).update(touch.values)
                bare = bare or touch.unlabelled
                narrowed = self._narrowed(query, touch)
                if split:
                    older = Query()
                    older.CopyFrom(narrowed)
                    older.end_timestamp_ms = old_end - 1
                    narrowed.start_timestamp_ms = old_end
                    later.setdefault(touch.shard.number, []).append((index, older))
                first.setdefault(touch.shard.number, []).append((index, narrowed))
        follow = _follow_up(later) if later else None
        module = module_kind(self.config, kind, bool(later))
        span = max(one.end_timestamp_ms - one.start_timestamp_ms for one in request.queries) * 1_000_000
        entry, parts = self.config.classes[kind], _parts(first)
        touched = tuple((number, tuple(sorted(found))) for number, found in sorted(values.items()))
        return Plan(
            module, entry, len(request.queries), parts, follow, span, self.version, touched, (unknown, bare)
        )

    @staticmethod
    def _strictness(entry: ClassEntry) -> tuple[float, float]:
        return entry.need, entry.need if entry.floor is None else entry.floor

    def _check(self, place: int, query: Query) -> int:
        """The class of a sound query."""
        where = f"query {place}"
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
        said = ", ".join(describe(m) for m in query.matchers)
        raise BadRequest(f"{where}: no class takes {{{said}}}")

    def _narrowed(self, query: Query, touch: TouchedShard) -> Query:
        """The query as a holder gets it: where it holds other shards too, for this one's values only."""
        found = Query()
        found.CopyFrom(query)
        if touch.shard.exclusive:
            return found
        values = [*touch.values, *([""] if touch.unlabelled else [])]
        if len(values) == 1:
            found.matchers.add(type=LabelMatcher.EQ, name=self.map.label, value=values[0])
        else:
            pattern = "|".join(map(quote, values))
            found.matchers.add(type=LabelMatcher.RE, name=self.map.label, value=pattern)
        return found


def quote(text: str) -> str:
    """An RE2 expression that matches just this text."""
    return "".join("\\" + c if c in SPECIAL else c for c in text)


def _pattern_matcher(label: str, value: str) -> LabelMatcher:
    return LabelMatcher(type=LabelMatcher.RE, name=label, value=value)


def _parts(fetches: Mapping[int, list[tuple[int, Query]]]) -> tuple[PartRequest, ...]:
    return tuple(
        PartRequest(shard, 1 / len(fetches), PartFetch(tuple(queries)))
        for shard, queries in sorted(fetches.items())
    )


def _follow_up(later: Mapping[int, list[tuple[int, Query]]]) -> FollowUp:
    """The older samples, at the shards that answered with the recent ones."""

    def follow(bodies: Mapping[int, Any]) -> tuple[PartRequest, ...]:
        return _parts({shard: queries for shard, queries in later.items() if shard in bodies})

    return follow
