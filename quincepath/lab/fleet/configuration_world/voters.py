"""The voters as a script: a committed log, a leader that tells the others, an election after its death.

The log's own core is tested elsewhere (fleet/consensus); here only what a relay sees of it counts: which
voter knows of which revision when, and how old that voter's word is. Committed means: a majority of the
voters has it, so a later leader knows it, too.
"""

from collections.abc import Callable

from quincepath.fleet.configuration.changes import Change, encoded_size
from quincepath.fleet.configuration.history import Answer, History
from quincepath.fleet.configuration.ports import Committed, Loaded
from quincepath.lab.fleet.configuration_world.network import MS, SECOND, VirtualNetwork

HEARTBEAT = 200 * MS  # of the leader, as fleet/consensus has it
ELECTION = (1000 * MS, 2000 * MS)
LEASE = 3 * SECOND  # a follower is told of commits for so long after it asked
ENTRIES_MOST = 64  # deltas in one message
MESSAGE_BYTES = 64  # around the deltas of a message
NOBODY = ""


class Voters:
    """``tell(relay, told, size, voter)`` is called with what a voter sends to a relay."""

    def __init__(
        self,
        network: VirtualNetwork,
        names: list[str],
        tell: Callable[[str, str, Committed | Loaded, int], None],
    ) -> None:
        """The first name leads."""
        self.net, self.names, self._tell = network, names, tell
        self.history = History()
        self.leader = names[0]
        self.dead: dict[str, int] = {}
        self.known = dict.fromkeys(names, 0)  # newest revision that each knows to be committed
        self.heard_at = dict.fromkeys(names, 0)  # when each last heard the leader
        self.followers: dict[str, dict[str, list[int]]] = {name: {} for name in names}  # [told, until]
        self.on_commit: Callable[[int], None] = lambda revision: None
        self.kill_leader_at_commit = False
        network.at(HEARTBEAT, self._beat)

    # --- the log ---

    def majority(self, name: str) -> bool:
        """Whether a voter hears enough others."""
        heard = sum(other not in self.dead and self.net.reachable(name, other) for other in self.names)
        return heard > len(self.names) // 2

    def commit(self, change: Change) -> Answer | None:
        """Commit now; None where there is no leader with a majority."""
        if not self.leader or not self.majority(self.leader):
            return None
        before = self.history.revision
        answer = self.history.apply(change)
        if self.history.revision > before:
            self.on_commit(self.history.revision)
            if self.kill_leader_at_commit:
                self.kill_leader_at_commit = False
                self.kill(self.leader)
            else:
                self._learn(self.leader, self.history.revision)
                self._tell_voters()
        return answer

    def _beat(self) -> None:
        self.net.at(self.net.now + HEARTBEAT, self._beat)
        if self.leader and self.majority(self.leader):
            self.heard_at[self.leader] = self.net.now
            self._tell_voters()
        elif self.leader:
            self._elect()

    def _tell_voters(self) -> None:
        leader, revision = self.leader, self.known[self.leader]
        for name in self.names:
            if name != leader and name not in self.dead:
                self.net.send(
                    leader,
                    name,
                    MESSAGE_BYTES,
                    lambda name=name: self._heard(name, revision),  # type: ignore[misc]
                )

    def _heard(self, name: str, revision: int) -> None:
        if name not in self.dead:
            self.heard_at[name] = self.net.now
            self._learn(name, revision)

    def kill(self, name: str) -> None:
        """For good; if it leads, another does after an election."""
        self.dead[name] = self.net.now
        if name == self.leader:
            self._elect()

    def revive(self, name: str) -> None:
        """Back with its log; what of it is committed it learns from the leader."""
        self.dead.pop(name, None)

    def _elect(self) -> None:
        self.leader = NOBODY
        self.net.at(self.net.now + self.net.random.randrange(*ELECTION), self._elected)

    def _elected(self) -> None:
        if self.leader:
            return
        for name in self.names:
            if name not in self.dead and self.majority(name):
                self.leader = name
                self.heard_at[name] = self.net.now
                self._learn(name, self.history.revision)
                self._tell_voters()
                return
        self._elect()

    # --- those that follow ---

    def follow(self, relay: str, voter: str, revision: int) -> None:
        """A relay asks a voter for what comes after a revision."""
        if voter not in self.dead:
            self.followers[voter][relay] = [revision, self.net.now + LEASE]
            self._tell_relay(voter, relay)

    def _learn(self, voter: str, revision: int) -> None:
        if revision <= self.known[voter]:
            return
        self.known[voter] = revision
        for relay, row in list(self.followers[voter].items()):
            if self.net.now >= row[1]:
                del self.followers[voter][relay]
            else:
                self._tell_relay(voter, relay)

    def _tell_relay(self, voter: str, relay: str) -> None:
        row, newest = self.followers[voter][relay], self.known[voter]
        history = self.history
        if row[0] < history.log.floor:
            deltas = history.log.since(history.log.floor) or ()
            size = MESSAGE_BYTES + history.table.bytes + history.log.bytes
            self._tell(voter, relay, Loaded(history.revision, dict(history.table.values), deltas), size)
            return
        known = [delta for delta in history.log.since(row[0]) or () if delta.revision <= newest]
        deltas = tuple(known[:ENTRIES_MOST])
        size = MESSAGE_BYTES + sum(map(encoded_size, deltas))
        age = self.net.now - self.heard_at[voter]
        self._tell(voter, relay, Committed(newest, deltas, age), size)
        row[0] = max(row[0], deltas[-1].revision if deltas else 0)
