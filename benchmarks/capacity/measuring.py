"""Helpers of the measurements: processor time of a call, repeats, load average, allocated memory."""

import gc
import os
import platform
import time
import tracemalloc
from collections.abc import Callable, Iterable
from datetime import UTC, datetime

from benchmarks.capacity.results import Evidence, Fact, Group, Point, Series

REPEATS = 5


def load_average() -> float:
    """Of the last minute."""
    return round(os.getloadavg()[0], 2)


def processor_seconds(call: Callable[[], object]) -> float:
    """Processor time of this process for one call, without the garbage collector's."""
    gc.collect()
    gc.disable()
    try:
        began = time.process_time()
        call()
        return time.process_time() - began
    finally:
        gc.enable()


def allocated_bytes(build: Callable[[], object]) -> float:
    """Bytes that Python holds more after ``build``, whose result is kept while they are counted."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return float(after - before)


def repeated(
    sizes: Iterable[int], measure: Callable[[int], float], repeats: int = REPEATS
) -> tuple[Point, ...]:
    """All sizes in turn, again and again: what disturbs the machine for a while meets each of them."""
    found: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size, values in found.items():
            values.append(measure(size))
    return tuple(Point(size, tuple(values)) for size, values in found.items())


def series(
    name: str,
    unit: str,
    per: str,
    points: tuple[Point, ...],
    evidence: Evidence = "simulated",
    seeds: tuple[int, ...] = (),
    note: str = "",
) -> Series:
    """A series, with the load average of now."""
    return Series(name, unit, per, evidence, points, load_average(), seeds, note)


def fact(name: str, unit: str, value: float, evidence: Evidence = "simulated", note: str = "") -> Fact:
    """A figure without a size."""
    return Fact(name, unit, float(value), evidence, note)


Measured = tuple[tuple[Series, ...], tuple[Fact, ...]]


def run_group(measure: Callable[[], Measured]) -> Group:
    """Run one group and note on what machine, when, and how loaded that was."""
    load_before, began = load_average(), time.monotonic()
    found, facts = measure()
    return Group(
        taken_at=datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        seconds=round(time.monotonic() - began, 1),
        python=platform.python_version(),
        machine=platform.machine(),
        cores=os.cpu_count() or 1,
        load=(load_before, load_average()),
        series=found,
        facts=facts,
    )
