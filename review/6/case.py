"""Bad clients send hundreds of requests at once: does the broker stay within its memory?"""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import Agent, Answer, CannotRun, Client, Node, Platform, Record, main, settings

BAD_CLIENTS = 500
MEMORY_MB = 64
SECONDS = 8.0
SLACK_S = 0.55  # an answer up to half a second after its time only earns nothing; limits are 50 ms longer


async def case(record: Record, trouble: bool) -> list[str]:
    """Usual clients ask all the time; after 2 s the bad ones come, each once."""
    nodes = [Node(f"s-{i:08x}", i % 2, record) for i in range(4)]
    for node in nodes:
        await node.start()
    agent = Agent(nodes, record)
    await agent.start()
    platform = Platform(record, settings(), agent, memory_mb=MEMORY_MB, sockets=1024)
    bad: subprocess.Popen[bytes] | None = None
    broken: list[str] = []
    try:
        await platform.start()
        record(f"the broker's memory before any request: {platform.memory_kb()} kB")
        end = time.monotonic() + SECONDS
        answers: list[Answer] = []

        async def usual(client: Client) -> None:
            while time.monotonic() < end and platform.alive():
                answers.append(await client.ask([0, 1], 4000, patience=1.0))
                await asyncio.sleep(0.2)

        tasks = [asyncio.create_task(usual(Client(platform.port, record, f"client {i}"))) for i in range(4)]
        began = time.monotonic()
        while time.monotonic() < end and platform.alive():
            if trouble and bad is None and time.monotonic() > began + 2:
                record(f"{BAD_CLIENTS} bad clients send 500 requests each, at once")
                script = Path(__file__).resolve().parents[1] / "rig2" / "bad_clients.py"
                arguments = [str(platform.port), str(BAD_CLIENTS), "5", "requests", "0"]
                bad = subprocess.Popen(
                    [sys.executable, "-B", str(script), *arguments], stdout=subprocess.PIPE
                )
            size = platform.memory_kb()
            if size > MEMORY_MB * 1024:
                text = f"the broker holds {size} kB, over memory_mb {MEMORY_MB}: the platform kills it"
                broken.append(text)
                assert platform.process is not None
                platform.process.kill()
                platform.process.wait()
                break
            await asyncio.sleep(0.01)
        if not platform.alive() and not broken:
            broken.append("the broker ended")
        await asyncio.gather(*tasks)
        if not answers:
            raise CannotRun("no request was sent")
        late = [a for a in answers if not a.status or a.took > a.deadline + SLACK_S]
        broken.extend(f"request {a.id} of a usual client got no answer" for a in late)
        record(f"{len(answers)} requests, {len(late)} without an answer, peak {platform.peak_kb} kB")
        if bad is not None:
            record(f"bad clients: {bad.communicate()[0].decode().strip()}")
        return broken
    finally:
        if bad is not None and bad.poll() is None:
            bad.kill()
            bad.wait()
        platform.end()


if __name__ == "__main__":
    main(case, __file__)
