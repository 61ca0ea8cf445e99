"""Tries of queries and their parts; a cell is the number of a replica set."""


class Query:
    """One try of a user's query at one broker. ``life``: the broker's process, to detect that it has died."""

    __slots__ = ("kind", "tenant", "client", "cells", "broker", "began", "tries", "open", "over", "life",
                 "parts")  # fmt: skip

    def __init__(self, kind: int, tenant: int, client: int, cells: tuple[int, ...], tries: int) -> None:
        self.kind, self.tenant, self.client, self.cells, self.tries = kind, tenant, client, cells, tries
        self.broker, self.began, self.open, self.over = 0, 0, 0, False
        self.life, self.parts = 0, list[Part]()


class Part:
    """One part of a try. ``sends`` counts attempts; ``out`` lists the holders of those in flight."""

    __slots__ = ("query", "cell", "done", "sends", "work", "out")

    def __init__(self, query: Query, cell: int, work: int) -> None:
        self.query, self.cell, self.work = query, cell, work
        self.done, self.sends, self.out = False, 0, list[int]()
