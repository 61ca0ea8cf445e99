"""Entities of a run besides holders: brokers, clients, tries, and calls on their connections."""

from collections.abc import Callable
from dataclasses import dataclass, field

from quincepath.broker.dispatcher import Dispatcher
from quincepath.broker.driver import Driver
from quincepath.interface import Entry, NodeId
from quincepath.lab.emulator.server import Job, Server
from quincepath.orders import AttemptOrder


@dataclass(slots=True, eq=False)
class Connection:
    """One connection of a broker to a holder."""

    node: NodeId
    server: Server
    incarnation: int
    closed: bool = False
    counted: bool = False  # among the holder's open connections
    idle_since: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight."""

    node: NodeId
    orders: tuple[AttemptOrder, ...]
    pending: set[tuple[int, int]]
    connection: Connection
    dialling: bool = False
    job: Job | None = None


@dataclass(slots=True)
class Pool:
    """Connection pool of one broker to one holder."""

    idle: list[Connection] = field(default_factory=list)
    open: int = 0


@dataclass(slots=True, frozen=True)
class ClientReply:
    """A final answer as a client sees it. ``retry_in`` in ns."""

    status: int
    mark: str = ""
    parts_in: int = 0
    parts_asked: int = 0
    retry_in: int = 0


@dataclass(slots=True, eq=False)
class Client:
    """One query and its tries."""

    number: int
    kind: int
    shards: list[int]
    work: list[float]
    started_at: int
    poison: bool
    tries: int = 0
    served: bool = False

    def name(self) -> str:
        """Name of the current try, for recordings."""
        return f"c{self.number}.{self.tries}"


@dataclass(slots=True, eq=False)
class Try:
    """One try of a client at a broker."""

    client: Client
    name: str
    sent: int
    patience: int
    ended: bool = False


class Broker:
    """A broker: the real driver and decision module, with pools of emulated connections."""

    def __init__(self, number: int, zone: int) -> None:
        self.number, self.zone = number, zone
        self.driver: Driver
        self.dispatcher: Dispatcher[Client, ClientReply]
        self.generation = 0
        self.alive = True
        self.stalled_until = 0
        self.deferred_io: list[Callable[[], None]] = []
        self.deferred_timers: list[Callable[[], None]] = []
        self.step_scheduled_at: int | None = None
        self.pools: dict[NodeId, Pool] = {}
        self.calls: dict[tuple[int, int], Call] = {}
        self.tries: dict[int, Try] = {}
        self.known_members: dict[NodeId, Entry] = {}
        self.next_update_at = 0
        self.lag_factor = 1.0
        self.updates_frozen = False
        self.missed_updates: list[str] = []
