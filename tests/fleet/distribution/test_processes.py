"""Configuration distribution over processes: what is lost or undone when leaders and relays fail.

Real time, but every wait is for an event with a generous end, and every fault comes at an event: a leader
dies when it has committed and told nobody, a relay when it has told one broker.
"""

import signal
from pathlib import Path

from tests.fleet.distribution.processes import EAST, KEEPERS, MEMBERS, WEST, ProcessFleet, nodes, running
from tests.test_fleet_processes import until

BROKERS = MEMBERS[5:]  # those that neither keep the log nor relay


def never_back(world: ProcessFleet, without: set[str]) -> None:
    """By the log lines of each broker, but of those that were started anew."""
    for name in set(MEMBERS) - without:
        seen = world.revisions(name)
        assert seen and seen == sorted(set(seen)), (name, seen)


def test_a_change_is_lost_with_the_leader_that_committed_it_or_with_the_relay_that_told_half(
    tmp_path: Path,
) -> None:
    died, fell = tmp_path / "leader-died", tmp_path / "relay-fell"
    injected = {name: ("commit=2", died) for name in KEEPERS} | {EAST: ("delta=3", fell)}
    with running(tmp_path, injected) as world:
        # The leader dies when the change is committed; the order waits for the next one, and has one answer.
        assert world.propose("m7", "out", 1, remove=["node/a1"]) == (0, "propose: committed as revision 2\n")
        assert died.exists()
        dead = [name for name in KEEPERS if world.children[name].process.poll() is not None]  # type: ignore[union-attr]
        assert len(dead) == 1
        alive = [name for name in MEMBERS if name not in dead]
        world.until(lambda: all(world.own(name)["revision"] == 2 for name in alive), *BROKERS)
        assert world.propose("m5", "out", 1, remove=["node/a1"])[1] == "propose: committed as revision 2\n"
        before = world.got("a1"), world.got("a0")
        for name in BROKERS:
            for _ in range(10):
                world.query(name)
        assert world.got("a1") == before[0] and world.got("a0") > before[1]  # it is out, its sibling serves
        world.start_again(dead[0])
        keeper = next(name for name in KEEPERS if name not in dead)
        world.until(lambda: world.config("status", "--at", world.metrics[keeper])[0] == 0, *BROKERS)

        # A relay dies when it has told one of its brokers.
        back = nodes(world)["node/a1"]
        assert world.propose("m7", "in", 2, set={"node/a1": back})[1] == "propose: committed as revision 3\n"
        alive = [name for name in MEMBERS if name != EAST]
        world.until(lambda: all(world.own(name)["revision"] == 3 for name in alive), *BROKERS)
        assert fell.exists()
        world.until(lambda: {world.own(name)["relay"] for name in alive} == {WEST}, *BROKERS)
        assert world.config("status", "--at", world.metrics["m0"])[0] == 3  # one broker is nowhere
        world.start_again(EAST)
        world.until(lambda: world.config("status", "--at", world.metrics["m0"])[0] == 0, *BROKERS)
        never_back(world, {EAST, dead[0]})
        assert set(world.answers) == {"whole"}, world.answers


def test_a_silent_relay_keeps_its_brokers_or_one_that_lags_takes_them_back(tmp_path: Path) -> None:
    deaf = tmp_path / "deaf"
    with running(tmp_path, {WEST: ("deaf", deaf)}) as world:
        # Silent but connected: the process stands still, its connections stand.
        world.children[EAST].signal(signal.SIGSTOP)
        assert world.propose("m7", "out", 1, remove=["node/a1"])[0] == 0
        others = [name for name in MEMBERS if name != EAST]
        world.until(lambda: all(world.own(name)["revision"] == 2 for name in others), *BROKERS)
        world.until(lambda: {world.own(name)["relay"] for name in others} == {WEST}, *BROKERS)
        code, said = world.config("status", "--at", world.metrics["m0"])
        assert code == 3 and "revision 2: in force at" in said
        world.children[EAST].signal(signal.SIGCONT)
        world.until(lambda: world.own(EAST)["revision"] == 2, *BROKERS)

        # A relay that hears nothing of the log lags; the other one goes, and all are connected to it again.
        deaf.touch()
        back = nodes(world)["node/a1"]
        assert world.propose("m7", "in", 2, set={"node/a1": back})[0] == 0
        world.until(lambda: all(world.own(name)["revision"] == 3 for name in MEMBERS), *BROKERS)
        world.children[EAST].kill()
        rest = [name for name in MEMBERS if name not in (EAST, WEST)]
        world.until(lambda: all(world.own(name)["relay"] == WEST for name in rest), *BROKERS)
        assert all(world.own(name)["revision"] == 3 for name in rest)
        deaf.unlink()
        assert world.config("rollback", "3", "--at", world.metrics["m7"])[0] == 0
        left = [name for name in MEMBERS if name != EAST]
        world.until(lambda: all(world.own(name)["revision"] == 4 for name in left), *BROKERS)
        never_back(world, set())
        assert set(world.answers) == {"whole"}, world.answers


def test_operators_see_and_undo_a_change(tmp_path: Path) -> None:
    with running(tmp_path, {}) as world:
        at = world.metrics["m0"]
        code, said = world.config("show", "node/a1", "--at", at)
        assert code == 0 and said.startswith("revision: 1\n") and "name: a1" in said
        shown = tmp_path / "shown.yaml"
        shown.write_text(said.replace("phase: ready", "phase: draining"))
        ways = ("--at", world.metrics["m6"], "--key", "k")
        assert world.config("propose", str(shown), *ways) == (0, "propose: committed as revision 2\n")
        assert world.config("propose", str(shown), *ways) == (0, "propose: committed as revision 2\n")
        code, said = world.config("propose", str(shown), "--at", world.metrics["m6"])
        assert code == 1 and "node/a1: changed after revision 1; expected untouched" in said
        until(lambda: world.config("status", "--revision", "2", "--at", at)[0] == 0)
        code, said = world.config("status", "--at", at)
        assert "revision 2: in force at 8 of 8 brokers, 0 behind, 0 refuse, 0 at no relay" in said
        assert "relay m3: revision 2" in said and f"m0: revision 2, relay {world.own('m0')['relay']}," in said
        assert world.config("status", "--revision", "3", "--at", at)[0] == 3  # nobody knows of it
        code, said = world.config("status", "--at", world.metrics["m5"])
        assert code == 1 and "m5 is no keeper; of the fleet know m0, m1, m2" in said
        assert world.config("rollback", "2", "--at", at) == (0, "rollback: committed as revision 3\n")
        code, said = world.config("rollback", "9", "--at", at)
        assert code == 1 and "rolls_back: 9; expected a revision from 1 to 3" in said
        wrong = tmp_path / "wrong.yaml"
        wrong.write_text("revision: one\nsets: {}\n")
        code, said = world.config("propose", str(wrong), "--at", at)
        assert code == 1 and "wrong.yaml:1: revision is 'one'" in said and "sets" in said
        code, said = world.config("show", "node/none", "--at", at)
        assert code == 1 and "node/none: absent at revision 3" in said
        until(lambda: world.config("status", "--at", at)[0] == 0)
