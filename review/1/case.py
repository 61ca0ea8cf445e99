"""Case 1: answers whose length does not fit reach clients as values that no node made."""

import asyncio
import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import TROUBLE, Client, Node, World, reply_line, run, settings  # noqa: E402

QUERIES_PER_S = 14  # what the brief of the deployment gives for all brokers
SECONDS = 40
SPOILT_ONE_IN = 10  # of the answers behind which other parts wait on the same connection
MISFITS = (-4, 1)  # by how many bytes a spoilt answer's length is too small or too large, in turn


class SpoilingNode(Node):
    """A node some of whose answers have a length that does not fit, while other parts wait there."""

    eligible = 0
    spoilt = 0

    def frame_of(self, part: str, end: str, value: str, others_wait: bool) -> bytes:
        """One answer; a spoilt one is whole, but for its length."""
        line = reply_line(part, end, self.inflight, value)
        size = 1 + len(line)
        if TROUBLE and others_wait:
            self.eligible += 1
            if self.eligible % SPOILT_ONE_IN == 0:
                misfit = MISFITS[self.spoilt % len(MISFITS)]
                self.spoilt += 1
                self.record.line(f"node {self.name} spoils {part}: length {size + misfit} for {size}")
                size += misfit
        return struct.pack("<I", size) + b"q" + line


async def case(world: World) -> bool:
    """Usual traffic; broken if a client is served a value that no node made for its request."""
    await world.open(cells=3, replicas=2, work=0.15, make=SpoilingNode)
    await world.broker.start(world.config(settings()))
    client = Client(world.record, world.broker, patience=0.6)
    asks = []
    for number in range(QUERIES_PER_S * SECONDS):
        shards = [(number + step) % 12 for step in (0, 3, 6)]
        asks.append(asyncio.create_task(client.ask("meter-history", shards, 3.0)))
        await asyncio.sleep(1 / QUERIES_PER_S)
    await asyncio.gather(*asks)
    wrong = [asked for asked in client.asked if asked.wrong]
    for asked in wrong:
        world.record.line(f"BROKEN {asked.name} status={asked.status}, {asked.wrong}")
    spoilt = sum(node.spoilt for node in world.nodes if isinstance(node, SpoilingNode))
    world.record.line(f"{len(client.asked)} asked, {spoilt} answers spoilt, {len(wrong)} served wrong values")
    return bool(wrong)


if __name__ == "__main__":
    run(FOLDER, case)
