"""New configurations in quick succession while discovery is slow: does a drained node get new work?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import MS, SECOND, Agent, CannotRun, Client, Node, Platform, Record, main, settings

SLOW_S = 1.4  # until discovery begins to answer a call
INTERVAL_S = 1.2  # between two new configurations
CONFIGURATIONS = 9
TOLD_S = 6.0  # after discovery had a change and could be reached, at the latest
GRACE_S = 1.0
SLACK_S = 0.05


async def case(record: Record, trouble: bool) -> list[str]:
    """Node 0 begins to drain right after the first new configuration; each of these names a new address."""
    nodes = [Node(f"s-{i:08x}", i % 2, record) for i in range(4)]
    for node in nodes:
        await node.start()
    agents = [Agent(nodes, record) for _ in range(CONFIGURATIONS + 1)]
    for agent in agents:
        await agent.start()
        agent.delay = SLOW_S
    rules = {"drainGrace": int(GRACE_S * SECOND), "mustAskIn": 10 * SECOND}
    limits = {"dialTimeout": 250 * MS}
    site = settings(discovery="ask", rules=rules, limits=limits)
    platform = Platform(record, site, agents[0])
    try:
        await platform.start()
        stop = asyncio.Event()

        async def usual(client: Client) -> None:
            while not stop.is_set():
                await client.ask([0, 1], 4000)
                await asyncio.sleep(0.05)

        tasks = [asyncio.create_task(usual(Client(platform.port, record, f"client {i}"))) for i in range(3)]
        await asyncio.sleep(8)  # the broker has its watch, and has seen how slow discovery is
        known = time.monotonic()
        nodes[0].state = "DRAINING"
        for agent in agents:
            agent.publish(nodes[0])
        for number in range(CONFIGURATIONS):
            if trouble or not number:
                platform.write_config(agents[1 + number])
                platform.hangup()

                async def retire(agent: Agent) -> None:
                    agent.server.close()
                    await asyncio.sleep(1.5)
                    for writer in list(agent.writers):
                        writer.close()

                tasks.append(asyncio.create_task(retire(agents[number])))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(6)
        stop.set()
        await asyncio.gather(*tasks)
        if not platform.alive():
            return ["the broker ended"]
        limit = known + TOLD_S + GRACE_S + SLACK_S
        late = [part for part in nodes[0].parts if part.at > limit]
        before = sum(part.at <= known for part in nodes[0].parts)
        record(
            f"node 0 got {before} parts before it drained, {len(late)} later than {limit - known:.2f} s after"
        )
        if not before:
            raise CannotRun("node 0 got no part before it drained")
        if not late:
            return []
        last = late[-1].at - known
        return [
            f"node 0 got {len(late)} parts later than {limit - known:.2f} s after it began to drain, "
            f"the last {last:.2f} s after"
        ]
    finally:
        platform.end()


if __name__ == "__main__":
    main(case, __file__)
