"""What is said of members: news of others, words on this member itself, second processes of one name."""

from quincepath.fleet.messages import Gossip, MemberState
from quincepath.fleet.view.facts import SECOND
from quincepath.fleet.view.own_state import RefuteResult
from quincepath.fleet.view.ports import OperatorNotice
from quincepath.fleet.view.sending import NEVER, MessageSender, OtherProcess

OTHER_PROCESS_MESSAGES = 3  # messages of a second process of one name, over as many periods, until it is told
OTHER_PROCESS_MEMORY_NS = 30 * SECOND


class UpdateHandler(MessageSender):
    """Takes in what is said of members, and corrects who speaks as if it did not know."""

    def _newest(self, name: str, boot: int, count: int) -> bool:
        """Whether no later message of the same process came before: a replay proves nothing of now."""
        known, last = self._counts.get(name, (-1, -1))
        if known == boot and count <= last:
            return False
        self._counts[name] = (boot, count)
        return True

    def _correct(self, name: str) -> None:
        """Tell a member what is believed of it, where it speaks as if it did not know; once a period."""
        if self.now >= self._corrected.get(name, -NEVER) + self.settings.period:
            self._corrected[name] = self.now
            self._send(name, Gossip(), (name,))

    def _stranger(self, name: str, boot: int) -> None:
        seen = self._other_processes.get(name)
        if seen is None or seen.boot != boot or self.now > seen.last + OTHER_PROCESS_MEMORY_NS:
            self._other_processes[name] = OtherProcess(boot, self.now, self.now)
            return
        seen.last = self.now
        seen.times += 1
        lasting = self.now - seen.first >= OTHER_PROCESS_MESSAGES * self.settings.period
        if seen.proved and lasting and seen.times >= OTHER_PROCESS_MESSAGES:
            if name not in self.clones:
                self._out.append(OperatorNotice("clone", f"two processes run as {name}"))
            self.clones[name] = self.now

    def _apply_state(self, about: MemberState, teller: str) -> None:
        if about.name == self.settings.name:
            self._apply_own_state(about)
        elif about.name not in self.table.peers:
            self.dropped["unknown member"] += 1
        else:
            self.table.apply_state(about, self.now, teller)

    def _apply_own_state(self, about: MemberState) -> None:
        answer = self.own.apply_state(about, self.now)
        if answer is RefuteResult.NONE:
            return
        if answer in (RefuteResult.REFUTED, RefuteResult.TOOK_OVER, RefuteResult.CLONE):
            if answer is RefuteResult.REFUTED:
                self.prober.health.missed(1)
            self._say_own(answer.value)
        if answer in (RefuteResult.CLONE, RefuteResult.YIELDED):
            self._out.append(OperatorNotice("clone", f"{answer.value} (boot {about.boot:016x})"))
