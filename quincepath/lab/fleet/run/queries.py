"""What clients ask while faults go on: at a rate, each at a broker that serves, again where wanted."""

from dataclasses import replace

from quincepath.lab.fleet.loads import TenantLoad, shard_map
from quincepath.lab.fleet.run.processes import Processes, Seat
from quincepath.lab.fleet.script import FaultEntry
from quincepath.lab.fleet.verdict import SECOND
from quincepath.lab.load import SCOPE, QueryPlan, QueryResult, QuerySource

MARK = "Idempotency-Key"
REPEAT = "Retry-Attempt"
AT_ONCE = 10_000_000  # ns until a client that heeds nothing tries again
DEADLINES = {"fleet-glance": 3 * SECOND, "hours-report": 5 * SECOND}  # of the demo's classes


class Queries(Processes):
    """Each try is counted when it is asked and when it ends; a query's tries are named q7, q7.1 and so on."""

    def _ask(self) -> None:
        shards = shard_map(self.script.load.sets).shards
        districts = {value: shard.number for shard in shards for value in shard.values}
        spare = self.script.load.spare
        self.queries = QuerySource(
            self.seed, districts, {kind: time + spare for kind, time in DEADLINES.items()}
        )
        self._next_query(self.begin, self.script.load.rate, None)

    def surge(self, entry: FaultEntry) -> None:
        """More of the load, on top of what goes on: a stream of its own."""
        rate, tenants = self.script.load.rate * (entry.times - 1), self.script.load.tenants
        if entry.tenant is not None:
            own = sum(one.share for one in tenants if one.name == entry.tenant)
            rate *= own / sum(one.share for one in tenants)
        if entry.set is not None:
            rate /= self.script.load.sets
        self.mark(f"surge of {rate:.0f} queries a second")
        now = self.loop.clock()
        self._next_query(now, rate, entry)

    def _next_query(self, due: int, rate: float, entry: FaultEntry | None) -> None:
        over = entry is not None and due - self.begin > entry.at + entry.last
        if self.over or over or self.now > self.script.length:
            return
        self.late_most = max(self.late_most, self.loop.clock() - due)
        self._one_query(entry)
        after = due + int(self.random.expovariate(rate) * SECOND)
        self.loop.call_at(after, lambda: self._next_query(after, rate, entry))

    def _one_query(self, entry: FaultEntry | None) -> None:
        load, among = self.script.load, []
        tenants = load.tenants
        if entry is not None and entry.tenant is not None:
            tenants = [one for one in tenants if one.name == entry.tenant]
        if entry is not None and entry.set is not None:
            among = [value for name, values in self.shards.items() for value in values
                     if self.set_of[name] == entry.set]  # fmt: skip
        tenant: TenantLoad | None = None
        if tenants:
            tenant = self.random.choices(tenants, [one.share for one in tenants])[0]
        plan = self.queries.next(load.glances if tenant is None else tenant.glances, among)
        if tenant is not None:
            plan = replace(plan, headers={SCOPE: tenant.name})
        places = list(load.at) if tenant is None else tenant.at or list(load.at)
        if entry is not None and isinstance(entry.towards, list):
            places = entry.towards
        self.named += 1
        self._try(f"q{self.named}", plan, places, 0)

    def _try(self, name: str, plan: QueryPlan, places: list[str], number: int) -> None:
        up = [seat for seat in self.seats.values() if self._asked(seat, places)]
        if self.over or not up:
            return
        self.asked += 1
        self.open += 1
        client = self.random.choice(up).client
        assert client is not None
        if self.script.load.marked:
            plan = replace(plan, headers={**plan.headers, MARK: name, REPEAT: str(number)})
        whole = f"{name}.{number}" if number else name
        client.ask(whole, plan, lambda seen: self._answered(seen, name, places, number))

    @staticmethod
    def _asked(seat: Seat, places: list[str]) -> bool:
        wanted = not places or seat.name in places
        return wanted and seat.up and not seat.still and seat.client is not None

    def _answered(self, seen: QueryResult, name: str, places: list[str], number: int) -> None:
        self.open -= 1
        mark = seen.response.headers.get("quincepath-answer", "") if seen.response else ""
        self.answers[mark or {0: "lost", -1: "given up"}.get(seen.status, str(seen.status))] += 1
        load = self.script.load
        if seen.status == 200 or number >= load.retries:
            return
        wait = AT_ONCE
        if load.heed and seen.response is not None:
            wait += int(seen.response.headers.get("quincepath-retry-after-ms", "0")) * 1_000_000
        self.loop.call_in(wait, lambda: self._try(name, seen.plan, places, number + 1))
