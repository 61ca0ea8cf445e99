"""Which rows the page has, in its order."""

from benchmarks.capacity.control_rows import CONTROL_ROWS
from benchmarks.capacity.data_rows import DATA_ROWS, PROCESS_ROWS
from benchmarks.capacity.role_rows import (
    DISCOVERY_ROWS,
    FAILURE_ROWS,
    MACHINE_ROWS,
    NODE_ROWS,
    QUALITY_ROWS,
    VOTER_ROWS,
)
from benchmarks.capacity.rows import RowSpec

ROWS: tuple[RowSpec, ...] = (
    *DATA_ROWS, *PROCESS_ROWS,
    *CONTROL_ROWS, *VOTER_ROWS, *MACHINE_ROWS, *DISCOVERY_ROWS, *NODE_ROWS, *FAILURE_ROWS, *QUALITY_ROWS,
)  # fmt: skip
