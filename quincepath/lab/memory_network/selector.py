"""Readiness of an in-memory network's sockets."""

import selectors
from collections.abc import Mapping
from typing import Any

from quincepath.lab.memory_network.registry import Registry


class MemorySelector(selectors.BaseSelector):
    """Tells readiness in the order of the sockets' numbers; it never waits."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._keys: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a socket of this network. Raises ``KeyError`` where it is watched already."""
        number = fileobj.fileno()
        if number in self._keys:
            raise KeyError(f"{fileobj!r} is already registered")
        return self._put(fileobj, number, events, data)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch it for something else. Raises ``KeyError`` where it is not watched."""
        number = fileobj.fileno()
        if number not in self._keys:
            raise KeyError(f"{fileobj!r} is not registered")
        return self._put(fileobj, number, events, data)

    def _put(self, fileobj: Any, number: int, events: int, data: Any) -> selectors.SelectorKey:
        if number not in self._registry.sockets:
            raise ValueError(f"{fileobj!r}: expected an open socket of this network")
        key = self._keys[number] = selectors.SelectorKey(fileobj, number, events, data)
        self._registry.changed.add(number)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Watch it no more. Raises ``KeyError`` where it is not watched."""
        return self._keys.pop(fileobj.fileno())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """What is ready now; a time-out is not waited for."""
        found, still = [], set()
        for number in sorted(self._registry.changed):
            key, sock = self._keys.get(number), self._registry.sockets.get(number)
            if key is None or sock is None:
                continue  # ``register`` brings it back
            mask = sock.ready() & key.events
            if mask:
                found.append((key, mask))
                still.add(number)
        self._registry.changed = still
        return found

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """By number."""
        return self._keys

    def close(self) -> None:
        """Forget all."""
        self._keys.clear()
