"""Which replica sets a query that was refused or failed met in vain."""

from collections.abc import Iterable, Mapping

EWMA_WEIGHT = 0.1  # weight of one attempt, or of one query of a set alone, in a set's share of bad ones
FULL_SHARE = 0.5  # beyond this share of bad ends a set counts as full
SINGLE_SET_MIN_SHARE = 0.2  # share of refused ones among a set's own queries from which it is told apart,
SINGLE_SET_RELATIVE_SHARE = 0.5  # with all sets that have at least so much of the worst one's
MAX_REPLICA_SETS = 1024  # remembered; the one told of longest ago gives way


class FailureShares:
    """A share of bad ends by replica set, of late."""

    def __init__(self) -> None:
        self._shares: dict[int, float] = {}

    def record(self, replica_set: int, bad: bool) -> None:
        """One more end."""
        share = self._shares.pop(replica_set, 0.0)
        self._shares[replica_set] = share + EWMA_WEIGHT * (bad - share)
        if len(self._shares) > MAX_REPLICA_SETS:
            del self._shares[next(iter(self._shares))]

    def share(self, replica_set: int) -> float:
        """0 where nothing is known."""
        return self._shares.get(replica_set, 0.0)


class FailureAttribution:
    """Of this broker's own traffic: how attempts at a set ended, and queries that asked it alone."""

    def __init__(self) -> None:
        self._attempts, self._single_set = FailureShares(), FailureShares()

    def record_attempt(self, replica_set: int, bad: bool) -> None:
        """An attempt at a set has ended."""
        self._attempts.record(replica_set, bad)

    def record_query(self, parts: Iterable[int], bad: bool) -> None:
        """A query has ended. Refused before anything was sent, it tells of its set where it has but one."""
        asked = set(parts)
        if len(asked) == 1:
            self._single_set.record(asked.pop(), bad)

    def sets_at_fault(self, parts: Iterable[int], answered: Mapping[int, int]) -> set[int]:
        """The sets to blame. ``parts``: the set of each part asked for; ``came``: by set, how many came in.

        Where some parts came, the sets of those that did not; where none did, the sets that mostly fail, or
        those whose own queries are refused far more than other sets'; where nothing tells them apart, all:
        what all have in common counts for the fleet.
        """
        asked: dict[int, int] = {}
        for replica_set in parts:
            asked[replica_set] = asked.get(replica_set, 0) + 1
        missing = {
            replica_set for replica_set, count in asked.items() if answered.get(replica_set, 0) < count
        }
        if missing and len(missing) < len(asked):
            return missing
        failing = {replica_set for replica_set in asked if self._attempts.share(replica_set) > FULL_SHARE}
        if failing:
            return failing
        worst = max((self._single_set.share(replica_set) for replica_set in asked), default=0.0)
        if worst < SINGLE_SET_MIN_SHARE:
            return set(asked)
        return {
            replica_set
            for replica_set in asked
            if self._single_set.share(replica_set) >= SINGLE_SET_RELATIVE_SHARE * worst
        }
