"""A model of one storage server (holder), without I/O: the caller passes time and a random number source.

Jobs wait in a bounded queue and run on cores. The speed of a core depends on warm-up, slowness, other
programs on the machine and pauses; ``advance`` moves running jobs forward at the rate in force so far. A cold
server that receives more than ``fall_multiple`` times its capacity in a window crashes and stays down.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

SECOND = 1_000_000_000
WARM_STEP_NS = SECOND // 20  # the rate of a server that warms up is taken as constant for this long
MIN_STEP_NS = 1


@dataclass(slots=True, frozen=True)
class ServerConfig:
    """Capacity and limits of a server. Times in ns.

    ``cold`` is the share of its capacity that it has at its start, ``ramp`` the time until it is warm. Work
    above ``fall_multiple`` times the capacity within ``overload_for`` crashes a cold server.
    """

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
    """Whether a server accepts requests, and why not."""

    UP = "up"
    DOWN = "down"  # the process has ended: connections are refused
    SILENT = "silent"  # the machine is unreachable: no packet is answered
    FALLEN = "fallen"  # crashed by overload: down until it is restarted


@dataclass(slots=True, eq=False)
class Job:
    """One call. ``work`` is in ns on a warm core of speed 1; ``tag`` is for the caller's use."""

    work: float
    expires: int
    classes: frozenset[int]
    tag: Any
    poison: bool = False
    remaining: float = 0.0
    cancelled: bool = False


@dataclass(slots=True)
class ServerFaults:
    """Faults in force at a server; the defaults are a healthy one."""

    slow: float = 1.0  # factor on the service time
    steal: float = 0.0  # share of the machine that another program uses
    paused: bool = False
    hang: bool = False  # accepts jobs and never answers
    errors: float = 0.0  # share of jobs that fail immediately
    error_kinds: frozenset[int] | None = None  # only jobs with a part of these classes; None: all
    lose: float = 0.0  # share of answers that are lost
    handshake: int = 0  # additional ns until a new connection is established


class Server:
    """A modelled holder. Random decisions use ``draw``, which returns floats below 1."""

    def __init__(self, name: str, config: ServerConfig, draw: Any, now: int, warm: bool = True) -> None:
        self.name, self.config, self.draw = name, config, draw
        self.faults = ServerFaults()
        self.state = State.UP
        self.incarnation = 0
        self.connections = 0
        self.started = now - config.ramp if warm else now
        self.max_window_share = 0.0  # highest window load while cold, of the load that crashes it
        self._at = now
        self._waiting: deque[Job] = deque()
        self._running: list[Job] = []
        self._arrivals: deque[tuple[int, float]] = deque()
        self._window_work = 0.0

    # --- condition ---

    def warmth(self, now: int) -> float:
        """Return the share of its capacity that it has now."""
        age = (now - self.started) / self.config.ramp
        return min(1.0, self.config.cold + (1 - self.config.cold) * max(age, 0.0))

    def rate(self, now: int) -> float:
        """Return the work (ns) that one core does in 1 ns."""
        faults = self.faults
        if faults.paused or self.state is not State.UP:
            return 0.0
        return self.config.speed * self.warmth(now) * (1 - faults.steal) / faults.slow

    def job_count(self) -> int:
        """Return the number of jobs that wait or run."""
        return len(self._waiting) + len(self._running)

    def restart(self, now: int, warm: bool = False) -> None:
        """Start a new process: empty, cold unless ``warm``, without faults."""
        self.state = State.UP
        self.incarnation += 1
        self.connections = 0
        self.started = now - self.config.ramp if warm else now
        self.faults = ServerFaults()
        self._at = now
        self._waiting.clear()
        self._running.clear()
        self._arrivals.clear()
        self._window_work = 0.0

    def stop(self, now: int, state: State) -> list[Job]:
        """End the process and return its jobs, none of which is answered."""
        unfinished = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.state = state
        self._at = now
        return unfinished

    # --- work ---

    def offer(self, now: int, job: Job) -> str:
        """Receive a call and return what becomes of it.

        ``queued``, ``full`` (rejected), ``error``, ``hung`` (never answered) or ``fell`` (it crashes).
        """
        if self._exceeds_limit(now, job.work):
            return "fell"
        faults = self.faults
        if faults.hang:
            return "hung"
        matches_class = faults.error_kinds is None or faults.error_kinds & job.classes
        if faults.errors and matches_class and self.draw() < faults.errors:
            return "error"
        if len(self._waiting) >= self.config.queue_limit:
            return "full"
        job.remaining = job.work
        self._waiting.append(job)
        self._start_jobs(now)
        return "queued"

    def cancel(self, now: int, job: Job) -> None:
        """Cancel a job: it leaves the queue, but a running job continues."""
        job.cancelled = True
        if self.config.drop_cancelled and job in self._waiting:
            self._waiting.remove(job)

    def advance(self, now: int) -> list[tuple[int, Job]]:
        """Advance to ``now``; return the jobs that completed until then, with their times."""
        completed: list[tuple[int, Job]] = []
        while self._at < now:
            rate = self.rate(self._at)
            until = now
            if self.warmth(self._at) < 1:
                until = min(until, self._at + WARM_STEP_NS)
            if not self._running or rate <= 0:
                self._at = until
                continue
            shortest = min(job.remaining for job in self._running)
            completes_at = self._at + max(int(shortest / rate), MIN_STEP_NS)
            step_end = min(completes_at, until)
            work_done = (step_end - self._at) * rate
            self._at = step_end
            for job in self._running:
                job.remaining -= work_done
            finished = [job for job in self._running if job.remaining <= rate]
            if finished:
                self._running = [job for job in self._running if job.remaining > rate]
                completed.extend((self._at, job) for job in finished)
                self._start_jobs(self._at)
        return completed

    def next_completion(self) -> int | None:
        """Return when to advance next; None while no job runs or the server is stopped."""
        rate = self.rate(self._at)
        if not self._running or rate <= 0:
            return None
        soonest = self._at + max(int(min(job.remaining for job in self._running) / rate), MIN_STEP_NS)
        return min(soonest, self._at + WARM_STEP_NS) if self.warmth(self._at) < 1 else soonest

    def poisoned(self) -> bool:
        """Return whether a running job crashes the process."""
        return any(job.poison for job in self._running)

    def _start_jobs(self, now: int) -> None:
        while self._waiting and len(self._running) < self.config.cores:
            job = self._waiting.popleft()
            if self.config.skip_expired and job.expires <= now:
                continue
            self._running.append(job)

    def _exceeds_limit(self, now: int, work: float) -> bool:
        """Count arriving work; return whether it crashes the server."""
        self._arrivals.append((now, work))
        self._window_work += work
        while self._arrivals and self._arrivals[0][0] <= now - self.config.overload_for:
            self._window_work -= self._arrivals.popleft()[1]
        warmth = self.warmth(now)
        if warmth >= 1:
            return False
        capacity = self.config.cores * self.config.speed * warmth * self.config.overload_for
        window_share = self._window_work / (self.config.fall_multiple * capacity)
        self.max_window_share = max(self.max_window_share, window_share)
        return window_share > 1


@dataclass(slots=True)
class Fleet:
    """Servers by name, in a fixed order, with their zones, cells and node ids."""

    servers: dict[str, Server] = field(default_factory=dict)
    zones: dict[str, int] = field(default_factory=dict)
    cells: dict[str, int] = field(default_factory=dict)
    nodes: dict[str, bytes] = field(default_factory=dict)
    names: dict[bytes, str] = field(default_factory=dict)

    def add(self, server: Server, zone: int, cell: int) -> None:
        """Add a server; its node id follows from its position in the fleet."""
        number = len(self.servers)
        node = bytes((10, 0, number // 250, number % 250 + 1)) + (9000).to_bytes(2)
        self.servers[server.name] = server
        self.zones[server.name], self.cells[server.name] = zone, cell
        self.nodes[server.name], self.names[node] = node, server.name
