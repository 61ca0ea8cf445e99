"""The laboratory's relay in front of the real brokers, so that what they send can be lost or cut.

A real broker knows every other member by an address of the relay that is of this pair alone. Hollow brokers
treat what they send themselves, and reach real ones directly.
"""

from benchmarks.capacity.scale.plan import HOSTS_A_BLOCK, MemberPlan, Plan
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.relay import Relay
from quincepath.lab.fleet.script import Links
from quincepath.net.loop import Loop

BLOCKS_UP = 80  # the relay's second octet is by so many above the members'
SENDER_BLOCKS = 16  # third octets for each real broker


class RelayedLinks:
    """All pairs of a real broker and another member; ``ways`` are their links, without delay of their own."""

    def __init__(self, plan: Plan, loop: Loop) -> None:
        self.plan = plan
        self.ways = Ways(Links(delay=0, jitter=0), plan.seed)
        self._relay = Relay(loop, self.ways, lambda place, digest, size: None)
        for member in plan.members:
            self._relay.real[member.name] = member.place

    def address(self, sender: MemberPlan, to: MemberPlan) -> str:
        """How a real broker's configuration names another member."""
        if sender.name == to.name:
            return f"{to.host}:{to.place[1]}"
        high, low = divmod(to.number, HOSTS_A_BLOCK)
        third = sender.number * SENDER_BLOCKS + high
        host = f"127.{self.plan.block + BLOCKS_UP}.{third}.{low + 1}"
        return self._relay.add(sender.name, sender.name, to.name, host)

    def close(self) -> None:
        """Give back all sockets."""
        self._relay.close()
