"""Attempts at a part that a node has answered, with good replies that have more behind them and cut ones."""

from pathlib import Path

import pytest

from tests.standins.platform import SECOND
from tests.standins.surplus import ProcessWorld, VirtualWorld, play
from tests.standins.surplus_nodes import SOUND, Mix, Surplus

TAILS = (b"4", b"4d", b"f00dcaf" * 3, b"\0", bytes(40))
SOUND_QUERIES = 3
TARGET_NS = 3 * SECOND  # nothing is retried for its slowness, however busy the machine is


def test_a_good_reply_with_more_behind_it_is_not_asked_for_again(tmp_path: Path) -> None:
    parts_seen = dict[str, int]()

    def plan(part: str) -> Surplus:
        name = part.partition(".")[0]
        number = parts_seen.setdefault(name, len(parts_seen))
        return SOUND if number < SOUND_QUERIES else Surplus(TAILS[number % len(TAILS)])

    world = ProcessWorld(tmp_path, plan, target=TARGET_NS)
    try:
        world.start()
        client = world.connect()
        for number in range(SOUND_QUERIES + 4 * len(TAILS)):
            client.ask(f"q{number:04d}", [number % 24])
    finally:
        world.end()
    assert world.tally.served == world.tally.asked and not world.tally.wrong
    assert set(world.attempts()) == {1}


MIXES = {
    "noise and cut values": Mix(share=0.3, tail="any noise", spoilt=0.5, by_attempt=True, slow=0.02),
    "in pieces": Mix(share=0.1, tail="any noise", spoilt=0.5, by_attempt=True, pieces=0.3),
    "a character behind half of the parts": Mix(),
}


@pytest.mark.parametrize("lengths", [range(16, 17), range(8, 25)], ids=["one length", "many lengths"])
@pytest.mark.parametrize("mix", MIXES.values(), ids=MIXES)
def test_no_attempt_begins_long_after_a_good_reply_and_no_wrong_value_is_served(
    mix: Mix, lengths: range
) -> None:
    world = VirtualWorld(mix.plan(), lengths)
    play(world, 6, 4, mix.seed)
    assert world.tally.asked > 100 and not world.tally.wrong
    assert world.late_attempts() == 0
    assert len(lengths) > 1 or world.tally.served >= 0.9 * world.tally.asked
