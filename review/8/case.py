"""Answers come in pieces, some with a wrong length: does a client get a value that no node made?"""

import asyncio
import random
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Agent, CannotRun, Client, Node, Part, Platform, Record, main, settings

CLIENTS = 24
SECONDS = 60.0
SPOILT_EVERY = 10  # of the answers behind which other parts wait on the same connection
LONGEST_MISFIT = 4  # bytes by which a spoilt answer's length is too small
GAP_S = 0.01  # between two pieces of an answer


class PiecesNode(Node):
    """A node that writes each answer in two pieces, cut at a random place, one answer after the other."""

    def __init__(self, id: str, cell: int, record: Record, trouble: bool, seed: int) -> None:
        super().__init__(id, cell, record)
        self.trouble, self.random = trouble, random.Random(seed)
        self.waiting: dict[asyncio.StreamWriter, int] = {}
        self.locks: dict[asyncio.StreamWriter, asyncio.Lock] = {}
        self.useless: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.eligible = self.spoilt = 0
        self.log_parts = False

    def serve(self, part: Part) -> None:
        """Answer a part after its work."""
        self.waiting[part.writer] = self.waiting.get(part.writer, 0) + 1
        task = asyncio.create_task(self.answer(part))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(self, part: Part) -> None:
        """Work, then write the answer in pieces; nothing is written behind a spoilt answer."""
        writer = part.writer
        await asyncio.sleep(self.random.uniform(0.01, 0.06))
        async with self.locks.setdefault(writer, asyncio.Lock()):
            if writer in self.useless or writer.is_closing():
                return
            rest = b"q" + f"{part.id} good 1840277719 inflight=1\n{part.value}".encode()
            misfit = 0
            if self.trouble and self.waiting[writer] > 1:
                self.eligible += 1
                if self.eligible % SPOILT_EVERY == 0:
                    misfit = self.random.randint(1, LONGEST_MISFIT)
                    self.spoilt += 1
                    self.useless.add(writer)
                    self.record(f"{self.id} spoils {part.id}: length {len(rest) - misfit} for {len(rest)}")
            data = struct.pack("<I", len(rest) - misfit) + rest
            cut = self.random.randint(1, len(data) - 1)
            writer.write(data[:cut])
            await asyncio.sleep(GAP_S)
            if not writer.is_closing():
                writer.write(data[cut:])
            self.waiting[writer] -= 1


async def case(record: Record, trouble: bool) -> list[str]:
    """Usual clients ask all the time, four parts a request."""
    seed = random.SystemRandom().getrandbits(32)
    record(f"seed {seed}")
    nodes = [PiecesNode(f"s-{i:08x}", i % 2, record, trouble, seed + i) for i in range(4)]
    for node in nodes:
        await node.start()
    agent = Agent(list(nodes), record)
    await agent.start()
    platform = Platform(record, settings(), agent)
    try:
        await platform.start()
        end = time.monotonic() + SECONDS
        broken: list[str] = []
        asked = served = 0

        async def usual(client: Client, shards: random.Random) -> None:
            nonlocal asked, served
            while time.monotonic() < end:
                answer = await client.ask(shards.sample(range(8), 4), 4000, "usage-summary")
                asked += 1
                served += answer.status == 200
                for text in answer.wrong_values():
                    record(f"WRONG {text}")
                    broken.append(text)
                await asyncio.sleep(0.02)

        await asyncio.gather(
            *(
                usual(Client(platform.port, record, f"client {i}"), random.Random(seed + i))
                for i in range(CLIENTS)
            )
        )
        spoilt = sum(node.spoilt for node in nodes)
        record(f"{asked} requests, {served} served, {spoilt} answers spoilt, {len(broken)} wrong values")
        if served < asked / 4 or trouble and not spoilt:
            raise CannotRun(f"{served} of {asked} requests were served, {spoilt} answers were spoilt")
        return broken
    finally:
        platform.end()


if __name__ == "__main__":
    main(case, __file__)
