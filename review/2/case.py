"""Case 2: clients that send much at once and go use up the memory that the broker may have."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import HOST, TROUBLE, Client, World, request_bytes, run, settings  # noqa: E402

MEMORY_MB = 64  # of 32 to 192; this program was given 64 on the long day
SOCKETS = 384  # of 256 to 1,024
QUERIES_PER_S = 14  # what the brief of the deployment gives for all brokers
SECONDS = 40
BAD_PER_S = 2
AT_ONCE = 20  # requests that each of them sends at once; the page says hundreds
PREDICATE = 65_300  # a body holds no more than 64 KiB
STAYS_S = 0.1


async def bad_client(world: World, number: int) -> None:
    """Connect, send requests of one form at once, go before the first is answered."""
    requests = [
        request_bytes(
            f"bad-{number}-{index}", "meter-history", [number % 12], 1.5, "c" * (index and PREDICATE)
        )
        for index in range(AT_ONCE)
    ]
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(HOST, world.broker.port)
        writer.write(b"".join(requests))
        await asyncio.sleep(STAYS_S)
        writer.transport.abort()
        world.record.line(f"bad client {number} sent {sum(map(len, requests))} bytes at once and went")


async def platform_limit(world: World) -> None:
    """Kill the broker when it is over its limit on memory, as the platform does."""
    last = 0
    while world.broker.running():
        resident = world.broker.resident_kb()
        if abs(resident - last) > 1024:
            world.record.line(f"broker has {resident} kB resident")
            last = resident
        if resident > MEMORY_MB * 1024:
            world.record.line(f"platform: {resident} kB is over memory_mb={MEMORY_MB}")
            world.broker.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.1)


async def usual_clients(world: World, client: Client) -> None:
    """Ask at an even rate for as long as the broker runs."""
    asks = []
    for number in range(QUERIES_PER_S * SECONDS):
        if not world.broker.running():
            break
        shards = [number % 12, (number + 1) % 12]
        asks.append(asyncio.create_task(client.ask("meter-history", shards, 3.0)))
        await asyncio.sleep(1 / QUERIES_PER_S)
    await asyncio.gather(*asks)


async def bad_clients(world: World) -> None:
    """One bad client after another, for as long as the broker runs."""
    for number in range(BAD_PER_S * SECONDS):
        if world.broker.running():
            await bad_client(world, number)
            await asyncio.sleep(1 / BAD_PER_S - STAYS_S)


async def case(world: World) -> bool:
    """Usual traffic beside bad clients; broken if the broker ends."""
    await world.open(cells=3, replicas=2, work=0.15)
    await world.broker.start(world.config(settings(), MEMORY_MB, SOCKETS))
    client = Client(world.record, world.broker, patience=0.6)
    platform = asyncio.create_task(platform_limit(world))
    troubles = [bad_clients(world)] if TROUBLE else []
    await asyncio.gather(usual_clients(world, client), *troubles)
    await asyncio.sleep(2)
    broken = not world.broker.running()
    platform.cancel()
    world.record.line(f"broker has {world.broker.resident_kb()} kB resident at the end, killed: {broken}")
    unanswered = [asked for asked in client.asked if not asked.status]
    for asked in unanswered:
        world.record.line(f"no answer: {asked.name}, {asked.cause}")
    world.record.line(f"usual requests: {len(client.asked)}, without an answer: {len(unanswered)}")
    return broken


if __name__ == "__main__":
    run(FOLDER, case)
