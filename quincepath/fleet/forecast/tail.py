"""Model of tail latency: how late parts are at a given load, and the fit of the model to the sample. Pure.

The time of a part is its service time, a wait, and a constant that does not depend on load. A set of h
holders with s slots each is modelled as one queue with c = h * s servers, since the choice of holders by this
broker's own load is nearly even inside a set. The wait is zero except for a share of parts (Erlang's C at
load rho); otherwise it is exponential with mean (1 + cv^2) / 2 * mean service / (c * (1 - rho)).
``wait_factor`` (fitted) multiplies that mean, ``constant`` (fitted) is the constant. Near load 1 a queue has
no time to reach that mean, so the mean is bounded by the backlog that random variation builds up over the
measured time. From load 1 on the queue also grows over that time, and a wait exceeds t in the share of the
time in which the queue is longer. The delay of growing queues affects all parts of a query together; other
waits are independent for each part.
"""

from dataclasses import dataclass

import numpy as np

from quincepath.fleet.forecast.projection import Array, IntArray

MAX_STEADY_LOAD = 0.995  # the steady-state formula is not used beyond this load
# Over a time T, sqrt(2 v T / pi) is the mean wait at its end at load 1, with v the variance of the work that
# arrives in a unit of time; two thirds of it is the mean over that time.
MEAN_BACKLOG_FACTOR = 2 / 3 * (2 / np.pi) ** 0.5


def erlang_c(servers: Array, load: Array) -> Array:
    """Share of arrivals that wait, for any shape of ``load``; ``servers``, integers, is its last axis."""
    rho = np.clip(load, 1e-9, MAX_STEADY_LOAD)
    offered = rho * servers
    largest = int(servers.max(initial=1))
    inverse = np.ones_like(rho)  # of Erlang's B, by its recursion
    for step in range(1, largest + 1):
        inverse = np.where(step <= servers, 1 + inverse * step / offered, inverse)
    blocked = 1 / inverse
    return np.asarray(blocked / (1 - rho * (1 - blocked)))


@dataclass(slots=True)
class Queues:
    """Replica sets under a load. ``load`` is (sets,) or (draws, sets); by set, the ``mean`` service time in
    ns and its ``variability`` (1 + cv^2) / 2.
    """

    servers: Array
    load: Array
    mean: Array
    variability: Array
    horizon: float  # ns of the measured time

    def mean_nonzero_wait(self, wait_factor: float) -> Array:
        """Mean ns of a nonzero wait: a smooth minimum of the steady-state wait and that of the backlog."""
        rho = np.clip(self.load, 0.0, MAX_STEADY_LOAD)
        unit = self.variability * self.mean / self.servers
        steady, backlog = unit / (1 - rho), MEAN_BACKLOG_FACTOR * np.sqrt(2 * unit * rho * self.horizon) + 1.0
        return np.asarray(np.maximum(1.0, wait_factor / np.hypot(1 / np.maximum(steady, 1.0), 1 / backlog)))

    def burst_lengths(self, wait_factor: float) -> Array:
        """Mean ns of a period of long waits: a backlog drains with the capacity that the load leaves."""
        spare = np.maximum(np.abs(1 - self.load), 1e-6)
        return np.asarray(np.minimum(self.mean_nonzero_wait(wait_factor) / spare, self.horizon / 2))

    def mean_waits(self) -> Array:
        """Mean wait in ns by the model with ``wait_factor`` 1."""
        return np.asarray(erlang_c(self.servers, self.load) * self.mean_nonzero_wait(1.0))

    def wait_exceeds(self, limit: Array, set_index: IntArray, wait_factor: float) -> tuple[Array, Array]:
        """Share of parts that wait longer than ``limit`` ns (rows) at their set, (..., rows): by random
        variation, and because the queue grows."""
        waiting = erlang_c(self.servers, self.load)[..., set_index]
        mean = self.mean_nonzero_wait(wait_factor)[..., set_index]
        steady = waiting * np.exp(-np.maximum(limit, 0.0) / mean)
        growth = np.maximum(self.load - 1.0, 0.0)[..., set_index] * self.horizon
        growing = np.where(growth > 0, 1 - np.clip(limit / np.maximum(growth, 1.0), 0.0, 1.0), 0.0)
        return np.asarray(np.where(limit <= 0, 1.0, steady)), np.asarray(growing)


@dataclass(slots=True)
class MissChances:
    """Chance to miss the target, by draw and footprint; ``burst_share``: length of a period of long waits, as
    a share of the measured time.
    """

    chance: Array
    burst_share: float


def fit(excess: Array, waits: Array) -> tuple[float, float]:
    """(wait_factor, constant) from the time of sampled parts beyond their service and the modelled waits.

    Least squares of excess = constant + wait_factor * wait, drawn towards wait_factor = 1 where the loads
    hardly differ; 0.25 <= wait_factor <= 4.
    """
    if not len(excess):
        return 1.0, 0.0
    variation = float(((waits - waits.mean()) ** 2).sum())
    joint = float(((waits - waits.mean()) * (excess - excess.mean())).sum())
    ridge = 0.01 * float((waits**2).sum()) + 1e-9
    wait_factor = min(4.0, max(0.25, (joint + ridge) / (variation + ridge)))
    return wait_factor, max(0.0, float(excess.mean() - wait_factor * waits.mean()))
