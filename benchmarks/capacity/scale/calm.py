"""The calm phase: what every mechanism takes while nothing happens."""

import time
from collections.abc import Sequence

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.meter import CONNECTIONS, HARNESS, LOAD, METRICS
from benchmarks.capacity.scale.plan import Mechanism
from benchmarks.capacity.scale.real import RealBrokers
from benchmarks.capacity.scale.result import HostRates, RealFigures, Result, Sent
from benchmarks.capacity.scale.watch import Watch

OTHER_ACCOUNTS = (METRICS, CONNECTIONS, LOAD, HARNESS)
OF_REAL = (Mechanism.VIEW, Mechanism.LEDGER, Mechanism.LOG)  # a broker does not subscribe by itself yet


def measure(watch: Watch, duration: float, result: Result) -> None:
    """Rates of hollow and real brokers over the same seconds."""
    watch.begin_phase()
    real_before, used_before = watch.real.sent(), _used(watch.real)
    before = watch.hosts.ask_figures()
    watch.pass_time("calm", duration)
    after = watch.hosts.ask_figures()
    used_after, real_after = _used(watch.real), watch.real.sent()
    result.calm_s = duration
    result.calm_deaths = watch.deaths
    if after:
        _note_hollow(HostRates(before, after), after, result)
    if watch.real.brokers:
        sent = Sent()
        for name, (began, figures) in real_before.items():
            sent.add(began, figures, *real_after[name])
        share = (used_after[1] - used_before[1]) / (used_after[0] - used_before[0])
        _note_real(watch.real, sent, share, result)


def _note_hollow(rates: HostRates, after: Sequence[m.Figures], result: Result) -> None:
    result.by_mechanism = {
        name: rates.sent.mechanism(name, rates.processor_ms(name)) for name in result.mechanisms
    }
    result.other_processor_ms_a_second = {one: rates.processor_ms(one) for one in OTHER_ACCOUNTS}
    result.hollow_processor_ms_a_second = rates.used_ms
    resident = sum(figures.resident for figures in after)
    result.hollow_resident_bytes = resident // max(rates.sent.brokers, 1)


def _note_real(real: RealBrokers, sent: Sent, share: float, result: Result) -> None:
    """``share``: of one core, that all real brokers together used."""
    brokers = list(real.brokers.values())
    result.real_brokers = RealFigures(
        by_mechanism={name: sent.mechanism(name) for name in OF_REAL if name in result.mechanisms},
        processor_ms_a_second=round(share * 1000 / len(brokers), 4),
        resident_bytes=sum(one.resident for one in brokers) // len(brokers),
        queries_answered=real.answers["answered"],
        queries_not_answered=real.answers["not answered"],
    )


def _used(real: RealBrokers) -> tuple[float, float]:
    """Now, and processor time of all real brokers together (both seconds)."""
    return time.monotonic(), sum(one.processor for one in real.brokers.values())


def note_end(figures: Sequence[m.Figures], watch: Watch, result: Result) -> None:
    """Views, drops, and memory of one broker: the largest of those that hosts measured."""
    for one in figures:
        for name, size in one.memory.items():
            if name in result.by_mechanism:
                known = result.by_mechanism[name].memory_bytes or 0
                result.by_mechanism[name].memory_bytes = max(known, size)
        for cause, count in one.dropped.items():
            result.dropped[cause] = result.dropped.get(cause, 0) + count
    if Mechanism.VIEW not in result.mechanisms:
        return
    digests = {digest for one in figures for digest in one.digests}
    result.digests = len(digests | watch.real.digests())
