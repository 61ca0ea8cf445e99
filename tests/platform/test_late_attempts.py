"""Attempts at a part whose good reply the broker holds, against a broker process with nodes on loopback."""

from pathlib import Path

from tests.standins.platform import SECOND
from tests.standins.surplus import SOUND, Surplus, World

TAILS = (b"4", b"4d", b"f00dcaf" * 3, b"\0", bytes(40))
SOUND_QUERIES = 3
TARGET_NS = 3 * SECOND  # nothing is retried for its slowness, however busy the machine is


def test_a_good_reply_with_more_behind_it_is_not_asked_for_again(tmp_path: Path) -> None:
    parts_seen = dict[str, int]()

    def plan(part: str) -> Surplus:
        name = part.partition(".")[0]
        number = parts_seen.setdefault(name, len(parts_seen))
        return SOUND if number < SOUND_QUERIES else Surplus(TAILS[number % len(TAILS)])

    world = World(tmp_path, plan, target=TARGET_NS)
    try:
        world.start()
        client = world.connect()
        for number in range(SOUND_QUERIES + 4 * len(TAILS)):
            client.ask(f"q{number:04d}", [number % 24])
    finally:
        world.end()
    assert world.tally.served == world.tally.asked and not world.tally.wrong
    assert set(world.attempts()) == {1}
