"""Named random number streams, which draw the same numbers in virtual time and on sockets."""

import zlib

import numpy as np

BLOCK_SIZE = 1024


class RandomStream:
    """A stream of random floats from 0 up to 1, seeded by a seed and a name and generated in blocks."""

    def __init__(self, seed: int, name: str) -> None:
        self.generator = np.random.default_rng([seed, zlib.crc32(name.encode())])
        self._block: list[float] = []

    def __call__(self) -> float:
        """Return the next number, at least 0 and below 1."""
        if not self._block:
            self._block = self.generator.random(BLOCK_SIZE).tolist()
        return self._block.pop()

    def between(self, low: float, high: float) -> float:
        """Return a number drawn uniformly from ``low`` to ``high``."""
        return low + (high - low) * self()

    def pick(self, items: list[str], selection: list[str] | float) -> list[str]:
        """Return the listed items, or a random sample of the given share of ``items``, at least one."""
        if isinstance(selection, list):
            return selection
        count = max(round(selection * len(items)), 1)
        return sorted(self.generator.permutation(items)[:count].tolist())
