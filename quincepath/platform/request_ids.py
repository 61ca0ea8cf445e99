"""Which ids clients have used: each names the parts of one query at the nodes, and no other's. Pure.

A node cannot tell two queries of one id apart: a part sent for the second is a second copy of the first's,
which may still run there although its client has left.
"""

MAX_REMEMBERED_IDS = 4096  # of queries that are over: half a minute of a busy broker


class RequestIds:
    """Ids of the open queries, by their handles, and of the last ones of which nodes may have got a part."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}
        self._by_handle: dict[int, str] = {}
        self._used: dict[str, None] = {}  # oldest first

    def __contains__(self, name: object) -> bool:
        return name in self._open or name in self._used

    def is_open(self, name: str) -> bool:
        """Whether a query of this id is open."""
        return name in self._open

    def add(self, name: str, handle: int) -> None:
        """A query is taken; its id is not in use."""
        self._open[name] = handle
        self._by_handle[handle] = name

    def close(self, handle: int, may_have_run: bool) -> None:
        """A query is over; its id may be used again only if certainly no node got a part of it."""
        name = self._by_handle.pop(handle, None)
        if name is None:
            return
        del self._open[name]
        if may_have_run:
            self._used[name] = None
            if len(self._used) > MAX_REMEMBERED_IDS:
                del self._used[next(iter(self._used))]
