"""Replays a sample through a new map: the figures it would have, each with a 90% interval. Pure.

The interval is a bootstrap over the footprints (Poisson weights), widened by the random variation of the
measured figure itself (``measured_queries``), by the imbalance inside a set, and by the stored factor of its
kind.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

from quincepath.fleet.forecast.footprints import Sample
from quincepath.fleet.forecast.projection import (
    Array,
    Projection,
    overhead,
    project,
    sum_by_query,
    unseen_values,
    value_weights,
)
from quincepath.fleet.forecast.tail import MissChances, Queues, fit
from quincepath.fleet.forecast.types import (
    Environment,
    Figure,
    FigureKey,
    FigureKind,
    Forecast,
    ReplaySettings,
)
from quincepath.shards.versions import MapVersion

SECOND_NS = 1e9
Z_90 = 1.645  # standard deviations of a normal to each side that contain 90%
RULE_OF_THREE = 3.0  # with none seen among n, the share is below 3 / n with 95% confidence
PRIOR_MISSES = 1.0  # added to both sides where the model is compared with the sample


@dataclass(slots=True)
class FixedCosts:
    """By class, the fixed cost of a part, for each draw: (draws, classes)."""

    service: Array
    merged: Array


class Replay:
    """One replay. Arrays by draw: row 0 has weight 1 for each footprint, the others are the bootstrap's."""

    def __init__(
        self, sample: Sample, before: MapVersion, after: MapVersion, environment: Environment,
        settings: ReplaySettings,
    ) -> None:  # fmt: skip
        self.footprints = [sample.footprints[place] for place in sorted(sample.footprints)]
        self.sample, self.environment, self.settings, self.after = sample, environment, settings, after
        self.n = len(self.footprints)
        self.classes = sorted({footprint.kind for footprint in self.footprints})
        self.class_index = np.array(
            [self.classes.index(footprint.kind) for footprint in self.footprints], dtype=np.int64
        )
        weights = value_weights(self.footprints)
        self.new = project(self.footprints, after, weights)
        self.old = project(self.footprints, before, weights)
        self.unseen = unseen_values(after, before, self.footprints)
        rng = np.random.default_rng(settings.seed)
        draws = rng.poisson(1.0, (settings.draws, self.n)).astype(np.float64)
        draws[draws.sum(axis=1) == 0] = 1.0
        self.draws = np.vstack([np.ones(self.n), draws])
        duration = max(1, sample.until - sample.since)
        self.queries = sample.total * environment.brokers / max(1, environment.brokers_heard)
        self.measured_queries = settings.measured_queries or self.queries
        # Of the rate, over a window of the same length: the random variation of both query counts, drawn once
        # for all figures.
        noise = rng.standard_normal(len(self.draws)) * np.sqrt(
            1 / max(1.0, self.queries) + 1 / max(1.0, self.measured_queries)
        )
        noise[0] = 0.0
        self.rate = self.queries * SECOND_NS / duration * np.maximum(0.0, 1 + noise)
        self.duration, self.horizon = (
            float(duration),
            duration * self.measured_queries / max(1.0, self.queries),
        )
        self.stretch = float(np.sqrt(1 + self.n / max(1.0, self.measured_queries)))
        self.fixed = self._fixed_costs()

    def _fixed_costs(self) -> FixedCosts:
        """Least squares of cost = a + b * values over the parts as sampled, by class and draw; 0 <= a <= mean
        cost.
        """
        rows = [
            (index, len(part.values) + part.more, part.service, part.merged)
            for index, footprint in enumerate(self.footprints)
            for part in footprint.parts
        ]
        table = np.array(rows, dtype=np.float64).reshape(-1, 4)
        query, m, service, merged = table[:, 0].astype(np.int64), table[:, 1], table[:, 2], table[:, 3]
        columns = (np.ones_like(m), m, service, merged, m * m, m * service, m * merged)
        sums = np.hstack([sum_by_query(column, query, self.n) for column in columns])
        found = []
        for index in range(len(self.classes)):
            mine = self.class_index == index
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
        fixed = np.array(found).reshape(len(self.classes), 2, len(self.draws))
        return FixedCosts(fixed[:, 0].T, fixed[:, 1].T)

    def _mean(
        self,
        projection: Projection,
        rows: Array,
        fixed_count: Array | None,
        fixed: Array | None,
        by_set: bool,
    ) -> Array:
        """Of rows, the mean per query by draw: (draws, sets), or (draws, 1) without ``by_set``."""
        group, groups = (projection.set_index, len(projection.sets)) if by_set else (None, 1)
        total = self.draws @ sum_by_query(rows, projection.query, self.n, group, groups)
        if fixed_count is not None and fixed is not None:
            for index in range(len(self.classes)):
                mine = np.where(self.class_index[projection.query] == index, fixed_count, 0.0)
                total += (self.draws @ sum_by_query(mine, projection.query, self.n, group, groups)) * fixed[
                    :, index : index + 1
                ]
        return self._stretched(total / self.draws.sum(axis=1, keepdims=True))

    def _stretched(self, values: Array) -> Array:
        return np.asarray(np.maximum(0.0, values[:1] + (values - values[:1]) * self.stretch))

    def calls(self, projection: Projection) -> Array:
        """Calls per second at each set, by draw."""
        return np.asarray(self._mean(projection, projection.calls, None, None, True) * self.rate[:, None])

    def work(self, projection: Projection) -> Array:
        """Busy slots of each set, by draw."""
        calls = projection.calls
        rows = self._mean(
            projection, projection.service * calls, projection.fixed_count * calls, self.fixed.service, True
        )
        return np.asarray(rows * self.rate[:, None] / SECOND_NS)

    def merged(self, class_index: int | None) -> Array:
        """Bytes per second, by draw, of a class or of all."""
        mine = (
            np.ones(len(self.new.query))
            if class_index is None
            else (self.class_index[self.new.query] == class_index) * 1.0
        )
        rows = self._mean(
            self.new, self.new.merged * mine, self.new.fixed_count * mine, self.fixed.merged, False
        )
        return np.asarray(rows[:, 0] * self.rate)

    def parts(self, class_index: int) -> Array:
        """Parts per query of a class, by draw."""
        mine = np.where(self.class_index == class_index, 1.0, 0.0)
        count = self.draws @ mine
        value = (self.draws @ (mine * self.new.parts)) / np.maximum(count, 1.0)
        value = np.where(count > 0, value, value[0])[:, None]
        return np.asarray(self._stretched(value)[:, 0])

    def servers(self, sets: Sequence[str], holders: Mapping[str, int]) -> Array:
        """Slots of each replica set: the number of its nodes, at least one, times the slots of a node."""
        counts = [max(1, holders.get(name, self.environment.default_holders)) for name in sets]
        return np.array(counts, dtype=np.float64) * self.environment.slots

    def queues(
        self, projection: Projection, holders: Mapping[str, int], work: Array, horizon: float
    ) -> tuple[Queues, Array]:
        """The sets as queues, and the service time of each row (ns, with the fixed cost of row 0)."""
        service = (
            projection.service
            + projection.fixed_count * self.fixed.service[0][self.class_index[projection.query]]
        )
        count = np.bincount(projection.set_index, minlength=len(projection.sets))
        mean = np.bincount(
            projection.set_index, weights=service, minlength=len(projection.sets)
        ) / np.maximum(count, 1)
        square = np.bincount(
            projection.set_index, weights=service**2, minlength=len(projection.sets)
        ) / np.maximum(count, 1)
        variability = np.where(mean > 0, square / np.maximum(2 * mean**2, 1e-9), 1.0)
        servers = self.servers(projection.sets, holders)
        return Queues(servers, work / servers, np.maximum(mean, 1.0), variability, horizon), service

    def miss_chances(
        self, queues: Queues, projection: Projection, service: Array, wait_factor: float, constant: float
    ) -> MissChances:
        """Chance to miss the target by footprint, for each load of ``queues``."""
        left = np.array(
            [footprint.target - overhead(footprint) for footprint in self.footprints], dtype=np.float64
        )[projection.query]
        chance, growing = queues.wait_exceeds(left - service - constant, projection.set_index, wait_factor)
        in_time = np.log1p(-np.minimum(chance, 1 - 1e-12))
        found = np.zeros((*chance.shape[:-1], self.n))
        starts = np.flatnonzero(np.diff(projection.query, prepend=-1))
        if len(starts):
            independent = 1 - np.exp(np.add.reduceat(in_time, starts, axis=-1))
            together = np.maximum.reduceat(growing, starts, axis=-1)
            found[..., projection.query[starts]] = 1 - (1 - independent) * (1 - together)
        by_set = np.bincount(
            projection.set_index, weights=(chance + growing)[0], minlength=len(projection.sets)
        )
        burst = float((by_set * queues.burst_lengths(wait_factor)[0]).sum() / max(1e-12, by_set.sum()))
        return MissChances(found, burst / queues.horizon)

    def misses(self, work: Array) -> dict[str, tuple[Array, float]]:
        """By class and "" for all: the share that misses by draw, and the variance of its logarithm, since
        late queries come in bursts.

        The odds of each class are corrected, by draw, by comparing the model of the map in use with what the
        sample saw there: (seen + ``PRIOR_MISSES``) / (modelled + ``PRIOR_MISSES``).
        """
        before = self.environment.holders_before or self.environment.holders
        old, service_old = self.queues(self.old, before, self.work(self.old), self.duration)
        waits, excess = old.mean_waits()[0, self.old.set_index], self._excess(self.old)
        known = np.isfinite(excess)
        wait_factor, constant = fit(excess[known], waits[known])
        new, service = self.queues(self.new, self.environment.holders, work, self.horizon)
        late = self.miss_chances(new, self.new, service, wait_factor, constant)
        modelled = self.miss_chances(old, self.old, service_old, wait_factor, constant)
        missed = np.array([one.took > one.target for one in self.footprints], dtype=np.float64)
        for index in range(len(self.classes)):
            members = np.flatnonzero(self.class_index == index)
            draws, chance = self.draws[:, members], late.chance[:, members]
            seen, expected = draws @ missed[members], (draws * modelled.chance[:, members]).sum(axis=1)
            odds = (
                chance
                / np.maximum(1 - chance, 1e-12)
                * ((seen + PRIOR_MISSES) / (expected + PRIOR_MISSES))[:, None]
            )
            late.chance[:, members] = odds / (1 + odds)
        found = {}
        for name, mine in self._class_masks():
            count = np.maximum((self.draws * mine).sum(axis=1), 1e-9)
            share = (self.draws * mine * late.chance).sum(axis=1) / count
            hits = float((missed * mine).sum())
            # Bursts start at random and their lengths are exponential: the variance of n of them is 2 / n.
            variance = 2 * late.burst_share * (1 - share[0]) / max(float(share[0]), 1e-9)
            if hits:
                variance += (
                    2 * modelled.burst_share * float(count[0]) / hits * (hits / (hits + PRIOR_MISSES)) ** 2
                )
            found[name] = (share, float(np.log1p(variance)))
        return found

    def _excess(self, projection: Projection) -> Array:
        """Time of parts beyond their service, for rows of queries with the same parts as sampled; otherwise
        not finite.
        """
        found = np.full(len(projection.query), np.inf)
        starts = np.searchsorted(projection.query, np.arange(self.n))
        for footprint, start, parts in zip(self.footprints, starts, projection.parts, strict=True):
            if len(footprint.parts) == round(parts) and all(part.values for part in footprint.parts):
                found[start : start + len(footprint.parts)] = [
                    max(0, part.took - part.service) for part in footprint.parts
                ]
        return found

    def _class_masks(self) -> list[tuple[str, Array]]:
        masks = [(name, (self.class_index == index) * 1.0) for index, name in enumerate(self.classes)]
        return [*masks, ("", np.ones(self.n))]


def interval(draws: Array, widen: float, floor: float = 0.0) -> Figure:
    """The 90% interval of draws around row 0, times ``widen``; first at least ``floor`` to each side."""
    value = float(draws[0])
    low, high = (float(q) for q in np.quantile(draws[1:], (0.05, 0.95)))
    down, up = max(floor, value - low), max(floor, high - value)
    return Figure(value, max(0.0, value - widen * down), value + widen * up)


def share_interval(draws: Array, variance: float, count: float, widen: float) -> Figure:
    """Like ``interval`` for a share, in odds: the draws plus an independent normal of ``variance``. The
    interval is never narrower than that of a binomial of ``count`` queries.
    """
    value = float(draws[0])
    odds = np.log(np.clip(draws, 1e-9, 1 - 1e-9) / (1 - np.clip(draws, 1e-9, 1 - 1e-9)))
    low, high = np.quantile(odds[1:], (0.05, 0.95))
    half = Z_90 * np.sqrt(variance)
    ends = (
        odds[0] - np.hypot(max(0.0, odds[0] - low), half),
        odds[0] + np.hypot(max(0.0, high - odds[0]), half),
    )
    floor = Z_90 * np.sqrt(value * (1 - value) / count) + 1 / count
    down, up = (max(floor, abs(float(1 / (1 + np.exp(-end))) - value)) for end in ends)
    return Figure(value, max(0.0, value - widen * down), min(1.0, value + widen * up))


def forecast(
    sample: Sample, before: MapVersion, after: MapVersion, environment: Environment,
    settings: ReplaySettings | None = None, widen: Mapping[FigureKind, float] | None = None,
) -> Forecast:  # fmt: skip
    """All figures of the new map. ``widen``: the stored factor by kind, by default 1. Raises ValueError
    without slots or brokers. A sample without footprints gives a forecast without figures, which no verdict
    accepts.
    """
    settings, factors = settings or ReplaySettings(), {kind: 1.0 for kind in FigureKind} | dict(widen or {})
    if (
        environment.slots < 1
        or not 0 <= environment.brokers_heard <= environment.brokers
        or environment.brokers < 1
        or min(factors.values()) < 1
    ):
        raise ValueError(
            f"{environment}, widen {factors}: expected slots, heard brokers among all, factors from 1"
        )
    figures: dict[FigureKey, Figure] = {}
    replay = Replay(sample, before, after, environment, settings)
    if replay.n:
        figures = _figures(replay, environment, settings, factors)
    return Forecast(
        figures, after.digest, replay.n, sample.total, sample.since, sample.until, sample.hour_shares(),
        environment.brokers_heard, environment.brokers, replay.unseen, replay.new.unplaced, sample.full,
        factors,
    )  # fmt: skip


def _figures(
    replay: Replay, environment: Environment, settings: ReplaySettings, factors: Mapping[FigureKind, float]
) -> dict[FigureKey, Figure]:
    figures: dict[FigureKey, Figure] = {}
    for index, name in enumerate(replay.classes):
        figures[FigureKind.PARTS, name] = interval(replay.parts(index), factors[FigureKind.PARTS])
    calls, work = replay.calls(replay.new), replay.work(replay.new)
    servers = replay.servers(replay.new.sets, environment.holders)
    unseen_rate = RULE_OF_THREE * float(replay.rate[0]) / replay.n
    mean = work[0].sum() / max(1e-9, calls[0].sum())
    for index, name in enumerate(replay.new.sets):
        holders = servers[index] / environment.slots
        for kind, draws_of_set, least in (
            (FigureKind.CALLS, calls[:, index] / holders, unseen_rate / holders),
            (FigureKind.LOAD, work[:, index] / servers[index], unseen_rate * mean / servers[index]),
        ):
            floor = least if draws_of_set[0] == 0 else 0.0
            figure = interval(draws_of_set, 1.0, floor)
            imbalance = settings.imbalance * figure.value
            down, up = (
                np.hypot(figure.value - figure.low, imbalance),
                np.hypot(figure.high - figure.value, imbalance),
            )
            factor = factors[kind]
            figures[kind, name] = Figure(
                figure.value, max(0.0, figure.value - factor * down), figure.value + factor * up
            )
    for class_index, name in [*enumerate(replay.classes), (None, "")]:
        figures[FigureKind.BYTES, name] = interval(replay.merged(class_index), factors[FigureKind.BYTES])
    for name, (draws, variance) in replay.misses(work).items():
        count = sum(1 for one in replay.footprints if name in ("", one.kind))
        figures[FigureKind.MISS, name] = share_interval(
            draws, variance, min(count, replay.measured_queries * count / replay.n), factors[FigureKind.MISS]
        )
    return figures
