"""The holder's side of calls, and the life cycle of holders: requests, replies, crashes, restarts."""

from collections.abc import Callable

from quincepath.interface import Phase, Result
from quincepath.lab.emulator.server import Job, Server, State
from quincepath.lab.emulator.world.calls import Calls
from quincepath.lab.emulator.world.entities import Broker, Call
from quincepath.lab.emulator.world.membership import MembershipFeed
from quincepath.lab.emulator.world.state import SECOND
from quincepath.standins.record import Got, Said, Up

RESTART_DELAY_NS = 3 * SECOND  # downtime of a holder that a poisoned query has crashed


class Holders(Calls, MembershipFeed):
    """Emulated servers. Their replies reach a broker by ``_send_back``."""

    def _receive_request(self, broker: Broker, generation: int, call: Call) -> None:
        """Handle a request at the holder, whatever the broker has decided since it sent it."""
        server = call.connection.server
        if server.state is State.SILENT:
            return
        back = self._delay_to(broker, server)
        if server.state is not State.UP or server.incarnation != call.connection.incarnation:
            self._send_back(
                broker, server, generation, back, lambda: self._receive_reply(broker, call, Result.RESET)
            )
            return
        self._advance(server)
        if server.state is not State.UP:
            self._send_back(
                broker, server, generation, back, lambda: self._receive_reply(broker, call, Result.RESET)
            )
            return
        part_works = [order.payload[0] for order in call.orders]
        for order, work in zip(call.orders, part_works, strict=True):
            self.sink(
                Got(
                    self.now, server.name, order.query_name, order.shard, order.step, order.attempt,
                    int(work), broker.number,
                )
            )  # fmt: skip
        kinds = frozenset(order.payload[2] for order in call.orders)
        poison = any(order.payload[1] for order in call.orders)
        expires = max(order.deadline for order in call.orders)
        job = Job(sum(part_works), expires, kinds, (broker, generation, call), poison)
        call.job = job
        offered = server.offer(self.now, job)
        if offered == "fell":
            self.statistics.fell.append(server.name)
            self.mark(f"{server.name} fell over")
            self._crash(server, State.FALLEN)
        elif offered in ("error", "full"):
            self._record_reply(server, call, 500 if offered == "error" else 429, False)
            result = Result.ERROR if offered == "error" else Result.FULL
            self._send_back(
                broker, server, generation, back, lambda: self._receive_reply(broker, call, result)
            )
        else:
            self._schedule_check(server)

    def _record_reply(self, server: Server, call: Call, status: int, good: bool) -> None:
        for o in call.orders:
            self.sink(Said(self.now, server.name, o.query_name, o.shard, o.step, o.attempt, status, good))

    def _schedule_check(self, server: Server) -> None:
        """Schedule a check for when the server has something due; at most one check is pending."""
        if server.poisoned():
            self.mark(f"{server.name} taken down by a poisoned query")
            self._crash(server, State.DOWN)
            self.call_after(RESTART_DELAY_NS, lambda: self.restart(server))
            return
        due = server.next_completion()
        if due is None or self._scheduled_checks.get(server.name, 1 << 62) <= due:
            return
        self._scheduled_checks[server.name] = due

        def check() -> None:
            if self._scheduled_checks.get(server.name) == due:
                del self._scheduled_checks[server.name]
                self._advance(server)

        self.call_at(due, check)

    def _advance(self, server: Server) -> None:
        """Advance the server to the current time and answer completed jobs."""
        for _, job in server.advance(self.now):
            broker, generation, call = job.tag
            if job.cancelled:
                continue
            self._record_reply(server, call, 200, True)
            if server.faults.lose and server.draw() < server.faults.lose:
                continue
            self._send_back(
                broker, server, generation, self._delay_to(broker, server), self._ok_reply(broker, call)
            )
        if server.state is State.UP:
            self._schedule_check(server)

    def _ok_reply(self, broker: Broker, call: Call) -> Callable[[], None]:
        return lambda: self._receive_reply(broker, call, Result.OK)

    def _crash(self, server: Server, state: State) -> None:
        """End a process: its jobs are lost; unless its machine is gone too, peers see connection resets."""
        for job in server.stop(self.now, state):
            broker, generation, call = job.tag
            if state is not State.SILENT:
                self._send_back(
                    broker,
                    server,
                    generation,
                    self._delay_to(broker, server),
                    self._reset_reply(broker, call),
                )
        server.incarnation += 1
        server.connections = 0
        self._scheduled_checks.pop(server.name, None)
        for broker in self.brokers:
            pool = broker.pools.get(self.fleet.nodes[server.name])
            if pool is not None and state is not State.SILENT:
                for connection in pool.idle:
                    self._close_connection(broker, connection)
                pool.idle.clear()
        self._down.add(server.name)
        self.statistics.down_most = max(self.statistics.down_most, len(self._down))
        self.publish(server.name, Phase.GONE)

    def _reset_reply(self, broker: Broker, call: Call) -> Callable[[], None]:
        return lambda: self._receive_reply(broker, call, Result.RESET)

    def kill(self, server: Server, silent: bool = False) -> None:
        """Kill a server's process, or (silent) its machine."""
        if server.state is State.UP:
            server.advance(self.now)
            self._crash(server, State.SILENT if silent else State.DOWN)

    def restart(self, server: Server) -> None:
        """Restart it cold; one that collapsed under load stays down."""
        if server.state in (State.UP, State.FALLEN):
            return
        server.restart(self.now)
        self._down.discard(server.name)
        kind = server.config
        self.sink(Up(self.now, server.name, kind.cold, kind.ramp, kind.cores * kind.speed * 1e9))
        self.publish(server.name, Phase.READY, self.now)
