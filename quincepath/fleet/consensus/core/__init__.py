"""The keepers' log as a machine without I/O: one keeper of it, and a broker that follows it.

Raft with pre-vote, a leader that steps down without a majority, reads confirmed by a round, snapshots in
pieces, and keepers changed one at a time. ``Keeper.step(now, inputs)`` takes ``Came``, ``Propose``,
``Change`` and ``Read``; its outputs are carried out in order: a ``Persist`` is on disk before anything behind
it leaves. Times are ns. What the committed entries mean is the ``Machine``'s.

A keeper is one class in layers, each of which knows only those under it: ``state``; ``committed``;
``replication`` (the leader's side of the log) and ``following``; on replication ``elections`` and
``requests``; ``keeper`` on all.
"""

from quincepath.fleet.consensus.core.committed import MAX_LEARNERS
from quincepath.fleet.consensus.core.learner import Learner
from quincepath.fleet.consensus.core.ports import (
    ChangeVoters,
    ConsensusSettings,
    Done,
    Input,
    Notice,
    Output,
    Persist,
    Propose,
    ReadIndex,
    Received,
    Refused,
    Send,
    StateMachine,
)
from quincepath.fleet.consensus.core.requests import MAX_OPEN_REQUESTS
from quincepath.fleet.consensus.core.state import Role
from quincepath.fleet.consensus.core.voter import Voter

__all__ = [
    "MAX_LEARNERS", "MAX_OPEN_REQUESTS", "ChangeVoters", "ConsensusSettings", "Done", "Input", "Learner",
    "Notice", "Output", "Persist", "Propose", "ReadIndex", "Received", "Refused", "Role", "Send",
    "StateMachine", "Voter",
]  # fmt: skip
