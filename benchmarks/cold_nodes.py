"""What all brokers together send to a node that has just started, in the worst interval (simulated).

The real decision module in virtual time, one ``Aggregator`` a broker, no sockets: clients, nodes and the list
are played from a seed. Only brokers that were told of the start count. Run it from the project's root:

    .dev-venv/bin/python -m benchmarks.cold_nodes --seeds 100 --jobs 4
"""

import argparse
import heapq
import json
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from multiprocessing import Pool
from pathlib import Path
from statistics import mean

from quincepath.interface import (
    Action,
    Answer,
    Effect,
    Entry,
    Event,
    Limits,
    Members,
    Outcome,
    Part,
    Phase,
    Query,
    QueryClass,
    Result,
    Rules,
    Scope,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from quincepath.policy import Aggregator

MS = 1_000_000
SECOND = 1000 * MS
SINCE = 1000 * SECOND
CORES = 2
OUT = Path(__file__).parent / "results" / "cold_nodes.json"


@dataclass(frozen=True)
class Case:
    """One kind of day. Rates are parts a second that one broker has for the shards of one set of replicas."""

    brokers: int
    works: tuple[int, ...] = (80 * MS,)  # mean work of a part, by class
    target: int = 1500 * MS
    rules: tuple[float, float, float, float] = (0.19, 16, 4.0, 3)  # share, ramp (s), multiple, interval (s)
    sets: int = 1  # of replicas, each with cold nodes
    cold: int = 1
    warm: int = 0
    seconds: float = 9.0
    demand: float = 3.0  # of what the cold nodes may be sent at the start, asked for by all brokers
    rate: float = 0.0  # instead of it: parts a second of one broker at one set
    busy: float = 0.0  # spread of the brokers' rates: sigma of a lognormal
    idle: bool = False  # nothing until some moment, then all have several queries at once
    restarts: float = 0.0  # share of the brokers that begin anew with empty books right after such a moment
    told: float = 0.0  # seconds over which the news of the start reaches the brokers
    fate: str = "good"  # what the cold nodes do: good, errors, full, lost
    learned: bool = True  # whether the brokers have seen replies before
    calls: int = 0  # work of a call


class World:
    """A fleet of brokers, its nodes, and everything sent to those that started at ``SINCE``."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.random = case, random.Random(seed)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = self.now = 0
        self.sent: dict[bytes, list[tuple[int, float]]] = {}
        self.share, ramp, self.multiple, over = case.rules
        self.ramp, self.over = int(ramp * SECOND), int(over * SECOND)
        self.mean = sum(case.works) / len(case.works)
        self.free: dict[bytes, list[int]] = {}
        self.nodes = [
            Entry(bytes((10, 0, one, j, 0, 80)), 0, 0, one, 0 if j < case.warm else SINCE, Phase.READY, 1.0)
            for one in range(case.sets) for j in range(case.warm + case.cold)
        ]  # fmt: skip
        for entry in self.nodes:
            self.free[entry.node] = [0] * CORES
            if entry.since:
                self.sent[entry.node] = []
        fair = case.demand * self.allowed(SINCE) / case.rules[3] * case.cold / case.brokers
        rates = [self.random.lognormvariate(0, case.busy) for _ in range(case.brokers)]
        scale = (case.rate or max(fair, 1.0)) * case.brokers / sum(rates)
        self.wanted = self.served = 0
        self.brokers = [Broker(self, me, rate * scale) for me, rate in enumerate(rates)]

    def warmth(self, at: float) -> float:
        return min(1.0, self.share + (1 - self.share) * max(at - SINCE, 0) / self.ramp)

    def allowed(self, begin: int) -> float:
        """N: requests of mean work in the interval from then on, as the settings state it."""
        most = self.multiple * CORES * self.warmth(begin + self.over / 2)
        return most * self.over / self.mean

    def call_at(self, at: int, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, act))

    def run(self) -> None:
        case, begin = self.case, SINCE - SECOND // 2
        moment = SINCE + int(self.random.uniform(0.5, case.seconds - case.rules[3]) * SECOND)
        again = set(self.random.sample(range(case.brokers), int(case.restarts * case.brokers)))
        for broker in self.brokers:
            broker.start(begin, case.learned)
            told = SINCE + int(self.random.uniform(0, case.told) * SECOND)
            self.call_at(told, broker.tell)
            self.call_at(moment if case.idle else told, broker.traffic)
            if case.idle:
                self.call_at(moment, broker.crowd)
            if broker.me in again:
                pause = int(self.random.uniform(0.05, 0.6) * self.over)
                self.call_at(moment + pause, broker.restart)
        until = SINCE + int(case.seconds * SECOND)
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()

    def work(self, node: bytes, kind: int) -> tuple[Result, int]:
        """How an attempt ends there, and how long after: a queue before two cores that warm up."""
        cold = node in self.sent
        fate = self.case.fate if cold else "good"
        if fate == "full" or fate == "errors" and self.random.random() < 0.7:
            return (Result.FULL if fate == "full" else Result.ERROR), 2 * MS
        if fate == "lost":
            return Result.TIMEOUT, 60 * SECOND
        speed = self.warmth(self.now) if cold else 1.0
        need = self.case.works[kind] * self.random.lognormvariate(-0.06, 0.35) + self.case.calls
        cores = self.free[node]
        first = min(range(CORES), key=cores.__getitem__)
        cores[first] = max(cores[first], self.now) + int(need / speed)
        return Result.OK, cores[first] - self.now + MS

    def worst(self) -> tuple[float, float]:
        """The fullest interval of any node: its sum over N + 2 root N + 2, and over N."""
        most = plain = 0.0
        end = SINCE + int(self.case.seconds * SECOND)
        for sends in self.sent.values():
            window: deque[tuple[int, float]] = deque()
            total = 0.0
            for at, work in sends:
                window.append((at, work))
                total += work
                while window[0][0] <= at - self.over:
                    total -= window.popleft()[1]
                # The interval that begins with the first of these allows most of those that hold them all.
                n = self.allowed(min(window[0][0], end - self.over))
                got = total / self.mean
                most, plain = max(most, got / (n + 2 * math.sqrt(n) + 2)), max(plain, got / n)
        return most, plain

    def used(self) -> float:
        """What was sent to the cold nodes of what the settings allow them over the whole time."""
        steps = range(SINCE, SINCE + int(self.case.seconds * SECOND), 10 * MS)
        most = sum(self.multiple * CORES * self.warmth(at) * 10 * MS for at in steps)
        return sum(work for sends in self.sent.values() for _, work in sends) / most / len(self.sent)


class Broker:
    """One broker: its module, its clients, and what it has out."""

    def __init__(self, world: World, me: int, rate: float) -> None:
        self.world, self.me, self.rate = world, me, rate
        self.life = 0
        case = world.case
        share, ramp, multiple, over = case.rules
        self.settings = Settings(
            me=me, instances=case.brokers, zone=0, tick=5 * MS, cells=case.sets, reach=1, must_ask=False,
            cross_zone_charge=0.0, call_work=case.calls,
            classes=tuple(
                QueryClass(f"c{i}", case.target, 2 * case.target, Effect.SAFE, 0, 0.3, 1.0, 1.0, 0)
                for i in range(len(case.works))
            ),
            limits=Limits(3, True, True, True, 2 * SECOND, 250 * MS, 15 * SECOND, 1),
            rules=Rules(share, int(ramp * SECOND), multiple, int(over * SECOND), 0, 0, 0.0, 0.0),
        )  # fmt: skip

    def start(self, at: int, learned: bool) -> None:
        case, rng = self.world.case, self.world.random
        self.world.now = max(self.world.now, at)
        self.policy = Aggregator(self.settings, rng.getrandbits(48))
        self.attempts: dict[int, int] = {}
        self.kinds: dict[int, int] = {}
        self.asked: dict[int, int] = {}
        self.next_id = self.number = 0
        self.informed = False
        old = [entry for entry in self.world.nodes if not entry.since]
        self.feed(Members(Scope.CACHED, 1, tuple(old)))
        if learned:
            for kind, work in enumerate(case.works):
                for _ in range(150):
                    took = work * rng.lognormvariate(-0.06, 0.35) + MS + case.calls
                    self.policy.latency[kind, 1].learn(at, int(took))

    def tell(self) -> None:
        self.informed = True
        self.feed(Members(Scope.FULL, 2, tuple(self.world.nodes)))

    def restart(self) -> None:
        """Empty books, but the list; what was out is nobody's, and the clients are back at once."""
        self.life += 1
        self.start(self.world.now, False)
        self.tell()
        self.traffic()
        self.crowd()

    def guarded(self, act: Callable[[], None]) -> Callable[[], None]:
        life = self.life
        return lambda: act() if life == self.life else None

    def crowd(self) -> None:
        most = math.ceil(2 * self.world.allowed(self.world.now) / self.world.case.brokers)
        for _ in range(min(most, 12) + 1):
            self.ask()

    def traffic(self) -> None:
        gap = int(self.world.random.expovariate(self.rate * self.world.case.sets) * SECOND)
        self.world.call_at(self.world.now + gap, self.guarded(self.next))

    def next(self) -> None:
        self.ask()
        self.traffic()

    def ask(self) -> None:
        case, rng = self.world.case, self.world.random
        kind = rng.randrange(len(case.works))
        self.number += 1
        query, part = self.next_id, self.next_id + 1
        self.next_id += 2
        self.kinds[part], self.asked[query] = kind, self.world.now
        self.world.wanted += 1
        shard = rng.randrange(case.sets)
        self.feed(
            Query(query, self.number, 1, kind, 0, 2 * case.target, 0, 0, False),
            Part(part, self.number, 1.0, shard, 0, 0),
        )

    def feed(self, *events: Event) -> None:
        for action in self.policy.handle(self.world.now, events):
            self.do(action)

    def do(self, action: Action) -> None:
        world = self.world
        match action:
            case Send(part, node, timeout):
                number = self.attempts.get(part, 0)
                self.attempts[part] = number + 1
                kind = self.kinds[part]
                if self.informed and node in world.sent:
                    world.sent[node].append((world.now, world.case.works[kind] + world.case.calls))
                result, took = world.work(node, kind)
                if took > timeout:
                    result, took = Result.TIMEOUT, timeout
                done = Outcome(part, number, node, result, took, False, ())
                world.call_at(world.now + took, self.guarded(lambda: self.feed(done)))
            case SetTimer(at, token):
                world.call_at(at, self.guarded(lambda: self.feed(TimerFired(token))))
            case Answer(query):
                world.served += world.now <= self.asked[query] + world.case.target
            case _:
                pass


STEADY = Case(20)
RIGHT: dict[str, object] = {"target": 800 * MS}  # a tenth of it: the work of a part, so a prior that is right
ALL: dict[str, object] = {"idle": True, "busy": 0.8, "restarts": 0.7, "told": 2.0, **RIGHT}
HARD: dict[str, dict[str, object]] = {
    "all at once after idle time": {"idle": True},
    "seven in ten restart, all at once": {"idle": True, "restarts": 0.7, **RIGHT},
    "all of it": ALL,
    "all of it, little work": {**ALL, "works": (27 * MS,), "target": 270 * MS},
    "all of it, much work": {**ALL, "works": (200 * MS,), "target": 2 * SECOND, "seconds": 14.0},
    "nobody has learned, twice the prior, all at once": {
        "learned": False,
        "works": (300 * MS,),
        "idle": True,
    },
}
KINDS: dict[str, dict[str, object]] = {
    "steady, even load": {},
    "uneven load": {"busy": 1.0},
    "told over 2 s": {"told": 2.0},
    "the node fails parts": {"fate": "errors"},
    "the node turns all away": {"fate": "full"},
    "two classes of different work, work of calls": {"works": (30 * MS, 130 * MS), "calls": 5 * MS},
    "nobody has learned, work as the prior says": {"learned": False, "works": (150 * MS,), "idle": True},
    "nobody has learned, work is little": {"learned": False, "works": (27 * MS,), "idle": True},
    "six nodes": {"sets": 6, "idle": True},
    "all of it, the node fails parts": {**ALL, "fate": "errors"},
    "all of it, the node is silent": {**ALL, "fate": "lost"},
    "all of it, two classes": {**ALL, "works": (30 * MS, 130 * MS), "calls": 5 * MS, "target": 1300 * MS},
}
FLEETS = (20, 30, 200)
# What gets used, with traffic as on the operators' days: three replicas a set, some of them cold.
REAL: dict[str, Case] = {
    f"{brokers} brokers, {cold} of 3 cold, {work // MS} ms a part": Case(
        brokers, (work,), cold=cold, warm=3 - cold, seconds=14.0,
        rate=0.45 * 3 * CORES * SECOND / work / brokers, busy=0.6, told=1.0,
    )
    for brokers, work in ((20, 160 * MS), (200, 27 * MS), (200, 80 * MS)) for cold in (1, 2, 3)
}  # fmt: skip


def cases() -> Iterable[tuple[str, Case]]:
    for brokers in FLEETS:
        for name, changes in (HARD | KINDS).items():
            yield f"{brokers}: {name}", replace(STEADY, brokers=brokers, **changes)  # type: ignore[arg-type]
    yield from REAL.items()


def one(job: tuple[str, Case, int]) -> tuple[str, float, float, float, float]:
    name, case, seed = job
    world = World(case, seed)
    world.run()
    return name, *world.worst(), world.used(), world.served / max(world.wanted, 1)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="", help="cases whose name holds this text")
    parser.add_argument("--key", default="", help="keep the figures in the results under this name")
    given = parser.parse_args()
    jobs = [
        (name, case, seed)
        for name, case in cases() if given.only in name
        for seed in range(given.seeds if name.partition(": ")[2] in HARD else max(given.seeds // 10, 1))
    ]  # fmt: skip
    found: dict[str, list[tuple[float, float, float, float]]] = {}
    with Pool(given.jobs) as pool:
        for name, *figures in pool.imap_unordered(one, jobs, chunksize=4):
            found.setdefault(name, []).append((figures[0], figures[1], figures[2], figures[3]))
    print("| case | worst interval / (N + 2√N + 2) | of N | seeds over | of N used | answered in time |")
    print("| --- | --- | --- | --- | --- | --- |")
    rows = {}
    for name in [name for name, _ in cases() if name in found]:
        worst, plain, used, served = zip(*sorted(found[name]), strict=True)
        over = sum(figure > 1 for figure in worst)
        rows[name] = [max(worst), max(plain), over, mean(used), mean(served)]
        print(f"| {name} | {max(worst):.2f} | {max(plain):.2f} | {over} of {len(worst)} | {mean(used):.2f}"
              f" | {mean(served):.2f} |")  # fmt: skip
    if given.key:
        kept = json.loads(OUT.read_text()) if OUT.exists() else {}
        kept[given.key] = {"seeds": given.seeds, "rows": rows}
        OUT.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
