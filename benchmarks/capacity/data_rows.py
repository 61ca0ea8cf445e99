"""Rows of a broker's data path: what queries, connections and the node list cost one process."""

from benchmarks.capacity.limits import CONNECT, LIST
from benchmarks.capacity.rows import RowSpec, Term
from benchmarks.capacity.target import (
    ANSWER_SECONDS,
    NODES,
    PARTS,
    PARTS_OF_A_BROKER,
    QUERIES_OF_A_BROKER,
)
from quincepath.platform.config import ProcessLimits
from quincepath.platform.descriptors import allocate

MODULE, DRIVER, FRAMES, LOOP = "decision module", "driver", "frames and client bodies", "loop and sockets"
NODE_CONNECTIONS = float(allocate(ProcessLimits().sockets).nodes)  # that a process may hold by default
MILLI, MICRO, KILO, MEGA = 1e3, 1e6, 1e-3, 1e-6

DATA = "broker, data path"


def _query(group: str, name: str, scale: float = 1.0, at: float = PARTS) -> Term:
    return Term(group, name, at, scale)


PRICES = (
    (MODULE, (_query("module", "query"),)),
    (DRIVER, (_query("driver", "query"),)),
    (FRAMES, (_query("frames", "node side"), _query("frames", "client side"))),
    (LOOP, (_query("sockets", "edge"), _query("frames", "node side", -1.0))),
)


def _scaled(terms: tuple[Term, ...], scale: float) -> tuple[Term, ...]:
    return tuple(Term(term.group, term.name, term.at, term.scale * scale) for term in terms)


def _data_prices() -> list[RowSpec]:
    found = []
    for mechanism, terms in PRICES:
        worked_out = len(terms) > 1
        found += [
            RowSpec(
                DATA,
                f"processor time of a query of {PARTS} parts, {mechanism}",
                mechanism,
                "ms",
                _scaled(terms, MILLI),
                worked_out=worked_out,
            ),
            RowSpec(
                DATA,
                f"cores at {QUERIES_OF_A_BROKER} queries a second, {mechanism}",
                mechanism,
                "cores",
                _scaled(terms, QUERIES_OF_A_BROKER),
                1.0,
                worked_out=worked_out,
            ),
        ]
    return found


ALL_TERMS = tuple(term for _, terms in PRICES for term in terms)

PROCESS = "what one process cannot carry"

PROCESS_ROWS = [
    RowSpec(
        PROCESS,
        "cores for the queries of a broker, whole broker on sockets",
        "one process",
        "cores",
        (_query("sockets", "whole broker", QUERIES_OF_A_BROKER),),
        1.0,
    ),
    RowSpec(
        PROCESS,
        "cores for the queries of a broker, sum of the four",
        "one process",
        "cores",
        _scaled(ALL_TERMS, QUERIES_OF_A_BROKER),
        1.0,
        worked_out=True,
    ),
    RowSpec(
        PROCESS,
        "connections to all nodes, one each",
        CONNECT,
        "",
        (Term("exchanges", "nodes"),),
        NODE_CONNECTIONS,
        worked_out=True,
    ),
    RowSpec(
        PROCESS,
        "connections to one replica of each set",
        CONNECT,
        "",
        (Term("exchanges", "replica sets"),),
        NODE_CONNECTIONS,
        worked_out=True,
    ),
]

DATA_ROWS = [
    *_data_prices(),
    RowSpec(
        DATA,
        "processor time of a query, whole broker",
        "one process",
        "ms",
        (_query("sockets", "whole broker", MILLI),),
    ),
    RowSpec(
        DATA,
        f"cores at {QUERIES_OF_A_BROKER} queries a second, whole broker",
        "one process",
        "cores",
        (_query("sockets", "whole broker", QUERIES_OF_A_BROKER),),
        1.0,
    ),
    RowSpec(
        DATA,
        f"cores at {QUERIES_OF_A_BROKER} queries a second, sum of the four",
        "one process",
        "cores",
        _scaled(ALL_TERMS, QUERIES_OF_A_BROKER),
        1.0,
        worked_out=True,
    ),
    RowSpec(
        DATA,
        "a part of a query, module",
        MODULE,
        "µs",
        (_query("module", "part", MICRO),),
    ),
    RowSpec(
        DATA,
        "a part at 130 parts against one at 16, module",
        MODULE,
        "times",
        (Term("module", "a part at 130 parts by one at 16"),),
        1.5,
    ),
    RowSpec(
        DATA,
        "one changed node of 12,000 against one of 1,200, module",
        MODULE,
        "times",
        (Term("module", "a change of 12,000 nodes by one of 1,200"),),
        3.0,
    ),
    RowSpec(
        DATA,
        "loop stands still for one changed node",
        LIST,
        "ms",
        (Term("listing", "one change", NODES, MILLI),),
        ANSWER_SECONDS * MILLI,
    ),
    RowSpec(
        DATA,
        "loop stands still for a full list",
        LIST,
        "ms",
        (Term("listing", "full list", NODES, MILLI),),
        ANSWER_SECONDS * MILLI,
    ),
    RowSpec(
        DATA,
        "memory of the list",
        LIST,
        "MB",
        (Term("listing", "memory of a list", NODES, MEGA),),
    ),
    RowSpec(
        DATA,
        "memory of one connection to each node",
        CONNECT,
        "MB",
        (Term("sockets", "connections", NODES, MEGA),),
    ),
    RowSpec(
        DATA,
        "memory of an open query",
        DRIVER,
        "KB",
        (_query("driver", "open query", KILO),),
    ),
    RowSpec(
        DATA,
        "memory of all open queries, each 140 ms old",
        DRIVER,
        "MB",
        (_query("driver", "open query", QUERIES_OF_A_BROKER * ANSWER_SECONDS * MEGA),),
        worked_out=True,
    ),
    RowSpec(
        DATA,
        "bytes a second to nodes",
        FRAMES,
        "MB",
        (Term("frames", "call of a part", None, PARTS_OF_A_BROKER * MEGA),),
        worked_out=True,
    ),
    RowSpec(
        DATA,
        "bytes a second from nodes",
        FRAMES,
        "MB",
        (Term("frames", "reply of a part", None, PARTS_OF_A_BROKER * MEGA),),
        worked_out=True,
    ),
]
