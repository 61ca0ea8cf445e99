"""A client sends many requests at once on a connection: does each get its final answer in its time?"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Agent, CannotRun, Client, Node, Platform, Record, main, read_answer, request_bytes, settings

REQUESTS = 16  # as many as the broker holds of what is sent ahead
DEADLINE_MS = 2000
SLACK_S = 0.55  # an answer up to half a second after its time only earns nothing; limits are 50 ms longer
WORK_S = 0.23  # the most that the site states for a part of usage-summary


async def case(record: Record, trouble: bool) -> list[str]:
    """With the disruption all are sent at once on one connection, without it each on its own."""
    nodes = [Node(f"s-{i:08x}", i % 2, record, work=WORK_S) for i in range(4)]
    for node in nodes:
        await node.start()
    agent = Agent(nodes, record)
    await agent.start()
    platform = Platform(record, settings(), agent)
    try:
        await platform.start()
        first = await Client(platform.port, record, "first client").ask([0], DEADLINE_MS)
        if first.status != 200:
            raise CannotRun("a request alone was not served")
        taken: list[float] = []
        statuses: list[int] = []
        if trouble:
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            ids = [f"{random.SystemRandom().getrandbits(64):016x}" for _ in range(REQUESTS)]
            writer.write(
                b"".join(
                    request_bytes(id, [number % 8], "c41e77d0", DEADLINE_MS, "meter-history")
                    for number, id in enumerate(ids)
                )
            )
            began = time.monotonic()
            record(f"client sends {REQUESTS} requests at once: {' '.join(ids)}")
            for id in ids:
                try:
                    status, body = await asyncio.wait_for(read_answer(reader), 10)
                except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                    record(f"client got no answer to {id}: {type(error).__name__}")
                    break
                taken.append(time.monotonic() - began)
                statuses.append(status)
                record(f"client got {status} for {id} after {taken[-1]:.3f} s {body[:100].decode()!r}")
                waits = [part.wait_ms for node in nodes for part in node.parts if part.id.startswith(id)]
                record(f"its nodes were told that the broker waits {waits} ms")
            writer.close()
        else:
            clients = [Client(platform.port, record, f"client {i}") for i in range(REQUESTS)]
            answers = await asyncio.gather(*(c.ask([i % 8], DEADLINE_MS) for i, c in enumerate(clients)))
            taken, statuses = [a.took for a in answers], [a.status for a in answers]
        late = [f"{time:.2f}" for time in taken if time > DEADLINE_MS / 1000 + SLACK_S]
        record(f"statuses {statuses}, late {late}")
        return (
            [f"{len(late)} of {REQUESTS} requests with {DEADLINE_MS} ms were answered after {late} s"]
            if late
            else []
        )
    finally:
        platform.end()


if __name__ == "__main__":
    main(case, __file__)
