"""Attributes a refused or failed query to the replica sets that caused it."""

from collections.abc import Iterable, Mapping

EWMA_WEIGHT = 0.1  # of one attempt, or of one single-set query, in a set's moving average of failures
FULL_SHARE = 0.5  # with a higher share of failures a set counts as full
SINGLE_SET_MIN_SHARE = 0.2  # of refusals among a set's single-set queries, from which it is singled out,
SINGLE_SET_RELATIVE_SHARE = 0.5  # together with all sets that have at least this fraction of the worst share
MAX_REPLICA_SETS = 1024  # remembered; the one updated longest ago is dropped


class FailureShares:
    """Moving average of the share of failures by replica set."""

    def __init__(self) -> None:
        self._shares: dict[int, float] = {}

    def record(self, replica_set: int, bad: bool) -> None:
        """Record one result."""
        share = self._shares.pop(replica_set, 0.0)
        self._shares[replica_set] = share + EWMA_WEIGHT * (bad - share)
        if len(self._shares) > MAX_REPLICA_SETS:
            del self._shares[next(iter(self._shares))]

    def share(self, replica_set: int) -> float:
        """The share of failures, 0 where nothing is known."""
        return self._shares.get(replica_set, 0.0)


class FailureAttribution:
    """From this broker's own traffic: results of attempts at a set, and of queries that need a single set."""

    def __init__(self) -> None:
        self._attempts, self._single_set = FailureShares(), FailureShares()

    def record_attempt(self, replica_set: int, bad: bool) -> None:
        """Record the result of an attempt at a set."""
        self._attempts.record(replica_set, bad)

    def record_query(self, parts: Iterable[int], bad: bool) -> None:
        """Record a query's result. Refused before any send, it counts for a set only if it needs no other."""
        requested = set(parts)
        if len(requested) == 1:
            self._single_set.record(requested.pop(), bad)

    def sets_at_fault(self, parts: Iterable[int], answered: Mapping[int, int]) -> set[int]:
        """The sets at fault. ``parts``: the set of each requested part; ``answered``: parts answered, by set.

        Where some parts were answered, the sets of the others; where none was, the sets that mostly fail, or
        those whose single-set queries are refused far more than other sets'; where nothing tells them apart,
        all: what all sets have in common counts for the fleet.
        """
        requested: dict[int, int] = {}
        for replica_set in parts:
            requested[replica_set] = requested.get(replica_set, 0) + 1
        missing = {
            replica_set for replica_set, count in requested.items() if answered.get(replica_set, 0) < count
        }
        if missing and len(missing) < len(requested):
            return missing
        failing = {replica_set for replica_set in requested if self._attempts.share(replica_set) > FULL_SHARE}
        if failing:
            return failing
        worst = max((self._single_set.share(replica_set) for replica_set in requested), default=0.0)
        if worst < SINGLE_SET_MIN_SHARE:
            return set(requested)
        return {
            replica_set
            for replica_set in requested
            if self._single_set.share(replica_set) >= SINGLE_SET_RELATIVE_SHARE * worst
        }
