"""Rows of a broker's control: view, load totals, log, node list, configuration, against the budgets."""

from benchmarks.capacity.data_rows import KILO, MEGA
from benchmarks.capacity.limits import LIST, LOAD, LOG, VIEW
from benchmarks.capacity.rows import RowSpec, Term
from benchmarks.capacity.target import (
    BROKERS,
    CONFIGURATION_SECONDS,
    CONTROL_BYTES,
    CONTROL_CORES,
    CONTROL_MEMORY,
    DAY_SECONDS,
    LIST_CHANGES,
    NODES,
)

CONTROL = "broker, control"
CONFIGURATION = "configuration distribution"
FOLLOWERS = BROKERS - 1
PERCENT = 100.0
BYTES_BUDGET, CORE_BUDGET = CONTROL_BYTES * KILO, CONTROL_CORES * PERCENT
MEMORY_BUDGET = CONTROL_MEMORY * MEGA
DATAGRAM = 400  # bytes, at which the price of one is taken: it hardly depends on them

VIEW_BYTES = (Term("view", "bytes", BROKERS, KILO),)
LOAD_BYTES = (Term("totals", "bytes", BROKERS, KILO),)
LOG_BYTES = (Term("followers", "bytes of a second's asks", FOLLOWERS, KILO / FOLLOWERS),)
WATCHES = "watches of a broker, nothing new"
LIST_BYTES = (
    Term("exchanges", WATCHES, None, KILO, Term("exchanges", "watch with nothing new")),
    Term("exchanges", "watch with one change", None, LIST_CHANGES / DAY_SECONDS * KILO),
)
SUM_BYTES = (*VIEW_BYTES, *LOAD_BYTES, *LOG_BYTES, *LIST_BYTES)


def _datagrams(group: str, name: str) -> Term:
    """Processor time of sending and receiving so many, in percent of a core."""
    return Term(group, name, BROKERS, PERCENT, Term("sockets", "datagram", DATAGRAM))


VIEW_CORE = (Term("view", "work", BROKERS, PERCENT), _datagrams("view", "messages"))
LOAD_CORE = (Term("totals", "work", BROKERS, PERCENT), _datagrams("totals", "datagrams"))
LIST_CORE = (Term("listing", "one change", NODES, LIST_CHANGES / DAY_SECONDS * PERCENT),)
SUM_CORE = (*VIEW_CORE, *LOAD_CORE, *LIST_CORE)

VIEW_MEMORY = (Term("view", "memory", BROKERS, MEGA),)
LOAD_MEMORY = (Term("totals", "memory", BROKERS, MEGA),)
LIST_MEMORY = (Term("listing", "memory of a list", NODES, MEGA),)
SUM_MEMORY = (*VIEW_MEMORY, *LOAD_MEMORY, *LIST_MEMORY)

ORDINARY_BYTES = Term("configuration", "ordinary_day, broker_bytes_a_second", None, KILO)
CONFIGURATION_MEMORY = Term("configuration", "cost, broker_memory_bytes", None, MEGA)


def _bytes(what: str, mechanism: str, terms: tuple[Term, ...], optional: bool = False) -> RowSpec:
    worked_out = len(terms) > 1
    return RowSpec(
        CONTROL,
        f"bytes a second, {what}",
        mechanism,
        "KB",
        terms,
        BYTES_BUDGET,
        worked_out,
        optional=optional,
    )


def _core(what: str, mechanism: str, terms: tuple[Term, ...]) -> RowSpec:
    return RowSpec(
        CONTROL,
        f"of a core, {what}",
        mechanism,
        "%",
        terms,
        CORE_BUDGET,
        len(terms) > 1 or terms[0].by is not None,
    )


def _memory(what: str, mechanism: str, terms: tuple[Term, ...], optional: bool = False) -> RowSpec:
    worked_out = len(terms) > 1
    return RowSpec(
        CONTROL, f"memory, {what}", mechanism, "MB", terms, MEMORY_BUDGET, worked_out, optional=optional
    )


def _configuration(what: str, name: str, budget: float | None = CONFIGURATION_SECONDS) -> RowSpec:
    return RowSpec(
        CONTROL,
        f"change in force everywhere, {what}",
        CONFIGURATION,
        "s",
        (Term("configuration", name),),
        budget,
        optional=True,
    )


ALL = "all control in sum"
CONTROL_ROWS = [
    _configuration("most, calm", "calm, most"),
    _configuration("99th, calm", "calm, 99th"),
    _configuration("median, calm", "calm, median"),
    _configuration("most, hard cases", "hard cases, most"),
    RowSpec(CONTROL, "messages a second sent, view", VIEW, "", (Term("view", "messages", BROKERS),)),
    _bytes("view", VIEW, VIEW_BYTES),
    _core("view", VIEW, VIEW_CORE),
    _memory("view", VIEW, VIEW_MEMORY),
    RowSpec(
        CONTROL, "datagrams a second sent, load totals", LOAD, "", (Term("totals", "datagrams", BROKERS),)
    ),
    _bytes("load totals", LOAD, LOAD_BYTES),
    _bytes("load totals, largest sender", LOAD, (Term("totals", "bytes, largest sender", BROKERS, KILO),)),
    _core("load totals", LOAD, LOAD_CORE),
    _core("load totals, busiest", LOAD, (Term("totals", "work, busiest", BROKERS, PERCENT),)),
    _memory("load totals", LOAD, LOAD_MEMORY),
    _bytes("following the log, both ways", LOG, LOG_BYTES),
    _bytes("node list, both ways", LIST, LIST_BYTES),
    _core("node list, ordinary day", LIST, LIST_CORE),
    _memory("node list", LIST, LIST_MEMORY),
    _bytes("configuration, ordinary day", CONFIGURATION, (ORDINARY_BYTES,), optional=True),
    _memory("configuration", CONFIGURATION, (CONFIGURATION_MEMORY,), optional=True),
    _bytes(f"{ALL}, without configuration", ALL, SUM_BYTES),
    _bytes("view and configuration", CONFIGURATION, (*VIEW_BYTES, ORDINARY_BYTES), optional=True),
    _bytes(f"{ALL}, with configuration", CONFIGURATION, (*SUM_BYTES, ORDINARY_BYTES), optional=True),
    _core(f"{ALL}, without configuration", ALL, SUM_CORE),
    _memory(f"{ALL}, without configuration", ALL, SUM_MEMORY),
]
