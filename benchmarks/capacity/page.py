"""The tables in ``docs/CAPACITY.md``: written between markers, read back, compared with the results. Pure."""

from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.tables import Table

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"


class PageError(ValueError):
    """A page whose markers cannot be used; the text names the table."""


def _begin(name: str) -> str:
    return f"<!-- capacity: {name} -->"


def _end(name: str) -> str:
    return f"<!-- end of capacity: {name} -->"


def table_text(table: Table) -> str:
    """A table as Markdown."""
    lines = [table.header, ("---",) * len(table.header), *table.rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def _span(page: str, name: str) -> tuple[int, int]:
    """Where a table stands, between its markers. Raises ``PageError``."""
    begin, end = _begin(name), _end(name)
    if page.count(begin) != 1 or page.count(end) != 1 or page.index(begin) > page.index(end):
        raise PageError(
            f"table {name!r}: expected the markers {begin!r} and {end!r} once each, in this order"
        )
    return page.index(begin) + len(begin), page.index(end)


def filled(page: str, tables: Sequence[Table]) -> str:
    """The page with its tables replaced. Raises ``PageError`` where a marker is missing."""
    for table in tables:
        begin, end = _span(page, table.name)
        page = f"{page[:begin]}\n\n{table_text(table)}\n{page[end:]}"
    return page


def read_table(page: str, name: str) -> list[tuple[str, ...]]:
    """The rows of a table as they stand, its header first. Raises ``PageError``."""
    begin, end = _span(page, name)
    lines = [line.strip() for line in page[begin:end].splitlines() if line.strip()]
    cells = [tuple(cell.strip() for cell in line.strip("|").split(" | ")) for line in lines]
    return [row for row in cells if not all(set(cell) <= {"-"} for cell in row)]


def _compare_row(table: Table, expected: tuple[str, ...], found: tuple[str, ...]) -> list[str]:
    place = f"table {table.name!r}, row {expected[0]!r}"
    if len(found) != len(expected):
        return [f"{place}: {len(found)} cells, {len(expected)} expected"]
    return [
        f"{place}, {column}: the page says {says!r}, the results give {gives!r}"
        for column, says, gives in zip(table.header, found, expected, strict=True)
        if says != gives
    ]


def compare_table(page: str, table: Table) -> list[str]:
    """What is wrong with one table of the page."""
    try:
        header, *rows = read_table(page, table.name) or [()]
    except PageError as error:
        return [str(error)]
    problems = (
        [] if header == table.header else [f"table {table.name!r}: header {header}, {table.header} expected"]
    )
    found = {row[0]: row for row in rows}
    if len(found) < len(rows):
        problems.append(f"table {table.name!r}: a row stands twice")
    for expected in table.rows:
        row = found.pop(expected[0], None)
        if row is None:
            problems.append(f"table {table.name!r}, row {expected[0]!r}: is missing on the page")
        else:
            problems += _compare_row(table, expected, row)
    problems += [f"table {table.name!r}, row {name!r}: no result stands behind it" for name in found]
    return problems


def compare(page: str, tables: Sequence[Table]) -> list[str]:
    """All differences between the page and the results; none: it says what was measured."""
    return [problem for table in tables for problem in compare_table(page, table)]
