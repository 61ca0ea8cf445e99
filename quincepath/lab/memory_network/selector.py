"""The selector of an in-memory network."""

import selectors
from collections.abc import Mapping
from typing import Any

from quincepath.lab.memory_network.registry import Registry


class MemorySelector(selectors.BaseSelector):
    """Reports ready sockets in the order of their numbers; it never waits."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._keys: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a socket of this network. Raises ``KeyError`` where it is registered already."""
        number = fileobj.fileno()
        if number in self._keys:
            raise KeyError(f"{fileobj!r} is already registered")
        return self._set_key(fileobj, number, events, data)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events of a socket. Raises ``KeyError`` where it is not registered."""
        number = fileobj.fileno()
        if number not in self._keys:
            raise KeyError(f"{fileobj!r} is not registered")
        return self._set_key(fileobj, number, events, data)

    def _set_key(self, fileobj: Any, number: int, events: int, data: Any) -> selectors.SelectorKey:
        if number not in self._registry.sockets:
            raise ValueError(f"{fileobj!r}: expected an open socket of this network")
        key = self._keys[number] = selectors.SelectorKey(fileobj, number, events, data)
        self._registry.changed.add(number)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister a socket. Raises ``KeyError`` where it is not registered."""
        return self._keys.pop(fileobj.fileno())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the sockets that are ready now; the timeout is ignored."""
        ready, still_ready = [], set()
        for number in sorted(self._registry.changed):
            key, sock = self._keys.get(number), self._registry.sockets.get(number)
            if key is None or sock is None:
                continue  # ``register`` marks it as changed again
            mask = sock.ready() & key.events
            if mask:
                ready.append((key, mask))
                still_ready.add(number)
        self._registry.changed = still_ready
        return ready

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the registered keys by socket number."""
        return self._keys

    def close(self) -> None:
        """Unregister all sockets."""
        self._keys.clear()
