"""Emulated clients: arrivals, queries, patience and retries."""

from collections.abc import Callable, Mapping
from typing import Any

from quincepath.asks.registry import Begin, Join, MatchKind, ReplayAnswer
from quincepath.asks.registry import ClientKey as RegistryKey
from quincepath.asks.registry import Try as RegistryTry
from quincepath.broker.dispatcher import Rendered, TryAnswer
from quincepath.lab.emulator.workload import draw_query, part_work
from quincepath.lab.emulator.world.broker_scheduling import BrokerScheduling
from quincepath.lab.emulator.world.entities import Broker, Client, ClientReply, Try
from quincepath.lab.emulator.world.state import MS, SECOND
from quincepath.limits.gate import Rejection
from quincepath.orders import Ask, Finish, PartRequest, Verdict
from quincepath.standins.record import Ask as AskLine
from quincepath.standins.record import End

GIVE_UP_GRACE_NS = 50 * MS  # after its timeout, until a client closes the connection
SECOND_STEP_WORK_SHARE = 0.5  # relative to a part of the first step
HTTP_STATUS = {Verdict.ANSWERED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502}


class Clients(BrokerScheduling):
    """All queries of a run, from the first try to the final answer."""

    def _arrivals(self) -> None:
        """Schedule all arrivals of the run: they don't wait for answers (open loop)."""
        draw = self.source("arrivals").generator
        at = float(self.begin + 100 * MS)
        number = 0
        while True:
            at += float(draw.exponential(SECOND / self.script.traffic.rate))
            if at >= self.end:
                return
            self.call_at(int(at), self._arrival(number, int(at)))
            number += 1

    def _arrival(self, number: int, at: int) -> Callable[[], None]:
        def arrive() -> None:
            self._new_client(number)
            extra = self.rate_factor - 1
            copy = 0
            while extra > 0 and (extra >= 1 or self.source("burst")() < extra):
                copy += 1
                self._new_client(number + copy * 10_000_000)
                extra -= 1

        return arrive

    def _new_client(self, number: int) -> None:
        drawn = draw_query(self.source("queries"), self.script.classes, self.shards)
        kind, shards = drawn.kind, drawn.shards
        entry = self.script.classes[kind]
        work = part_work(self.source("work").generator, entry, len(shards))
        share, times = self.heavy_factors.get(kind, (0.0, 1.0))
        if share and self.source("heavy")() < share:
            work = [one * times for one in work]
        poison = bool(self.poison_shares.get(kind)) and self.source("poison")() < self.poison_shares[kind]
        client = Client(number, kind, shards, work, self.now, poison)
        self.statistics.asked[entry.name] += 1
        self.statistics.by_second[(self.now - self.begin) // SECOND][0] += 1
        self._try(client)

    def _try(self, client: Client) -> None:
        entry = self.script.classes[client.kind]
        left = client.started_at + entry.deadline - self.now
        alive = [broker for broker in self.brokers if broker.alive]
        if left <= 10 * MS:
            return
        if not alive:  # connection refused everywhere: the client retries by itself
            self.statistics.outcomes["unreachable"] += 1
            client.tries += 1
            if client.tries <= self.script.traffic.retries:
                self.call_after(self.script.traffic.wait * 2 ** (client.tries - 1), lambda: self._try(client))
            return
        traffic, draw = self.script.traffic, self.source("clients")
        share = draw.between(*traffic.patience) * self.patience_factor
        patience = max(min(int(entry.deadline * share), left), 1)
        sent_timeout = (
            patience if traffic.tell >= 1 or self.source("tell")() < traffic.tell else entry.deadline
        )
        broker = alive[int(draw() * len(alive))]
        attempt = Try(client, client.name(), self.now, sent_timeout)
        self.statistics.tries += 1
        key = f"c{client.number}" if traffic.marks else ""
        self.sink(
            AskLine(self.now, attempt.name, entry.name, client.shards, sent_timeout, broker.number, key)
        )
        generation = broker.generation
        self.call_at(
            self.now + patience + GIVE_UP_GRACE_NS, lambda: self._time_out_try(attempt, broker, generation)
        )
        self.call_after(
            self.one_way_delay(broker.zone, broker.zone),
            lambda: self._deliver(broker, generation, lambda: self._receive_try(broker, attempt)),
        )

    def _receive_try(self, broker: Broker, attempt: Try) -> None:
        if attempt.ended:
            return
        client = attempt.client
        self._last_handle += 1
        handle, key = self._last_handle, f"c{client.number}"
        registry_try = RegistryTry(
            handle, "", key.encode(), self.now + attempt.patience,
            RegistryKey("", key, True) if self.script.traffic.marks else None,
            client=f"desk{client.number % self.script.traffic.desks}",
        )  # fmt: skip
        result = broker.dispatcher.arrive(
            self.now, registry_try, self._ask(attempt), client, self.script.classes[client.kind].worth
        )
        match result:
            case Rejection(retry_in=retry_in):
                self._answer_client(broker, attempt, ClientReply(503, retry_in=retry_in))
            case ReplayAnswer(reply=reply):
                self._answer_client(broker, attempt, reply, MatchKind.REPLAYED)
            case Join() | Begin():
                broker.tries[handle] = attempt
                self._schedule_step(broker)
            case _:
                raise AssertionError(f"{result}: unexpected, since each client has a key of its own")

    def _ask(self, attempt: Try) -> Ask:
        client = attempt.client
        weight = 1 / len(client.shards)
        parts = tuple(
            PartRequest(shard, weight, (one, client.poison, client.kind))
            for shard, one in zip(client.shards, client.work, strict=True)
        )
        second = self.script.classes[client.kind].second_step
        by_shard = dict(zip(client.shards, client.work, strict=True))

        def follow(bodies: Mapping[int, Any]) -> tuple[PartRequest, ...]:
            return tuple(
                PartRequest(
                    shard, 1 / len(bodies), (by_shard[shard] * SECOND_STEP_WORK_SHARE, False, client.kind)
                )
                for shard in sorted(bodies)
            )

        return Ask(
            0, client.kind, attempt.patience, parts, repeat=client.tries > 0,
            follow=follow if second else None, name=attempt.name,
        )  # fmt: skip

    def _time_out_try(self, attempt: Try, broker: Broker, generation: int) -> None:
        """Close the connection of a client whose time is up without an answer."""
        if attempt.ended:
            return
        self._end_try(attempt, End(self.now, attempt.name, -1))
        self._deliver(broker, generation, lambda: self._on_client_left(broker, attempt))

    def _on_client_left(self, broker: Broker, attempt: Try) -> None:
        for handle, open_try in broker.tries.items():
            if open_try is attempt:
                del broker.tries[handle]
                broker.dispatcher.client_left(self.now, handle)
                self._schedule_step(broker)
                return

    def _answer_client(
        self, broker: Broker, attempt: Try, reply: ClientReply, how: MatchKind = MatchKind.BEGAN
    ) -> None:
        def receive() -> None:
            if not attempt.ended:
                ms = -(-reply.retry_in // MS)
                match_kind = "" if how is MatchKind.BEGAN else how.value
                self._end_try(
                    attempt,
                    End(self.now, attempt.name, reply.status, reply.mark, reply.parts_in, reply.parts_asked,
                        ms, match_kind),
                )  # fmt: skip

        self.call_after(self.one_way_delay(broker.zone, broker.zone), receive)

    def _end_try(self, attempt: Try, end: End) -> None:
        attempt.ended = True
        self.sink(end)
        client = attempt.client
        entry = self.script.classes[client.kind]
        self.statistics.outcomes[
            end.mark or {503: "refused", 502: "failed", 504: "failed", 0: "lost", -1: "none"}[end.status]
        ] += 1
        if end.status == 200:
            self.statistics.latencies_s.append((self.now - client.started_at) / SECOND)
            if end.mark == "whole" and self.now <= client.started_at + entry.target:
                self.statistics.good[entry.name] += 1
                self.statistics.by_second[(client.started_at - self.begin) // SECOND][1] += 1
            return
        client.tries += 1
        if client.tries > self.script.traffic.retries:
            return
        draw = self.source("clients")
        wait = self.script.traffic.wait * 2 ** (client.tries - 1) * draw.between(0.5, 1.5)
        if self.immediate_retries:
            wait = MS
        elif draw() < self.script.traffic.honour:
            wait = max(wait, end.retry_ms * MS)
        self.call_after(wait, lambda: self._try(client))

    @staticmethod
    def _render(order: Finish, _client: Client) -> Rendered[ClientReply]:
        answered = order.verdict is Verdict.ANSWERED
        mark = ("whole" if order.whole else "partial") if answered else ""
        ending = ClientReply(
            HTTP_STATUS[order.verdict], mark, order.parts_in, order.parts_asked, order.retry_in
        )
        return Rendered(ending, 1, order.verdict)

    def _deliver_answer(self, broker: Broker, answer: TryAnswer[ClientReply]) -> None:
        attempt = broker.tries.pop(answer.handle, None)
        if attempt is not None:
            self._answer_client(broker, attempt, answer.reply or ClientReply(504), answer.kind)
