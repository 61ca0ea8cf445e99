"""Overload control: ``step`` takes totals or local statistics, ``on_arrival`` decides on each query."""

import random

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, Totals
from quincepath.fleet.overload import ordering, retry_advice, trial_turns
from quincepath.fleet.overload.confidence import confidence
from quincepath.fleet.overload.extra_sends import extra_send_rate
from quincepath.fleet.overload.thresholds import FleetThreshold, LocalThreshold, ReplicaSetThresholds
from quincepath.fleet.overload.types import (
    Arrival,
    Decision,
    LocalStats,
    OverloadSettings,
    SendBudget,
    Shed,
    ShedReason,
)


class OverloadControl:
    """Overload control of one broker. ``seed``: of its own random source, used for retry advice only."""

    def __init__(self, settings: OverloadSettings, seed: int, now: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._totals: Totals | None = None
        self._local = LocalStats(settings.period, (0.0,) * PRIORITY_BANDS)
        self._fleet_threshold, self._local_threshold, self._replica_set_thresholds = (
            FleetThreshold(settings),
            LocalThreshold(settings),
            ReplicaSetThresholds(settings),
        )
        self._retry_quota = retry_advice.RetryQuota(settings)
        self._over_shares: dict[str, float] = {}
        self._epoch = 0
        self._last = now
        self._retry_window = settings.min_retry_after
        self.due = now + settings.period

    def step(self, now: int, observed: Totals | LocalStats | None = None, age: int = 0) -> Decision:
        """Apply totals or statistics; update thresholds when due. ``age``: of the fleet's oldest member, ns.

        Totals that are older than the known ones are ignored.
        """
        if isinstance(observed, Totals) and (self._totals is None or observed.at >= self._totals.at):
            self._totals = observed
            self._over_shares = ordering.over_shares(
                observed, self._settings.weights, self._settings.max_tenants
            )
        elif isinstance(observed, LocalStats):
            self._local = observed
        self._epoch = age // self._settings.epoch
        if now >= self.due:
            self._update(now)
            self.due = now + self._settings.period
        return Decision(
            self.threshold(now),
            self.confidence(now),
            self.replica_set_thresholds(now),
            self.send_budget(now),
            self._retry_window,
        )

    def on_arrival(self, now: int, arrival: Arrival, priority: float | None = None) -> Shed | None:
        """Whether a query is shed, and when its client should retry. None: it is admitted.

        ``priority``: where it has been computed before.
        """
        priority = self.priority(now, arrival) if priority is None else priority
        threshold, confidence = self.threshold(now), self.confidence(now)
        reason: ShedReason | None = None
        if priority < threshold:
            reason = ShedReason.FLEET if confidence * 2 >= 1 else ShedReason.SHARE
        elif self._replica_set_thresholds.values and any(
            priority < self._replica_set_thresholds.values.get(replica_set, 0.0) * confidence
            for replica_set in arrival.replica_sets
        ):
            reason = ShedReason.CELL
        elif threshold > 0 and not self._retry_quota.admit(arrival.tenant, arrival.marked_retry):
            reason = ShedReason.RETRY
        if reason is None:
            return None
        return Shed(
            reason, priority, retry_advice.retry_after(self._random, self._retry_window, self._settings)
        )

    def priority(self, now: int, arrival: Arrival) -> float:
        """The priority of a query. A tenant that is not known to be over its share counts as within it."""
        over = (
            self._over_shares.get(arrival.tenant, 0.0)
            if self._over_shares and self.confidence(now) > 0
            else 0.0
        )
        return ordering.priority(arrival.worth, over, arrival.tenant, arrival.client, self._epoch)

    def confidence(self, now: int) -> float:
        """Weight of the fleet's totals, 0 to 1."""
        return confidence(now, self._totals, self._settings)

    def threshold(self, now: int) -> float:
        """The effective threshold: the fleet's, fading to the broker's own with the weight of the totals."""
        confidence = self.confidence(now)
        return confidence * self._fleet_threshold.value + (1 - confidence) * self._local_threshold.value

    def replica_set_thresholds(self, now: int) -> dict[int, float]:
        """Effective thresholds of full replica sets."""
        confidence = self.confidence(now)
        return (
            {
                replica_set: value * confidence
                for replica_set, value in self._replica_set_thresholds.values.items()
            }
            if confidence
            else {}
        )

    def send_budget(self, now: int) -> SendBudget:
        """What this broker may send until the update after the next one."""
        confidence = self.confidence(now)
        count = trial_turns.broker_count(self._totals, confidence, self._settings)
        return SendBudget(
            extras=extra_send_rate(self._local, self._totals, confidence, self._settings),
            trials=trial_turns.trial_rate(count, self._settings),
            dials=trial_turns.dial_rate(count, self._settings),
            until=now + 2 * self._settings.period,
        )

    def _update(self, now: int) -> None:
        confidence = self.confidence(now)
        self._local_threshold.update(now, self._local)
        if self._totals is not None and confidence > 0:
            self._fleet_threshold.update(self._totals)
            self._replica_set_thresholds.update(now, self._totals)
            # Its own threshold follows the effective one: without totals it continues from there.
            self._local_threshold.value += confidence * (
                self._fleet_threshold.value - self._local_threshold.value
            )
        self._retry_window = retry_advice.retry_window(self._local, self._totals, confidence, self._settings)
