"""A broker with a fault that no signal can time.

``python -m quincepath.lab.fleet.injected FAULT FILE WORDS...``, with these faults.

``commit=N``: a leader that has just applied revision N of the configuration dies (SIGKILL) before it tells
anybody. ``delta=N``: a relay that has just sent revision N to one other broker dies. FILE then tells that it
happened: of all that are started with the same FILE only one dies. ``deaf``: while FILE is there, news of the
log are not heard. The program is started as ``python -m quincepath`` starts it.
"""

import os
import runpy
import signal
import sys
from pathlib import Path

from quincepath.fleet.configuration.messages import Deltas, unpack
from quincepath.fleet.consensus.core.committed import Committed
from quincepath.fleet.consensus.core.state import Role
from quincepath.fleet.consensus.envelope import unpack as unpack_log
from quincepath.fleet.consensus.messages import LearnerEntries, LearnerSnapshotChunk
from quincepath.fleet.distribution import Distribution
from quincepath.fleet.messages import Rejected
from quincepath.fleet.permits import Permits
from quincepath.fleet.replicated_log import ReplicatedLog


def _die_once(file: Path) -> None:
    try:
        file.touch(exist_ok=False)
    except FileExistsError:
        return
    os.kill(os.getpid(), signal.SIGKILL)


def die_at_commit(revision: int, file: Path) -> None:
    """What a leader says of an entry is sent after ``_apply``: nothing of it has gone out."""
    apply = Committed._apply

    def dying(self: Committed) -> None:
        apply(self)
        machine = self.machine
        leads = self.role == Role.LEADER
        if leads and isinstance(machine, Permits) and machine.configuration.revision == revision:
            _die_once(file)

    Committed._apply = dying  # type: ignore[method-assign]


def die_in_delta(revision: int, file: Path) -> None:
    """After the first message to another broker that brings the revision."""
    send = Distribution._send

    def dying(self: Distribution, to: str, data: bytes) -> None:
        send(self, to, data)
        if to == self.entry.member:
            return
        body = unpack(data, self.entry.name, to)[1]
        if isinstance(body, Deltas) and body.deltas[-1].revision == revision:
            _die_once(file)

    Distribution._send = dying  # type: ignore[method-assign]


def be_deaf(file: Path) -> None:
    """Committed entries that others tell are dropped, as if lost on the way."""
    receive = ReplicatedLog.receive

    def deaf(self: ReplicatedLog, data: bytes) -> None:
        try:
            body = unpack_log(data, self.entry.name, self.entry.member)[1]
        except Rejected:
            body = None
        if not (isinstance(body, LearnerEntries | LearnerSnapshotChunk) and file.exists()):
            receive(self, data)

    ReplicatedLog.receive = deaf  # type: ignore[method-assign]


def main() -> None:
    """Plant the fault, then run the program with the words that follow."""
    fault, file = sys.argv[1], Path(sys.argv[2])
    kind, _, revision = fault.partition("=")
    if kind == "commit":
        die_at_commit(int(revision), file)
    elif kind == "delta":
        die_in_delta(int(revision), file)
    elif fault == "deaf":
        be_deaf(file)
    else:
        sys.exit(f"{fault!r}: expected commit=REVISION, delta=REVISION or deaf")
    sys.argv = ["quincepath", *sys.argv[3:]]
    runpy.run_module("quincepath", run_name="__main__")


if __name__ == "__main__":
    main()
