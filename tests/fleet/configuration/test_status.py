"""The aggregated status counts every broker, no silent relay, and no change before it is in force."""

from quincepath.fleet.configuration.messages import (
    MAX_LISTED_LAGGARDS,
    Laggard,
    Refusal,
    RevisionCount,
    Summary,
)
from quincepath.fleet.configuration.relay_preference import SECOND
from quincepath.fleet.configuration.status import MAX_RELAYS, RelaySummaries
from quincepath.lab.fleet.configuration_world.world import ConfigurationWorld, Shape


def summary(
    newest: int, counts: dict[int, int], *laggards: Laggard, refusals: tuple[Refusal, ...] = ()
) -> Summary:
    behind = sum(count for revision, count in counts.items() if revision < newest)
    rows = tuple(RevisionCount(revision, counts[revision]) for revision in sorted(counts, reverse=True))
    return Summary(newest, 100, sum(counts.values()), rows, 0, laggards, behind, refusals, len(refusals))


def test_a_change_is_in_force_everywhere_only_when_all_brokers_have_it() -> None:
    summaries = RelaySummaries()
    summaries.record("r1", summary(5, {5: 10}), 0)
    summaries.record("r2", summary(5, {5: 8, 4: 1}, Laggard("b7", 4, 2500)), 0)
    found = summaries.status(5, 20, SECOND)
    assert (found.in_force, found.behind, found.missing, found.oldest_behind_ms) == (18, 1, 1, 2500)
    assert not found.everywhere
    summaries.record("r2", summary(5, {5: 10}), SECOND)
    assert summaries.status(5, 20, SECOND).everywhere
    assert not summaries.status(5, 21, SECOND).everywhere
    # A relay that does not know revision 6 yet reports no laggards, but the voter does know it.
    assert not summaries.status(6, 20, SECOND).everywhere
    assert summaries.status(6, 20, SECOND).behind == 20


def test_a_silent_relay_is_not_counted() -> None:
    summaries = RelaySummaries()
    summaries.record("r1", summary(5, {5: 10}), 0)
    summaries.record("r2", summary(5, {5: 10}), 9 * SECOND)
    found = summaries.status(5, 20, 11 * SECOND)
    assert (found.subscribed, found.missing) == (10, 10)
    assert [(relay.name, relay.counted, relay.heard_ms) for relay in found.relays] == [
        ("r1", False, 11_000), ("r2", True, 2000),
    ]  # fmt: skip
    assert found.relays[1].age_ms == 2100
    assert "not heard for 11.0 s, not counted" in "\n".join(found.lines())


def test_the_status_is_bounded_for_any_number_of_relays() -> None:
    summaries = RelaySummaries()
    rows = tuple(Laggard(f"b{number:02}", 1, number) for number in range(30))
    for relay in range(MAX_RELAYS):
        assert summaries.record(f"r{relay}", summary(100, {relay: 30}, *rows), 0)
    assert not summaries.record("one more", summary(100, {100: 1}), 0)
    assert summaries.record("r0", summary(100, {0: 30}), 0)
    found = summaries.status(100, 3000, 0)
    assert len(found.laggards) == MAX_LISTED_LAGGARDS and found.laggards[0].behind == 29
    assert found.older == 30 * (MAX_RELAYS - len(found.counts)) and found.behind == 3000
    summaries.forget("r1")
    assert summaries.record("one more", summary(100, {100: 1}), 0)


def test_the_status_lines_name_laggards_and_refusals() -> None:
    summaries = RelaySummaries()
    refusal = Refusal("b3", 4, 5, "node/n1", "node/n1.shards: s9; expected a whole replica set")
    summaries.record("r1", summary(5, {5: 1, 4: 1}, Laggard("b3", 4, 61_000), refusals=(refusal,)), 0)
    lines = summaries.status(5, 2, 0).lines()
    assert lines[0] == "revision 5: in force at 1 of 2 brokers, 1 behind, 1 refuse, 0 at no relay"
    assert "  behind: b3 at 4 for 61.0 s" in lines
    assert any(line.startswith("  refuses 5: b3, stays at 4: node/n1: node/n1.shards: s9") for line in lines)


def test_the_status_of_a_simulated_fleet_matches_its_brokers() -> None:
    world = ConfigurationWorld(Shape(30), 1)
    world.run(10 * SECOND)
    summaries = RelaySummaries()
    for name, process in world.relays.items():
        assert process.summary is not None
        summaries.record(name, process.summary, world.now)
    found = summaries.status(world.voters.history.revision, 30, world.now)
    assert found.everywhere and found.subscribed == 30 and found.refused == 0
