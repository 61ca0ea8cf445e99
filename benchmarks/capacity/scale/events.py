"""What happens to the fleet after the calm: changes, a drain, a kill, or the faults of a file."""

import random
import time
from collections.abc import Callable, Sequence

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.faults import FaultFile, Faults
from benchmarks.capacity.scale.plan import Plan
from benchmarks.capacity.scale.result import SECOND, ChangeFigures, Event, change_figures
from benchmarks.capacity.scale.watch import EVENT_TIME, RunError, Watch, all_settled, running
from quincepath.lab.fleet.links import Ways

CHANGE_EVERY = 0.5  # seconds between two changes of the configuration
UNSETTLED = "the view is not settled"  # begins why a voter judges no drain for now


def change_configuration(watch: Watch, count: int) -> ChangeFigures:
    """Changes one after the other; each must come into force at every hollow broker. Raises ``RunError``."""
    plan = watch.plan
    subscribers = plan.brokers - plan.real
    watch.begin_phase()

    def subscribed(progress: Sequence[m.Progress]) -> bool:
        return sum(one.subscribed for one in progress) == subscribers

    if not watch.wait("subscribing", subscribed, EVENT_TIME):
        raise RunError(f"configuration: not all were served by a relay within {EVENT_TIME:g} s")
    watch.hosts.tell(m.ProposeChanges(_author(plan), count, int(CHANGE_EVERY * SECOND)))

    def everywhere(progress: Sequence[m.Progress]) -> bool:
        refused = [why for one in progress for why in one.changes_refused]
        if refused:
            raise RunError(f"configuration: {refused[0]}")
        hosts = progress[: plan.processes]
        in_force = min(one.revision_least for one in hosts)
        return sum(one.changes_committed for one in hosts) == in_force == count

    if not watch.wait("changes", everywhere, count * CHANGE_EVERY + EVENT_TIME):
        raise RunError("configuration: not all changes were in force everywhere in time")
    about = ChangeFigures(
        committed=count,
        subscribers=subscribers,
        relays=len(plan.relays),
        every_s=CHANGE_EVERY,
        worst_messages_a_second=watch.worst.of_each(watch.worst.messages, subscribers),
        worst_bytes_a_second=watch.worst.of_each(watch.worst.bytes, subscribers),
    )
    try:
        return change_figures(watch.hosts.ask_figures(), about)
    except ValueError as error:
        raise RunError(f"configuration: {error}") from error


def _author(plan: Plan) -> str:
    """Who proposes changes: a hollow voter, or else a relay, as people do it on a control machine.

    Each voter's edge takes only so many connections (``MAX_CONNECTIONS`` in ``fleet/transport.py``) that in a
    fleet of thousands a leader does not hear whoever comes to it late.
    """
    hollow = [name for name in plan.voters if name not in {f"b{number}" for number in range(plan.real)}]
    return hollow[0] if hollow else plan.relays[0].name


def _proposer(watch: Watch) -> str:
    """Who speaks for people: a hollow broker where there is one."""
    return f"b{watch.plan.brokers - 2}"


def drain(watch: Watch, what: str, name: str, back: bool) -> Event:
    """Have it committed and wait until all know; asked again where a voter's view is not settled."""
    watch.begin_phase()
    watch.expect(() if back else (name,))
    asked, began = "", 0

    def known(progress: Sequence[m.Progress]) -> bool:
        nonlocal asked, began
        why = _committed(watch, asked) if asked else UNSETTLED
        if why and UNSETTLED not in why:
            raise RunError(f"{asked}: {why}")
        if why and sum(one.settled for one in progress) == running(progress):
            began = time.monotonic_ns()
            asked = f"{what} {name} {began}"
            _command(watch, m.Command(asked, _proposer(watch), name, back))
        return why == "" and sum(one.knows_drained for one in progress) == running(progress)

    found = watch.wait(what, known, EVENT_TIME)
    progress = watch.progress()
    at = max(one.drained_at for one in progress) if found else 0
    return watch.event(what, [name], began, at, sum(one.knows_drained for one in progress), progress)


def _command(watch: Watch, command: m.Command) -> None:
    if command.member in watch.real.brokers:
        watch.real.command(command)
    else:
        watch.hosts.tell(command)


def _committed(watch: Watch, id: str) -> str | None:
    found = watch.hosts.committed(id)
    return watch.real.committed(id) if found is None else found


def kill(watch: Watch, share: float) -> Event:
    """Brokers end without a word: hollow ones where there are any, neither voters nor relays."""
    plan = watch.plan
    own = plan.members[plan.real :] or plan.members
    kept = {*plan.voters, *(one.name for one in plan.relays)}
    candidates = [one.name for one in own if one.name not in kept]
    many = min(max(round(share * plan.brokers), 1), len(candidates))
    names = sorted(random.Random(f"{plan.seed} kill").sample(candidates, many))
    watch.living -= many
    watch.begin_phase()
    watch.expect()
    began = time.monotonic_ns()
    watch.hosts.tell(m.EndBrokers(tuple(names)))
    watch.real.end(tuple(names))

    def known(progress: Sequence[m.Progress]) -> bool:
        return sum(one.knows_living for one in progress) == running(progress)

    found = watch.wait("kill", known, EVENT_TIME)
    progress = watch.progress()
    at = max(one.living_at for one in progress) if found else 0
    return watch.event("kill", names, began, at, sum(one.knows_living for one in progress), progress)


def play_faults(watch: Watch, file: FaultFile, ways: Ways | None) -> Event:
    """All faults of a file; then all must know all that run, and be settled.

    The time is from the last change that the faults made.
    """
    watch.begin_phase()
    began = watch.loop.clock()
    changed_at = began

    def changed() -> None:
        nonlocal changed_at
        changed_at = watch.loop.clock()
        watch.living = len(faults.running) + len(watch.real.brokers)
        watch.expect()

    def plan_call(when: int, call: Callable[[], None]) -> None:
        watch.loop.call_at(began + when, call)

    faults = Faults(file, watch.plan, plan_call, watch.hosts.tell, changed, ways)
    watch.wait("faults", lambda progress: False, file.quiet_from / SECOND)
    found = watch.wait("after faults", lambda progress: all_settled(progress, watch.living), EVENT_TIME)
    progress = watch.progress()
    at = max(one.living_at for one in progress) if found else 0
    return watch.event("faults", [], changed_at, at, sum(one.knows_living for one in progress), progress)
