"""Shedding thresholds of the fleet, of this broker alone, and of each replica set that is full.

Each update of the fleet's threshold starts from the mean threshold of the reporting brokers
(``Totals.threshold``): brokers do not drift apart, a broker that comes back starts where the others are, and
as that mean is as old as the totals, late totals slow the control loop down by themselves. A full replica set
is no reason to shed queries to others: bad outcomes count towards the fleet's threshold only as far as the
median replica set has them, too.
"""

import math

from quincepath.fleet.load_reports.types import SECOND, Count, Totals
from quincepath.fleet.overload.adjustment import next_share, share_above, threshold_for
from quincepath.fleet.overload.arrival_history import ArrivalDistribution, StepHistory
from quincepath.fleet.overload.types import LocalStats, OverloadSettings

NOT_ADMITTED = (Count.SHED, Count.TURNED_AWAY, Count.LEFT)
BAD_OUTCOMES = (Count.LATE, Count.REFUSED, Count.FAILED)
EARLY_BAD_SHARE = 0.05  # share of bad outcomes below which an overload is early
MAX_DECAY_SHARE = 0.3  # share of bad outcomes up to which the capacity estimate decays faster
SET_FULL_SHARE = 0.15  # bad outcomes beyond the median set that make a set full: fewer may be a lost node
# Of a replica set: largest decrease of one update, and the smallest admitted share.
SET_MAX_DECREASE, SET_MIN_ADMITTED = 0.4, 0.2
SET_INCREASE_FACTOR = 1.3  # a calm update multiplies the admitted share by this
MAX_RECOVERY_FACTOR = 3.0  # limit of one update's increase where less is served than before
FULLY_ADMITTED_SHARE = 0.999  # admitted share at which a replica set's threshold is dropped


def median_refusals(totals: Totals) -> tuple[float, float]:
    """Share refused at the median replica set, and the mean of all by demand; 0, 0 where none report.

    The median of the sets, not of the demand: one hot set may have most of that.
    """
    reported = [each for each in totals.replica_sets.values() if each.demand > 0]
    if not reported:
        return 0.0, 0.0
    shares = sorted(each.refused / each.demand for each in reported)
    mean = sum(each.refused for each in reported) / sum(each.demand for each in reported)
    return shares[(len(shares) - 1) // 2], mean


def uniformity(totals: Totals) -> float:
    """How far the median replica set has the mean refusals of all, 0 to 1; 1 where none report."""
    share, mean = median_refusals(totals)
    return min(share / mean, 1.0) if mean > 0 else 1.0


def bad_outcome_share(admitted: float, good: float, bad: float, settings: OverloadSettings) -> float:
    """Share of the queries admitted in a window that ended badly, or were admitted beyond those that ended.

    Admissions in excess of completions show an overload one target time before anything is late. Up to
    ``max_growth_share`` they show none: after a step of the load as many are in flight.
    """
    growth = max(1 - (good + bad) / admitted - settings.max_growth_share, 0.0)
    return min(bad / admitted + growth, 1.0)


class FleetThreshold:
    """Threshold of the fleet, updated by totals; ``value`` is the present one at this broker."""

    def __init__(self, settings: OverloadSettings) -> None:
        self._settings = settings
        self.value = 0.0
        self._calm_steps = 0
        self._capacity, self._capacity_at = 0.0, -1
        self._distribution, self._share_history = ArrivalDistribution(), StepHistory(1.0)

    def update(self, totals: Totals) -> None:
        """One update, from the mean threshold of the fleet. With too short a window it follows the mean.

        With too few admitted queries to judge by, the threshold comes down unless something ended badly, so
        that it never gets stuck.
        """
        distribution = self._distribution.update(totals.at, totals.arrivals, totals.threshold)
        share = share_above(totals.threshold, distribution)
        self._share_history.record(totals.at, share)
        admitted = totals.count(Count.TAKEN) - sum(totals.count(outcome) for outcome in NOT_ADMITTED)
        served, ended = totals.count(Count.IN_TIME), sum(totals.count(outcome) for outcome in BAD_OUTCOMES)
        if totals.window < self._settings.min_window:
            self.value = totals.threshold
            return
        if admitted < self._settings.min_sample:
            recovered = min(share * (1 + self._settings.max_increase), 1.0)
            self.value = (
                threshold_for(share if ended else recovered, distribution)
                if sum(totals.arrivals) > 0
                else 0.0
            )
            return
        bad = bad_outcome_share(admitted, served, ended, self._settings) * uniformity(totals)
        mean_share = self._share_history.mean(totals.at - totals.window, totals.at)
        rate = served * SECOND / totals.window
        early = bad > self._settings.late_share and ended < EARLY_BAD_SHARE * admitted
        capacity = self._estimate_capacity(totals.at, rate, bad, early)
        # The share that admits as much as can be served.
        servable_share = mean_share * capacity * totals.window / SECOND / admitted
        previous_share = share
        share, self._calm_steps = next_share(share, servable_share, bad, self._calm_steps, self._settings)
        if bad < 2 * self._settings.late_share and rate < self._settings.capacity_margin * capacity:
            share = min(max(share, servable_share), previous_share * MAX_RECOVERY_FACTOR, 1.0)
        self.value = threshold_for(share, distribution)

    def _estimate_capacity(self, at: int, rate: float, bad: float, early: bool) -> float:
        """The capacity of the fleet, queries a second: the highest recent rate of queries served in time.

        Late outcomes describe what was admitted one target time ago, and a fleet whose queues are full serves
        nothing in time for a while: neither says how much to admit, the highest rate before does. It decays
        with the bad outcomes, as capacity may be lost, and never below the present rate. ``early``: more is
        admitted than ends, and little has ended badly yet: then the present rate is the capacity.
        """
        if at > self._capacity_at:
            age = (at - self._capacity_at) / self._settings.capacity_decay if self._capacity_at >= 0 else 0.0
            decayed = (
                self._capacity * math.exp(-age * min(bad, MAX_DECAY_SHARE)) if age < 50 and not early else 0.0
            )
            self._capacity, self._capacity_at = max(rate, decayed), at
        return self._capacity


class LocalThreshold:
    """Threshold by this broker's own statistics: all that is left without totals."""

    def __init__(self, settings: OverloadSettings) -> None:
        self._settings = settings
        self.value = 0.0
        self._calm_steps = 0
        self._distribution, self._share_history = ArrivalDistribution(), StepHistory(1.0)

    def update(self, now: int, local: LocalStats) -> None:
        """One update; held to the configured share of queries a second, if there is one."""
        distribution = self._distribution.update(now, local.arrivals, self.value)
        share = share_above(self.value, distribution)
        self._share_history.record(now, share)
        if local.admitted >= self._settings.min_sample:
            bad = bad_outcome_share(local.admitted, local.ended - local.bad, local.bad, self._settings)
            mean_share = self._share_history.mean(now - local.window, now)
            share, self._calm_steps = next_share(
                share, mean_share * (1 - bad), bad, self._calm_steps, self._settings
            )
        elif local.ended == 0 and sum(local.arrivals) == 0:
            share = min(share * (1 + self._settings.max_increase), 1.0)
        self.value = threshold_for(min(share, self.max_share(local)), distribution)

    def max_share(self, local: LocalStats) -> float:
        """Share of the arrivals at this broker that the configuration admits."""
        rate = sum(local.arrivals) * 1e9 / local.window
        return min(self._settings.alone_share / rate, 1.0) if self._settings.alone_share and rate else 1.0


class ReplicaSetThresholds:
    """Thresholds of full replica sets, by the fleet's totals of demand and refusals there. Bounded in number.

    What all sets have in common is left to the fleet's threshold: only refusals beyond the median set's
    count. No mean of these thresholds is reported: brokers with the same totals update alike, and each calm
    update reduces a difference between them.
    """

    def __init__(self, settings: OverloadSettings) -> None:
        self._settings = settings
        self._shares: dict[int, float] = {}
        self._share_history: dict[int, StepHistory] = {}
        self._reduced_at: dict[int, int] = {}
        self.values: dict[int, float] = {}

    def update(self, now: int, totals: Totals) -> None:
        """One update of each. ``demand`` is what passed the fleet's threshold, shed for the set or not."""
        median_share = median_refusals(totals)[0]
        for replica_set, total in totals.replica_sets.items():
            refused = max(total.refused / total.demand - median_share, 0.0) if total.demand else 0.0
            if replica_set not in self._shares:
                is_full = total.demand >= self._settings.min_sample and refused > SET_FULL_SHARE
                if not is_full or len(self._shares) >= self._settings.max_replica_sets:
                    continue
                self._share_history[replica_set] = StepHistory(1.0)
            share = self._shares.get(replica_set, 1.0)
            mean_share = self._share_history[replica_set].mean(totals.at - totals.window, totals.at)
            bad = min(refused / max(mean_share, self._settings.min_admitted_share), 1.0)
            if bad > SET_FULL_SHARE:
                # The effect of a decrease is not visible before a whole window has passed since.
                if totals.at < self._reduced_at.get(replica_set, totals.at - totals.window) + totals.window:
                    continue
                self._reduced_at[replica_set] = now
                lowest = max(share * (1 - SET_MAX_DECREASE), SET_MIN_ADMITTED)
                self._shares[replica_set] = max(min(share, mean_share - refused), lowest)
            else:
                increased = share * SET_INCREASE_FACTOR if bad < self._settings.late_share else share
                self._shares[replica_set] = min(increased, 1.0)
        for replica_set in [key for key in self._shares if key not in totals.replica_sets]:
            self._shares[replica_set] = min(self._shares[replica_set] * SET_INCREASE_FACTOR, 1.0)
        self._shares = {key: kept for key, kept in self._shares.items() if kept < FULLY_ADMITTED_SHARE}
        self._share_history = {
            key: history for key, history in self._share_history.items() if key in self._shares
        }
        self._reduced_at = {key: at for key, at in self._reduced_at.items() if key in self._shares}
        for key, history in self._share_history.items():
            history.record(now, self._shares[key])
        histogram = admitted_histogram(totals)
        self.values = {key: threshold_for(kept, histogram) for key, kept in self._shares.items()}


def admitted_histogram(totals: Totals) -> list[float]:
    """The histogram of the arrivals that passed the fleet's threshold."""
    size = len(totals.arrivals)
    at = totals.threshold * size
    return [count * min(max(number + 1 - at, 0.0), 1.0) for number, count in enumerate(totals.arrivals)]
