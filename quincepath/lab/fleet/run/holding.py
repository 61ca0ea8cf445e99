"""Faults of the load: more of it, and holders that are killed, stopped or hang for a time."""

import signal

from quincepath.lab.cluster import HolderProcess
from quincepath.lab.fleet.run.processes import LOOK
from quincepath.lab.fleet.run.queries import Queries
from quincepath.lab.fleet.script import FaultEntry


class Holding(Queries):
    """What a script does to holders and load."""

    def of_load(self, entry: FaultEntry, holders: list[str]) -> None:
        """Begin it; what it does to holders is over by itself."""
        if entry.kind == "surge":
            self.surge(entry)
            return
        chosen = [one for one in self.cluster.holders if one.name in holders]
        self.mark(f"{entry.how} {' '.join(holders)}")
        for holder in chosen:
            self._lose(holder, entry.how)
        self.at(self.now + entry.last, lambda: self._all_back(chosen, entry.how))

    def _all_back(self, chosen: list[HolderProcess], how: str) -> None:
        self.mark(f"back {' '.join(one.name for one in chosen)}")
        for holder in chosen:
            self._back(holder, how)

    def _lose(self, holder: HolderProcess, how: str) -> None:
        if how == "kill":
            holder.kill()
        elif how == "stop":
            holder.signal(signal.SIGSTOP)
        else:
            holder.control("hang")

    def _back(self, holder: HolderProcess, how: str) -> None:
        if how == "kill":
            if holder.process is None:
                holder.launch()
                self.loop.call_in(LOOK, lambda: self._look_at(holder))
        elif how == "stop":
            holder.signal(signal.SIGCONT)
        else:
            holder.control("none")

    def _look_at(self, holder: HolderProcess) -> None:
        """It has said where it serves: the pipe must not fill, and the end of the run needs it."""
        if holder.process is None:
            return
        if not holder.ready():
            self.loop.call_in(LOOK, lambda: self._look_at(holder))
            return
        holder.wait()
        self.mark(f"up {holder.name}")
