"""The day from its first process to the verdict."""

from typing import Any

from quincepath.lab.audit import audit
from quincepath.lab.fleet.faults import Faults
from quincepath.lab.fleet.properties import Properties
from quincepath.lab.fleet.run.holding import Holding
from quincepath.lab.fleet.run.judging import Judging
from quincepath.lab.fleet.run.processes import MS
from quincepath.lab.fleet.verdict import SECOND
from quincepath.standins.record import Bounds, ClassRules, Halt

STABLE = 2 * SECOND  # all views equal for so long after the last fault: the day is over


class FleetRun(Holding, Judging):
    """One run. ``play`` starts all processes, plays the day in real time, ends them and judges."""

    def play(self) -> dict[str, Any]:
        """Figures of the day; ``findings`` are what must not be."""
        try:
            self.cluster.start()
            for name in self.script.names:
                if name not in self.script.absent:
                    self.start(name)
            present = [seat for seat in self.seats.values() if seat.name not in self.script.absent]
            if not self.loop.run_until(lambda: all(seat.up for seat in present), 60):
                raise RuntimeError("brokers did not come up within 60 s")
            self._bounds()
            self.begin = self.loop.clock()
            for seat in present:
                seat.started = 0
            self._ask()
            Faults(self.script, self.seed, self, self.ways, self.watcher)
            self.loop.run_until(self._done, self.script.length / SECOND + 5)
            length = self.now
            self.over = True
            self.loop.run_until(lambda: not self.open, 10)
            views = self._views()
        finally:
            self._stop()
        paths = sorted(self.folder.glob("*.jsonl"))
        figures = self._figures(audit(paths), views, length)
        if self.script.expect.of_load:
            found = Properties(self.script, paths, self.begin, length)
            figures["load"] = found.figures
            figures["findings"] += found.findings
        return figures

    def _done(self) -> bool:
        if self.now >= self.script.length:
            return True
        if self.script.expect.of_load or self.now < max(self.script.quiet_from + STABLE, self.look_at):
            return False
        coming = any(seat.process is not None and not seat.up for seat in self.seats.values())
        if coming or not 0 <= self.agreed_since < self.now - STABLE:
            return False
        # Equal views may all be wrong still: nobody has noticed yet. Whether they are true is asked for.
        self.look_at = self.now + SECOND
        return not self._untrue(self._views())

    def _bounds(self) -> None:
        for name, need in (("fleet-glance", 0.6), ("hours-report", 1.0)):
            self.writer.write(ClassRules(name, need, need))
        self.writer.write(
            Bounds(
                3,
                500 * MS,
                100 * MS,
                2.0,
                2 * SECOND,
                10 * SECOND,
                0,
                0.0,
                0.0,
                self.script.members,
                self.script.expect.slack,
            )
        )

    def _stop(self) -> None:
        for seat in self.seats.values():
            if seat.up:
                self.verdict.member_seconds += (self.now - seat.started) / SECOND
            if seat.still:
                self.writer.write(Halt(seat.held_at, seat.number, self.loop.clock(), False))
            if seat.killed_at >= 0:  # it did not come back: what it owed it could not do
                self.writer.write(Halt(seat.killed_at, seat.number, self.loop.clock(), True))
            if seat.client is not None:
                seat.client.close()
            seat.stop()
        self.cluster.stop()
        self.relay.close()
        self.writer.close()
        self.loop.close()
