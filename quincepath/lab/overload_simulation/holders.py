"""Holders as servers with cores and one bounded queue; queued parts are served even if nobody waits for them.

Simplified from ``lab/emulator/server.py``: a core keeps the rate that it had at the start of a job. The end
of a job is therefore known when it arrives, and one event per part is enough.
"""

from quincepath.lab.overload_simulation.plan import Plan


class Holder:
    """One server. ``life`` is incremented with each new process."""

    def __init__(self, number: int, cell: int, plan: Plan) -> None:
        self.number, self.cell, self._plan = number, cell, plan
        self.up, self.life, self.started = True, 0, -plan.ramp_time
        self._core_free_at = [0] * plan.cores
        self.pending = 0
        self.done_work = 0

    def capacity_share(self, now: int) -> float:
        """Available share of the capacity: less than 1 while the holder warms up."""
        age = (now - self.started) / self._plan.ramp_time
        return min(1.0, self._plan.cold_share + (1 - self._plan.cold_share) * max(age, 0.0))

    def submit(self, now: int, work: int, expires: int) -> int:
        """Time at which a part will be done; -1: queue full, -2: down, -3: it expires before it is served."""
        if not self.up:
            return -2
        if self.pending >= self._plan.queue_limit:
            return -1
        core = min(range(len(self._core_free_at)), key=self._core_free_at.__getitem__)
        start = max(now, self._core_free_at[core])
        if self._plan.skip_expired and start >= expires:
            return -3
        end = start + int(work / self.capacity_share(start))
        self._core_free_at[core] = end
        self.pending += 1
        return end

    def fail(self) -> None:
        """Fail: the answers of all pending parts are lost."""
        self.up = False
        self.life += 1
        self.pending = 0

    def restart(self, now: int) -> None:
        """Start a new process, cold and with an empty queue."""
        self.up, self.started = True, now
        self._core_free_at = [now] * self._plan.cores
