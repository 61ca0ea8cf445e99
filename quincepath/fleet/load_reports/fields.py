"""The counts as numbered fields, so that merging, splitting and adding work alike for all of them.

New counts get new field numbers; a number is never reused. Slot time is in ms here, as on the wire:
fractions of a ms are counted once they add up to a whole one.
"""

from collections.abc import Iterable, Iterator

from quincepath.fleet.load_reports.types import (
    MAX_CLASSES,
    MAX_REPLICA_SETS,
    MS,
    PRIORITY_BANDS,
    Count,
    Counts,
    SendKind,
)

MAX_VALUE = (1 << 53) - 1  # no real count gets larger than that
FIRST_SEND_FIELD = MAX_CLASSES * len(Count)
SLOT_TIME_FIELD = 264  # ms of slots used by slow queries
FIRST_ARRIVAL_FIELD = 272
FIRST_REPLICA_SET_FIELD = 512  # demand and refusals of each replica set, alternating
FIELD_COUNT = FIRST_REPLICA_SET_FIELD + 2 * MAX_REPLICA_SETS
TAKEN, ENDED, ARRIVED, SENT, SLOT_TIME, DEMAND, REFUSED = range(7)
FAMILY_COUNT = 7  # groups of fields whose sums share one bound


def family_of(number: int) -> int:
    """The family that a field belongs to."""
    if number < FIRST_SEND_FIELD:
        return ENDED if number % len(Count) else TAKEN
    if number >= FIRST_REPLICA_SET_FIELD:
        return REFUSED if number % 2 else DEMAND
    if number >= FIRST_ARRIVAL_FIELD:
        return ARRIVED
    return SLOT_TIME if number == SLOT_TIME_FIELD else SENT


FAMILY_BY_FIELD = tuple(family_of(number) for number in range(FIELD_COUNT))


def flatten(counts: Counts) -> dict[int, int]:
    """The nonzero counts by field number; classes and replica sets beyond the limits are left out."""
    fields: dict[int, int] = {}
    for query_class, row in enumerate(counts.by_class[:MAX_CLASSES]):
        for outcome, value in enumerate(row[: len(Count)]):
            fields[query_class * len(Count) + outcome] = value
    for index, value in enumerate(counts.sends[: len(SendKind)]):
        fields[FIRST_SEND_FIELD + index] = value
    fields[SLOT_TIME_FIELD] = counts.slot_time // MS
    for index, value in enumerate(counts.arrivals[:PRIORITY_BANDS]):
        fields[FIRST_ARRIVAL_FIELD + index] = value
    for replica_set, count in counts.replica_sets.items():
        if 0 <= replica_set < MAX_REPLICA_SETS:
            fields[FIRST_REPLICA_SET_FIELD + 2 * replica_set] = count.demand
            fields[FIRST_REPLICA_SET_FIELD + 2 * replica_set + 1] = count.refused
    return {number: min(value, MAX_VALUE) for number, value in fields.items() if value > 0}


def encode_runs(values: dict[int, int], numbers: Iterable[int]) -> tuple[int, ...]:
    """Encode some fields as runs of (first number, length, values ...); ``numbers`` in ascending order."""
    runs: list[int] = []
    length_at, next_number = -1, -1
    for number in numbers:
        if number != next_number:
            runs += (number, 0)
            length_at = len(runs) - 1
        runs.append(values[number])
        runs[length_at] += 1
        next_number = number + 1
    return tuple(runs)


def decode_runs(runs: tuple[int, ...]) -> Iterator[tuple[int, int]]:
    """The (number, value) pairs. Raises ValueError for malformed runs or a number out of range."""
    position = 0
    while position < len(runs):
        if position + 2 > len(runs):
            raise ValueError(f"runs: at {position}: expected a field number and a length")
        first, length = runs[position], runs[position + 1]
        if not 0 < length <= FIELD_COUNT - first or position + 2 + length > len(runs):
            raise ValueError(
                f"runs: at {position}: {length} fields from field {first}, of {FIELD_COUNT} fields"
            )
        for offset in range(length):
            yield first + offset, runs[position + 2 + offset]
        position += 2 + length


def encoded_width(value: int) -> int:
    """Bytes of an integer on the wire."""
    if value < 128:
        return 1
    return 2 if value < 1 << 8 else 3 if value < 1 << 16 else 5 if value < 1 << 32 else 9
