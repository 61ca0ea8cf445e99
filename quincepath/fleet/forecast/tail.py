"""How late parts are at a load: the model of the tail and what of it is learned from the sample. Pure.

A part takes its service, a wait and a rest that does not depend on load. A set of h holders with s slots
each is taken as one queue with c = h * s servers, since the choice by own load is nearly even inside a set:
the wait is zero but for a share (Erlang's C at load rho), and else exponential with mean (1 + cv^2) / 2 *
mean service / (c * (1 - rho)). ``slow`` (learned) multiplies that mean, ``rest`` (learned) is the rest. Near
load 1 a queue has no time to come to that mean: it is bounded by what chance piles up over the time measured.
From load 1 on the queue grows over that time besides, and a wait above t has the share of it in which it is
longer. The lateness of growing queues comes to all parts of a query at once, the other to each by itself.
"""

from dataclasses import dataclass

import numpy as np

from quincepath.fleet.forecast.projection import Array, Ints

FULL = 0.995  # load from which the steady formula is not used further
# Over a time T, sqrt(2 v T / pi) is the mean wait at its end where load is 1 and v the variance of the work
# that comes in a unit of time; two thirds of it is the mean over that time.
PILED = 2 / 3 * (2 / np.pi) ** 0.5


def erlang_c(servers: Array, load: Array) -> Array:
    """Share that waits, for any shape of ``load``; ``servers`` whole, as its last axis."""
    rho = np.clip(load, 1e-9, FULL)
    offered = rho * servers
    most = int(servers.max(initial=1))
    inverse = np.ones_like(rho)  # of Erlang's B, by its recursion
    for step in range(1, most + 1):
        inverse = np.where(step <= servers, 1 + inverse * step / offered, inverse)
    blocked = 1 / inverse
    return np.asarray(blocked / (1 - rho * (1 - blocked)))


@dataclass(slots=True)
class Queues:
    """Sets under a load. ``load`` is (sets,) or (draws, sets); ``mean`` ns and ``spread`` (1 + cv^2) / 2 by
    set.
    """

    servers: Array
    load: Array
    mean: Array
    spread: Array
    horizon: float  # ns of the time measured

    def scale(self, slow: float) -> Array:
        """Mean ns of a wait that is not zero: the steady one and the piled up one, the smaller of them
        rounded.
        """
        rho = np.clip(self.load, 0.0, FULL)
        unit = self.spread * self.mean / self.servers
        steady, piled = unit / (1 - rho), PILED * np.sqrt(2 * unit * rho * self.horizon) + 1.0
        return np.asarray(np.maximum(1.0, slow / np.hypot(1 / np.maximum(steady, 1.0), 1 / piled)))

    def bursts(self, slow: float) -> Array:
        """How long a time of long waits lasts in ns, on the mean: what has piled up drains by what load
        leaves.
        """
        left = np.maximum(np.abs(1 - self.load), 1e-6)
        return np.asarray(np.minimum(self.scale(slow) / left, self.horizon / 2))

    def waits(self) -> Array:
        """Mean wait in ns by the model with ``slow`` 1."""
        return np.asarray(erlang_c(self.servers, self.load) * self.scale(1.0))

    def beyond(self, left: Array, group: Ints, slow: float) -> tuple[Array, Array]:
        """Share of parts that wait longer than ``left`` ns (rows) at their set, (..., rows): by chance, and
        since the queue grows."""
        chance = erlang_c(self.servers, self.load)[..., group]
        scale = self.scale(slow)[..., group]
        steady = chance * np.exp(-np.maximum(left, 0.0) / scale)
        growth = np.maximum(self.load - 1.0, 0.0)[..., group] * self.horizon
        growing = np.where(growth > 0, 1 - np.clip(left / np.maximum(growth, 1.0), 0.0, 1.0), 0.0)
        return np.asarray(np.where(left <= 0, 1.0, steady)), np.asarray(growing)


@dataclass(slots=True)
class Late:
    """Chance to miss by draw and footprint; ``burst``: how long a time of long waits lasts, as a share of
    all.
    """

    chance: Array
    burst: float


def learn(excess: Array, waits: Array) -> tuple[float, float]:
    """(slow, rest) from what sampled parts took beyond their service and what the model says they waited.

    Least squares of excess = rest + slow * wait, drawn to slow = 1 where the loads hardly differ; 0.25 <=
    slow <= 4.
    """
    if not len(excess):
        return 1.0, 0.0
    spread = float(((waits - waits.mean()) ** 2).sum())
    joint = float(((waits - waits.mean()) * (excess - excess.mean())).sum())
    ridge = 0.01 * float((waits**2).sum()) + 1e-9
    slow = min(4.0, max(0.25, (joint + ridge) / (spread + ridge)))
    return slow, max(0.0, float(excess.mean() - slow * waits.mean()))
