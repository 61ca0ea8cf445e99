"""Configuration distribution with real processes: no change is lost or undone when leaders and relays fail.

Real time, but every wait is for an event with a generous timeout, and every fault is injected at an event: a
leader dies after a commit and before it informs anybody, a relay after it has sent the delta to one broker.
"""

import signal
from pathlib import Path

from tests.fleet.distribution.processes import EAST, MEMBERS, VOTERS, WEST, ProcessFleet, nodes, running
from tests.test_fleet_processes import until

BROKERS = MEMBERS[5:]  # neither voters nor relays


def assert_revisions_only_grow(world: ProcessFleet, without: set[str]) -> None:
    """Check that revisions only grew, by the log lines of each broker that was not restarted."""
    for name in set(MEMBERS) - without:
        seen = world.revisions(name)
        assert seen and seen == sorted(set(seen)), (name, seen)


def test_a_change_survives_the_death_of_its_leader_and_of_a_relay(
    tmp_path: Path,
) -> None:
    leader_died, relay_died = tmp_path / "leader-died", tmp_path / "relay-fell"
    injected = {name: ("commit=2", leader_died) for name in VOTERS} | {EAST: ("delta=3", relay_died)}
    with running(tmp_path, injected) as world:
        # The leader dies at the commit; the request waits for the next leader and gets one answer.
        assert world.propose("m7", "out", 1, remove=["node/a1"]) == (0, "propose: committed as revision 2\n")
        assert leader_died.exists()
        dead = [name for name in VOTERS if world.children[name].process.poll() is not None]  # type: ignore[union-attr]
        assert len(dead) == 1
        alive = [name for name in MEMBERS if name not in dead]
        world.until(lambda: all(world.own(name)["revision"] == 2 for name in alive), *BROKERS)
        assert world.propose("m5", "out", 1, remove=["node/a1"])[1] == "propose: committed as revision 2\n"
        before = world.got("a1"), world.got("a0")
        for name in BROKERS:
            for _ in range(10):
                world.query(name)
        # The node is removed, its replica serves.
        assert world.got("a1") == before[0] and world.got("a0") > before[1]
        world.start_again(dead[0])
        voter = next(name for name in VOTERS if name not in dead)
        world.until(lambda: world.config("status", "--at", world.metrics[voter])[0] == 0, *BROKERS)

        # A relay dies after it has sent the delta to one of its brokers.
        back = nodes(world)["node/a1"]
        assert world.propose("m7", "in", 2, set={"node/a1": back})[1] == "propose: committed as revision 3\n"
        alive = [name for name in MEMBERS if name != EAST]
        world.until(lambda: all(world.own(name)["revision"] == 3 for name in alive), *BROKERS)
        assert relay_died.exists()
        world.until(lambda: {world.own(name)["relay"] for name in alive} == {WEST}, *BROKERS)
        assert world.config("status", "--at", world.metrics["m0"])[0] == 3  # one broker is at no relay
        world.start_again(EAST)
        world.until(lambda: world.config("status", "--at", world.metrics["m0"])[0] == 0, *BROKERS)
        assert_revisions_only_grow(world, {EAST, dead[0]})
        assert set(world.answers) == {"whole"}, world.answers


def test_brokers_leave_a_silent_relay_and_keep_their_revision_at_one_that_lags(tmp_path: Path) -> None:
    deaf = tmp_path / "deaf"
    with running(tmp_path, {WEST: ("deaf", deaf)}) as world:
        # Silent but connected: the process is stopped, its connections stay open.
        world.children[EAST].signal(signal.SIGSTOP)
        assert world.propose("m7", "out", 1, remove=["node/a1"])[0] == 0
        others = [name for name in MEMBERS if name != EAST]
        world.until(lambda: all(world.own(name)["revision"] == 2 for name in others), *BROKERS)
        world.until(lambda: {world.own(name)["relay"] for name in others} == {WEST}, *BROKERS)
        code, output = world.config("status", "--at", world.metrics["m0"])
        assert code == 3 and "revision 2: in force at" in output
        world.children[EAST].signal(signal.SIGCONT)
        world.until(lambda: world.own(EAST)["revision"] == 2, *BROKERS)

        # A relay that receives nothing of the log lags; the other one dies, and all brokers switch to it.
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
        assert_revisions_only_grow(world, set())
        assert set(world.answers) == {"whole"}, world.answers


def test_operators_inspect_and_roll_back_a_change(tmp_path: Path) -> None:
    with running(tmp_path, {}) as world:
        at = world.metrics["m0"]
        code, output = world.config("show", "node/a1", "--at", at)
        assert code == 0 and output.startswith("revision: 1\n") and "name: a1" in output
        shown = tmp_path / "shown.yaml"
        shown.write_text(output.replace("phase: ready", "phase: draining"))
        options = ("--at", world.metrics["m6"], "--key", "k")
        assert world.config("propose", str(shown), *options) == (0, "propose: committed as revision 2\n")
        assert world.config("propose", str(shown), *options) == (0, "propose: committed as revision 2\n")
        code, output = world.config("propose", str(shown), "--at", world.metrics["m6"])
        assert code == 1 and "node/a1: changed after revision 1; expected untouched" in output
        until(lambda: world.config("status", "--revision", "2", "--at", at)[0] == 0)
        code, output = world.config("status", "--at", at)
        assert "revision 2: in force at 8 of 8 brokers, 0 behind, 0 refuse, 0 at no relay" in output
        assert (
            "relay m3: revision 2" in output
            and f"m0: revision 2, relay {world.own('m0')['relay']}," in output
        )
        assert world.config("status", "--revision", "3", "--at", at)[0] == 3  # no member knows it
        code, output = world.config("status", "--at", world.metrics["m5"])
        assert code == 1 and "m5 is no keeper; of the fleet know m0, m1, m2" in output
        assert world.config("rollback", "2", "--at", at) == (0, "rollback: committed as revision 3\n")
        code, output = world.config("rollback", "9", "--at", at)
        assert code == 1 and "rolls_back: 9; expected a revision from 1 to 3" in output
        wrong = tmp_path / "wrong.yaml"
        wrong.write_text("revision: one\nsets: {}\n")
        code, output = world.config("propose", str(wrong), "--at", at)
        assert code == 1 and "wrong.yaml:1: revision is 'one'" in output and "sets" in output
        code, output = world.config("show", "node/none", "--at", at)
        assert code == 1 and "node/none: absent at revision 3" in output
        until(lambda: world.config("status", "--at", at)[0] == 0)
