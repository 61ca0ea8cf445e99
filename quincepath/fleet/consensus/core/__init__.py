"""The replicated log as a state machine without I/O: one voter, and a learner that follows the log.

Raft with pre-vote, a leader that steps down without a majority, reads confirmed by a round of messages,
snapshots in chunks, and voters added or removed one at a time. ``Voter.step(now, inputs)`` takes
``Received``, ``Propose``, ``ChangeVoters`` and ``ReadIndex``. Its outputs are carried out in order: a
``Persist`` is on disk before any output after it is sent. Times are ns. The ``StateMachine`` gives the
committed entries their meaning.

A voter is one class in layers, each of which knows only those below it: ``state``; ``committed``;
``replication`` (the leader's side of the log) and ``follower_log``; on replication ``elections`` and
``requests``; ``voter`` on all.
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
