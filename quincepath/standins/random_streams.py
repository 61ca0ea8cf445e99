"""Named sources of chance: the same draws in virtual time and on sockets."""

import zlib

import numpy as np

BLOCK = 1024


class RandomStream:
    """A named source of chance: floats below 1, drawn ahead in blocks."""

    def __init__(self, seed: int, name: str) -> None:
        self.generator = np.random.default_rng([seed, zlib.crc32(name.encode())])
        self._block: list[float] = []

    def __call__(self) -> float:
        """The next number, from 0 up to 1."""
        if not self._block:
            self._block = self.generator.random(BLOCK).tolist()
        return self._block.pop()

    def between(self, low: float, high: float) -> float:
        """Uniform."""
        return low + (high - low) * self()

    def pick(self, items: list[str], chosen: list[str] | float) -> list[str]:
        """The named ones, or a share of all, at least one."""
        if isinstance(chosen, list):
            return chosen
        count = max(round(chosen * len(items)), 1)
        return sorted(self.generator.permutation(items)[:count].tolist())
