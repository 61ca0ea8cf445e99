"""Received states: of other members, of this member itself, and of second processes of one name."""

from quincepath.fleet.messages import Gossip, MemberState
from quincepath.fleet.view.facts import SECOND
from quincepath.fleet.view.own_state import RefuteResult
from quincepath.fleet.view.ports import OperatorNotice
from quincepath.fleet.view.sending import NEVER, MessageSender, OtherProcess

OTHER_PROCESS_MESSAGES = 3  # from a second process of one name, over as many periods, until it is reported
OTHER_PROCESS_MEMORY_NS = 30 * SECOND


class UpdateHandler(MessageSender):
    """Takes in received states, and corrects members that are unaware of what is believed about them."""

    def _is_newest(self, name: str, boot: int, count: int) -> bool:
        """Whether no later message of the same process came before: a replayed message is no sign of life."""
        known, last = self._counts.get(name, (-1, -1))
        if known == boot and count <= last:
            return False
        self._counts[name] = (boot, count)
        return True

    def _send_correction(self, name: str) -> None:
        """Send a member what is believed about it, after a message that ignores it; at most once per
        period."""
        if self.now >= self._corrected_at.get(name, -NEVER) + self.settings.period:
            self._corrected_at[name] = self.now
            self._send(name, Gossip(), (name,))

    def _on_other_process(self, name: str, boot: int) -> None:
        seen = self._other_processes.get(name)
        if seen is None or seen.boot != boot or self.now > seen.last + OTHER_PROCESS_MEMORY_NS:
            self._other_processes[name] = OtherProcess(boot, self.now, self.now)
            return
        seen.last = self.now
        seen.messages += 1
        lasting = self.now - seen.first >= OTHER_PROCESS_MESSAGES * self.settings.period
        if seen.proved and lasting and seen.messages >= OTHER_PROCESS_MESSAGES:
            if name not in self.clones:
                self._out.append(OperatorNotice("clone", f"two processes run as {name}"))
            self.clones[name] = self.now

    def _apply_state(self, state: MemberState, told_by: str) -> None:
        if state.name == self.settings.name:
            self._apply_own_state(state)
        elif state.name not in self.table.peers:
            self.dropped["unknown member"] += 1
        else:
            self.table.apply_state(state, self.now, told_by)

    def _apply_own_state(self, state: MemberState) -> None:
        result = self.own.apply_state(state, self.now)
        if result is RefuteResult.NONE:
            return
        if result in (RefuteResult.REFUTED, RefuteResult.TOOK_OVER, RefuteResult.CLONE):
            if result is RefuteResult.REFUTED:
                self.prober.health.on_missed(1)
            self._put_own(result.value)
        if result in (RefuteResult.CLONE, RefuteResult.YIELDED):
            self._out.append(OperatorNotice("clone", f"{result.value} (boot {state.boot:016x})"))
