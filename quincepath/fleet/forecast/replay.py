"""A sample replayed through a new map: the figures that it will have, each with a 90% bar. Pure.

The bar is by bootstrap over the footprints (Poisson weights), made wider by what chance does to the measured
figure itself (``measured`` queries), by the unevenness inside a set, and by the stored factor of its kind.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

from quincepath.fleet.forecast.footprints import Sample
from quincepath.fleet.forecast.projection import Array, Cut, by_query, cut, own, unseen, weights_of
from quincepath.fleet.forecast.tail import Late, Queues, learn
from quincepath.fleet.forecast.types import (
    Environment,
    Figure,
    FigureKey,
    FigureKind,
    Forecast,
    ReplaySettings,
)
from quincepath.shards.versions import MapVersion

SECOND = 1e9
HALF = 1.645  # deviations of a normal to each side that hold 90%
RULE = 3.0  # of three: with none seen among n, the share is below 3 / n in 95% of the cases
PRIOR = 1.0  # misses added to both sides where the model is held against the sample


@dataclass(slots=True)
class Fixed:
    """By class: the fixed share of a part's cost, for each draw: (draws, classes)."""

    service: Array
    merged: Array


class Replay:
    """One replay. Rows of draws: row 0 has weight 1 for each footprint, the others are the bootstrap's."""

    def __init__(
        self,
        sample: Sample,
        before: MapVersion,
        after: MapVersion,
        environment: Environment,
        settings: ReplaySettings,
    ) -> None:  # fmt: skip
        self.footprints = [sample.footprints[place] for place in sorted(sample.footprints)]
        self.sample, self.environment, self.settings, self.after = sample, environment, settings, after
        self.n = len(self.footprints)
        self.kinds = sorted({one.kind for one in self.footprints})
        self.kind = np.array([self.kinds.index(one.kind) for one in self.footprints], dtype=np.int64)
        weights = weights_of(self.footprints)
        self.new = cut(self.footprints, after, weights)
        self.old = cut(self.footprints, before, weights)
        self.unseen = unseen(after, before, self.footprints)
        rng = np.random.default_rng(settings.seed)
        draws = rng.poisson(1.0, (settings.draws, self.n)).astype(np.float64)
        draws[draws.sum(axis=1) == 0] = 1.0
        self.draws = np.vstack([np.ones(self.n), draws])
        spent = max(1, sample.until - sample.since)
        self.queries = sample.total * environment.of / max(1, environment.heard)
        self.measured = settings.measured_queries or self.queries
        # Of the rate, in a window as long: the chance of both counts of queries, drawn once for all figures.
        noise = rng.standard_normal(len(self.draws)) * np.sqrt(
            1 / max(1.0, self.queries) + 1 / max(1.0, self.measured)
        )
        noise[0] = 0.0
        self.rate = self.queries * SECOND / spent * np.maximum(0.0, 1 + noise)
        self.spent, self.horizon = float(spent), spent * self.measured / max(1.0, self.queries)
        self.stretch = float(np.sqrt(1 + self.n / max(1.0, self.measured)))
        self.fixed = self._fixed()

    def _fixed(self) -> Fixed:
        """Least squares of cost = a + b * values over the parts as they were, by class and draw; 0 <= a <=
        mean.
        """
        rows = [
            (index, len(part.values) + part.more, part.service, part.merged)
            for index, one in enumerate(self.footprints)
            for part in one.parts
        ]
        table = np.array(rows, dtype=np.float64).reshape(-1, 4)
        query, m, service, merged = table[:, 0].astype(np.int64), table[:, 1], table[:, 2], table[:, 3]
        columns = (np.ones_like(m), m, service, merged, m * m, m * service, m * merged)
        sums = np.hstack([by_query(column, query, self.n) for column in columns])
        found = []
        for index in range(len(self.kinds)):
            mine = self.kind == index
            one, x, s, b, xx, xs, xb = (self.draws[:, mine] @ sums[mine]).T
            one = np.maximum(one, 1.0)
            spread = xx - x * x / one
            varied = spread > 1e-6 * np.maximum(xx, 1.0)
            fits = []
            for y, xy in ((s, xs), (b, xb)):
                slope = np.where(
                    varied, (xy - x * y / one) / np.where(varied, spread, 1.0), y / np.maximum(x, 1.0)
                )
                fits.append(np.clip((y - slope * x) / one, 0.0, y / one))
            found.append(fits)
        fixed = np.array(found).reshape(len(self.kinds), 2, len(self.draws))
        return Fixed(fixed[:, 0].T, fixed[:, 1].T)

    def _mean(self, cuts: Cut, rows: Array, spare: Array | None, fixed: Array | None, groups: bool) -> Array:
        """Of rows, the mean a query by draw: (draws, sets), or (draws, 1) without ``groups``."""
        group, many = (cuts.group, len(cuts.sets)) if groups else (None, 1)
        total = self.draws @ by_query(rows, cuts.query, self.n, group, many)
        if spare is not None and fixed is not None:
            for index in range(len(self.kinds)):
                mine = np.where(self.kind[cuts.query] == index, spare, 0.0)
                total += (self.draws @ by_query(mine, cuts.query, self.n, group, many)) * fixed[
                    :, index : index + 1
                ]
        return self._stretched(total / self.draws.sum(axis=1, keepdims=True))

    def _stretched(self, values: Array) -> Array:
        return np.asarray(np.maximum(0.0, values[:1] + (values - values[:1]) * self.stretch))

    def calls(self, cuts: Cut) -> Array:
        """Calls a second at a set, by draw."""
        return np.asarray(self._mean(cuts, cuts.calls, None, None, True) * self.rate[:, None])

    def work(self, cuts: Cut) -> Array:
        """Busy slots of a set, by draw."""
        calls = cuts.calls
        rows = self._mean(cuts, cuts.service * calls, cuts.spare * calls, self.fixed.service, True)
        return np.asarray(rows * self.rate[:, None] / SECOND)

    def merged(self, kind: int | None) -> Array:
        """Bytes a second, by draw, of a class or of all."""
        mine = np.ones(len(self.new.query)) if kind is None else (self.kind[self.new.query] == kind) * 1.0
        rows = self._mean(self.new, self.new.merged * mine, self.new.spare * mine, self.fixed.merged, False)
        return np.asarray(rows[:, 0] * self.rate)

    def parts(self, kind: int) -> Array:
        """Parts a query of a class, by draw."""
        mine = np.where(self.kind == kind, 1.0, 0.0)
        count = self.draws @ mine
        value = (self.draws @ (mine * self.new.parts)) / np.maximum(count, 1.0)
        value = np.where(count > 0, value, value[0])[:, None]
        return np.asarray(self._stretched(value)[:, 0])

    def servers(self, sets: Sequence[str], holders: Mapping[str, int]) -> Array:
        """Slots of each replica set: its nodes, at least one, times the slots of a node."""
        every = [max(1, holders.get(name, self.environment.holders_else)) for name in sets]
        return np.array(every, dtype=np.float64) * self.environment.slots

    def queues(
        self, cuts: Cut, holders: Mapping[str, int], work: Array, horizon: float
    ) -> tuple[Queues, Array]:
        """The sets as queues, and what each row's service is (ns, with row 0's fixed share)."""
        service = cuts.service + cuts.spare * self.fixed.service[0][self.kind[cuts.query]]
        count = np.bincount(cuts.group, minlength=len(cuts.sets))
        mean = np.bincount(cuts.group, weights=service, minlength=len(cuts.sets)) / np.maximum(count, 1)
        square = np.bincount(cuts.group, weights=service**2, minlength=len(cuts.sets)) / np.maximum(count, 1)
        spread = np.where(mean > 0, square / np.maximum(2 * mean**2, 1e-9), 1.0)
        servers = self.servers(cuts.sets, holders)
        return Queues(servers, work / servers, np.maximum(mean, 1.0), spread, horizon), service

    def late(self, queues: Queues, cuts: Cut, service: Array, slow: float, rest: float) -> Late:
        """Chance to miss by footprint, for each load of ``queues``."""
        left = np.array([one.target - own(one) for one in self.footprints], dtype=np.float64)[cuts.query]
        chance, growing = queues.beyond(left - service - rest, cuts.group, slow)
        kept = np.log1p(-np.minimum(chance, 1 - 1e-12))
        found = np.zeros((*chance.shape[:-1], self.n))
        starts = np.flatnonzero(np.diff(cuts.query, prepend=-1))
        if len(starts):
            alone = 1 - np.exp(np.add.reduceat(kept, starts, axis=-1))
            together = np.maximum.reduceat(growing, starts, axis=-1)
            found[..., cuts.query[starts]] = 1 - (1 - alone) * (1 - together)
        by_set = np.bincount(cuts.group, weights=(chance + growing)[0], minlength=len(cuts.sets))
        burst = float((by_set * queues.bursts(slow)[0]).sum() / max(1e-12, by_set.sum()))
        return Late(found, burst / queues.horizon)

    def misses(self, work: Array) -> dict[str, tuple[Array, float]]:
        """By class and "" for all: the share that misses by draw, and the variance of its logarithm since
        late queries come in bursts.

        The odds of each class are corrected by what the model makes of the map in force against what the
        sample saw there, by draw: (seen + ``PRIOR``) / (modelled + ``PRIOR``).
        """
        before = self.environment.holders_before or self.environment.holders
        old, service_old = self.queues(self.old, before, self.work(self.old), self.spent)
        waits, excess = old.waits()[0, self.old.group], self._excess(self.old)
        known = np.isfinite(excess)
        slow, rest = learn(excess[known], waits[known])
        new, service = self.queues(self.new, self.environment.holders, work, self.horizon)
        late = self.late(new, self.new, service, slow, rest)
        modelled = self.late(old, self.old, service_old, slow, rest)
        missed = np.array([one.took > one.target for one in self.footprints], dtype=np.float64)
        for index in range(len(self.kinds)):
            of = np.flatnonzero(self.kind == index)
            draws, chance = self.draws[:, of], late.chance[:, of]
            seen, told = draws @ missed[of], (draws * modelled.chance[:, of]).sum(axis=1)
            odds = chance / np.maximum(1 - chance, 1e-12) * ((seen + PRIOR) / (told + PRIOR))[:, None]
            late.chance[:, of] = odds / (1 + odds)
        found = {}
        for name, mine in self._classes():
            count = np.maximum((self.draws * mine).sum(axis=1), 1e-9)
            share = (self.draws * mine * late.chance).sum(axis=1) / count
            hits = float((missed * mine).sum())
            # Bursts come at random and each has an exponential length: of n of them the variance is 2 / n.
            spread = 2 * late.burst * (1 - share[0]) / max(float(share[0]), 1e-9)
            if hits:
                spread += 2 * modelled.burst * float(count[0]) / hits * (hits / (hits + PRIOR)) ** 2
            found[name] = (share, float(np.log1p(spread)))
        return found

    def _excess(self, cuts: Cut) -> Array:
        """What parts took beyond their service, for the rows of queries cut as they were; else not finite."""
        found = np.full(len(cuts.query), np.inf)
        starts = np.searchsorted(cuts.query, np.arange(self.n))
        for one, start, parts in zip(self.footprints, starts, cuts.parts, strict=True):
            if len(one.parts) == round(parts) and all(part.values for part in one.parts):
                found[start : start + len(one.parts)] = [
                    max(0, part.took - part.service) for part in one.parts
                ]
        return found

    def _classes(self) -> list[tuple[str, Array]]:
        every = [(name, (self.kind == index) * 1.0) for index, name in enumerate(self.kinds)]
        return [*every, ("", np.ones(self.n))]


def bar(draws: Array, widen: float, floor: float = 0.0) -> Figure:
    """The 90% bar of draws around row 0, times ``widen``; at least ``floor`` to each side before that."""
    value = float(draws[0])
    low, high = (float(q) for q in np.quantile(draws[1:], (0.05, 0.95)))
    down, up = max(floor, value - low), max(floor, high - value)
    return Figure(value, max(0.0, value - widen * down), value + widen * up)


def share_bar(draws: Array, spread: float, count: float, widen: float) -> Figure:
    """As ``bar`` for a share, in odds: the draws and a normal of variance ``spread``, independent. A share
    is not known finer than a binomial of ``count`` queries allows."""
    value = float(draws[0])
    odds = np.log(np.clip(draws, 1e-9, 1 - 1e-9) / (1 - np.clip(draws, 1e-9, 1 - 1e-9)))
    low, high = np.quantile(odds[1:], (0.05, 0.95))
    own_ = HALF * np.sqrt(spread)
    ends = (
        odds[0] - np.hypot(max(0.0, odds[0] - low), own_),
        odds[0] + np.hypot(max(0.0, high - odds[0]), own_),
    )
    floor = HALF * np.sqrt(value * (1 - value) / count) + 1 / count
    down, up = (max(floor, abs(float(1 / (1 + np.exp(-end))) - value)) for end in ends)
    return Figure(value, max(0.0, value - widen * down), min(1.0, value + widen * up))


def forecast(
    sample: Sample, before: MapVersion, after: MapVersion, environment: Environment,
    settings: ReplaySettings | None = None, widen: Mapping[FigureKind, float] | None = None,
) -> Forecast:  # fmt: skip
    """All figures of the new map. ``widen``: the stored factor by kind, 1 where none. ValueError without
    holders or brokers; a sample without footprints gives a forecast without figures, which no verdict
    accepts.
    """
    settings, factors = settings or ReplaySettings(), {kind: 1.0 for kind in FigureKind} | dict(widen or {})
    if (
        environment.slots < 1
        or not 0 <= environment.heard <= environment.of
        or environment.of < 1
        or min(factors.values()) < 1
    ):
        raise ValueError(
            f"{environment}, widen {factors}: expected slots, brokers heard of all, factors from 1"
        )
    figures: dict[FigureKey, Figure] = {}
    replay = Replay(sample, before, after, environment, settings)
    if replay.n:
        figures = _figures(replay, environment, settings, factors)
    return Forecast(
        figures, after.digest, replay.n, sample.total, sample.since, sample.until, sample.hours(),
        environment.heard, environment.of, replay.unseen, replay.new.homeless, sample.full, factors,
    )  # fmt: skip


def _figures(
    replay: Replay, environment: Environment, settings: ReplaySettings, factors: Mapping[FigureKind, float]
) -> dict[FigureKey, Figure]:
    figures: dict[FigureKey, Figure] = {}
    for index, name in enumerate(replay.kinds):
        figures[FigureKind.PARTS, name] = bar(replay.parts(index), factors[FigureKind.PARTS])
    calls, work = replay.calls(replay.new), replay.work(replay.new)
    servers = replay.servers(replay.new.sets, environment.holders)
    few = RULE * float(replay.rate[0]) / replay.n
    mean = work[0].sum() / max(1e-9, calls[0].sum())
    for index, name in enumerate(replay.new.sets):
        of = servers[index] / environment.slots
        for kind, found, least in (
            (FigureKind.CALLS, calls[:, index] / of, few / of),
            (FigureKind.LOAD, work[:, index] / servers[index], few * mean / servers[index]),
        ):
            floor = least if found[0] == 0 else 0.0
            one = bar(found, 1.0, floor)
            uneven = settings.uneven * one.value
            down, up = np.hypot(one.value - one.low, uneven), np.hypot(one.high - one.value, uneven)
            factor = factors[kind]
            figures[kind, name] = Figure(
                one.value, max(0.0, one.value - factor * down), one.value + factor * up
            )
    for number, name in [*enumerate(replay.kinds), (None, "")]:
        figures[FigureKind.BYTES, name] = bar(replay.merged(number), factors[FigureKind.BYTES])
    for name, (draws, spread) in replay.misses(work).items():
        count = sum(1 for one in replay.footprints if name in ("", one.kind))
        figures[FigureKind.MISS, name] = share_bar(
            draws, spread, min(count, replay.measured * count / replay.n), factors[FigureKind.MISS]
        )
    return figures
