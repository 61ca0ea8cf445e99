"""One holder as a model. Pure: time is handed in, chance comes from a generator of its own.

Jobs wait in a bounded room and are served on cores. The rate of a core changes with warmth, slowness,
neighbours and pauses; ``advance`` carries what runs on at the rate that held until now. A server that is
pushed past its multiple while cold falls over and stays down.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

SECOND = 1_000_000_000
WARM_STEP = SECOND // 20  # ns for which the rate of a warming server is taken as constant
SOON = 1  # ns


@dataclass(slots=True, frozen=True)
class ServerConfig:
    """A kind of machine. Times in ns; ``cold`` is its share of capacity when it starts."""

    cores: int = 2
    speed: float = 1.0
    queue_limit: int = 64
    max_connections: int = 1000
    connect_work: int = 200_000
    cold: float = 0.2
    ramp: int = 10 * SECOND
    fall_multiple: float = 2.0
    overload_for: int = 2 * SECOND
    drop_cancelled: bool = True
    skip_expired: bool = True


class State(Enum):
    """What a server does with what reaches it."""

    UP = "up"
    DOWN = "down"  # the process is gone: dials are refused
    SILENT = "silent"  # the machine is gone: nothing comes back
    FALLEN = "fallen"  # pushed over: down until somebody restarts it


@dataclass(slots=True, eq=False)
class Job:
    """One call. ``work`` is ns on a warm core of speed 1; ``tag`` is the caller's."""

    work: float
    expires: int
    kinds: frozenset[int]
    tag: Any
    poison: bool = False
    left: float = 0.0
    cancelled: bool = False


@dataclass(slots=True)
class ServerFaults:
    """What is wrong with a server now; the defaults are a sound one."""

    slow: float = 1.0  # times as long
    steal: float = 0.0  # share of the machine that another program takes
    paused: bool = False
    hang: bool = False  # takes jobs, never answers
    errors: float = 0.0  # share of jobs that fail at once
    error_kinds: frozenset[int] | None = None  # only jobs with a part of these classes
    lose: float = 0.0  # share of answers that get lost
    handshake: int = 0  # ns that a new connection takes on top


class Server:
    """A holder. What it decides by chance is drawn from ``draw``, a source of floats below 1."""

    def __init__(self, name: str, config: ServerConfig, draw: Any, now: int, warm: bool = True) -> None:
        self.name, self.config, self.draw = name, config, draw
        self.faults = ServerFaults()
        self.state = State.UP
        self.incarnation = 0
        self.connections = 0
        self.started = now - config.ramp if warm else now
        self.max_window_share = 0.0  # fullest window seen while cold, as a share of what makes it fall
        self._at = now
        self._waiting: deque[Job] = deque()
        self._running: list[Job] = []
        self._pushed: deque[tuple[int, float]] = deque()
        self._pushed_sum = 0.0

    # --- its condition ---

    def warmth(self, now: int) -> float:
        """Share of its capacity that it has now."""
        age = (now - self.started) / self.config.ramp
        return min(1.0, self.config.cold + (1 - self.config.cold) * max(age, 0.0))

    def rate(self, now: int) -> float:
        """Work (ns) that one core does in a ns."""
        faults = self.faults
        if faults.paused or self.state is not State.UP:
            return 0.0
        return self.config.speed * self.warmth(now) * (1 - faults.steal) / faults.slow

    def job_count(self) -> int:
        """Jobs waiting or running."""
        return len(self._waiting) + len(self._running)

    def restart(self, now: int, warm: bool = False) -> None:
        """A new process: empty, cold, without faults."""
        self.state = State.UP
        self.incarnation += 1
        self.connections = 0
        self.started = now - self.config.ramp if warm else now
        self.faults = ServerFaults()
        self._at = now
        self._waiting.clear()
        self._running.clear()
        self._pushed.clear()
        self._pushed_sum = 0.0

    def stop(self, now: int, state: State) -> list[Job]:
        """The process ends; what it held is returned, unanswered."""
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.state = state
        self._at = now
        return lost

    # --- work ---

    def offer(self, now: int, job: Job) -> str:
        """A call came in: ``queued``, ``full``, ``error``, ``hung`` or ``fell``."""
        if self._push(now, job.work):
            return "fell"
        faults = self.faults
        if faults.hang:
            return "hung"
        hit = faults.error_kinds is None or faults.error_kinds & job.kinds
        if faults.errors and hit and self.draw() < faults.errors:
            return "error"
        if len(self._waiting) >= self.config.queue_limit:
            return "full"
        job.left = job.work
        self._waiting.append(job)
        self._begin(now)
        return "queued"

    def cancel(self, now: int, job: Job) -> None:
        """Nobody waits for it any more; what runs goes on."""
        job.cancelled = True
        if self.config.drop_cancelled and job in self._waiting:
            self._waiting.remove(job)

    def advance(self, now: int) -> list[tuple[int, Job]]:
        """Carry on to ``now``; the jobs that ended on the way, with their times."""
        ended: list[tuple[int, Job]] = []
        while self._at < now:
            rate = self.rate(self._at)
            until = now
            if self.warmth(self._at) < 1:
                until = min(until, self._at + WARM_STEP)
            if not self._running or rate <= 0:
                self._at = until
                continue
            shortest = min(job.left for job in self._running)
            done_at = self._at + max(int(shortest / rate), SOON)
            step_to = min(done_at, until)
            did = (step_to - self._at) * rate
            self._at = step_to
            for job in self._running:
                job.left -= did
            finished = [job for job in self._running if job.left <= rate]
            if finished:
                self._running = [job for job in self._running if job.left > rate]
                ended.extend((self._at, job) for job in finished)
                self._begin(self._at)
        return ended

    def next_completion(self) -> int | None:
        """When to look again; None while nothing runs or nothing moves."""
        rate = self.rate(self._at)
        if not self._running or rate <= 0:
            return None
        soonest = self._at + max(int(min(job.left for job in self._running) / rate), SOON)
        return min(soonest, self._at + WARM_STEP) if self.warmth(self._at) < 1 else soonest

    def poisoned(self) -> bool:
        """Whether a job now running takes the process down."""
        return any(job.poison for job in self._running)

    def _begin(self, now: int) -> None:
        while self._waiting and len(self._running) < self.config.cores:
            job = self._waiting.popleft()
            if self.config.skip_expired and job.expires <= now:
                continue
            self._running.append(job)

    def _push(self, now: int, work: float) -> bool:
        """Count work that reaches it; true where it falls over from that."""
        self._pushed.append((now, work))
        self._pushed_sum += work
        while self._pushed and self._pushed[0][0] <= now - self.config.overload_for:
            self._pushed_sum -= self._pushed.popleft()[1]
        warmth = self.warmth(now)
        if warmth >= 1:
            return False
        able = self.config.cores * self.config.speed * warmth * self.config.overload_for
        full = self._pushed_sum / (self.config.fall_multiple * able)
        self.max_window_share = max(self.max_window_share, full)
        return full > 1


@dataclass(slots=True)
class Fleet:
    """Servers by name, in a fixed order, with where they stand and what they hold."""

    servers: dict[str, Server] = field(default_factory=dict)
    zones: dict[str, int] = field(default_factory=dict)
    cells: dict[str, int] = field(default_factory=dict)
    nodes: dict[str, bytes] = field(default_factory=dict)
    names: dict[bytes, str] = field(default_factory=dict)

    def add(self, server: Server, zone: int, cell: int) -> None:
        """Add a server; its node id is its place in the fleet."""
        number = len(self.servers)
        node = bytes((10, 0, number // 250, number % 250 + 1)) + (9000).to_bytes(2)
        self.servers[server.name] = server
        self.zones[server.name], self.cells[server.name] = zone, cell
        self.nodes[server.name], self.names[node] = node, server.name
