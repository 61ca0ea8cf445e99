"""Bad clients send long bodies in small chunks: do usual clients get their final answers in time?"""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Agent, Answer, CannotRun, Client, Node, Platform, Record, main, settings

BAD_CLIENTS = 500
SECONDS = 16.0
DEADLINE_MS = 2000
SLACK_S = 0.55  # an answer up to half a second after its time only earns nothing; limits are 50 ms longer


async def case(record: Record, trouble: bool) -> list[str]:
    """Four usual clients with a connection each; after 2 s the bad ones come."""
    nodes = [Node(f"s-{i:08x}", i % 2, record) for i in range(4)]
    for node in nodes:
        await node.start()
    agent = Agent(nodes, record)
    await agent.start()
    platform = Platform(record, settings(), agent)
    bad: subprocess.Popen[bytes] | None = None
    try:
        await platform.start()
        answers: list[Answer] = []
        end = time.monotonic() + SECONDS

        async def usual(client: Client) -> None:
            while time.monotonic() < end:
                answers.append(await client.ask([0, 1], DEADLINE_MS, patience=20.0))
                await asyncio.sleep(0.3)

        tasks = [asyncio.create_task(usual(Client(platform.port, record, f"client {i}"))) for i in range(4)]
        await asyncio.sleep(2)
        if trouble:
            record(f"{BAD_CLIENTS} bad clients send bodies of 60 MB in chunks of one byte")
            script = Path(__file__).resolve().parents[1] / "rig2" / "bad_clients.py"
            arguments = [str(platform.port), str(BAD_CLIENTS), str(SECONDS - 2), "body", "1"]
            bad = subprocess.Popen([sys.executable, "-B", str(script), *arguments], stdout=subprocess.PIPE)
        await asyncio.gather(*tasks)
        if not platform.alive():
            return ["the broker ended"]
        if len(answers) < 8:
            raise CannotRun("too few requests were sent")
        late = [a for a in answers if not a.status or a.took > a.deadline + SLACK_S]
        record(f"{len(answers)} requests, {len(late)} not answered within {DEADLINE_MS / 1000 + SLACK_S} s")
        if bad is not None:
            record(f"bad clients: {bad.communicate()[0].decode().strip()}")
        return [
            f"request {a.id} with {DEADLINE_MS} ms got {a.status or 'no answer'} after {a.took:.2f} s"
            for a in late
        ]
    finally:
        if bad is not None and bad.poll() is None:
            bad.kill()
            bad.wait()
        platform.end()


if __name__ == "__main__":
    main(case, __file__)
