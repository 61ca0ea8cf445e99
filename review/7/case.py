"""Nodes spoil some answers by a length that does not fit: does a client get a value that no node made?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Agent, CannotRun, Client, Node, Part, Platform, Record, main, settings

REQUESTS = 60
SPOILT_EVERY = 10  # of the answers of all nodes together


async def case(record: Record, trouble: bool) -> list[str]:
    """One client asks again and again; every tenth answer of the nodes declares too short a length."""
    nodes = [Node(f"s-{i:08x}", i % 2, record) for i in range(4)]
    count = spoilt = 0
    useless: set[object] = set()  # connections that carried a spoilt answer

    def serve(part: Part) -> None:
        nonlocal count, spoilt
        if part.writer in useless:
            record(f"{part.node.id} leaves {part.id} without an answer, its connection is of no use")
            return
        count += 1
        error = 0
        if trouble and count % SPOILT_EVERY == 0:
            error = -1 - spoilt % 8
            spoilt += 1
            useless.add(part.writer)
        asyncio.get_running_loop().call_later(part.node.work, lambda: part.reply(length_error=error))

    for node in nodes:
        node.on_part = serve
        await node.start()
    agent = Agent(nodes, record)
    await agent.start()
    platform = Platform(record, settings(), agent)
    try:
        await platform.start()
        client = Client(platform.port, record, "client")
        broken: list[str] = []
        served = 0
        for number in range(REQUESTS):
            answer = await client.ask([number % 8, (number + 1) % 8], 4000)
            served += answer.status == 200
            broken.extend(answer.wrong_values())
            await asyncio.sleep(0.05)
        record(f"{REQUESTS} requests, {served} served, {spoilt} answers spoilt, {len(broken)} wrong values")
        if served < REQUESTS / 2 or trouble and not spoilt:
            raise CannotRun(f"{served} of {REQUESTS} requests were served, {spoilt} answers were spoilt")
        return broken
    finally:
        platform.end()


if __name__ == "__main__":
    main(case, __file__)
