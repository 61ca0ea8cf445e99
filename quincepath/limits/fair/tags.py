"""Start-time fair queueing over slot time, SFQ(D), extended by service at other brokers (dSFQ).

Virtual time is slot time divided by weight (virtual ns). The tag of a tenant's queue is its last finish tag,
which is the start tag of its next query. When a queue that was empty gets its first query, its tag is raised
to virtual time: capacity not used while idle is not saved up (except ``credit_most``). The queue with the
smallest tag is served next; virtual time is the largest start tag that was ever served. When a query starts,
the high cost estimate is added to the tag; while the query runs beyond it, what it uses in excess; at its end
the tag is corrected to the actual cost.

Lag. Take two tenants f and g that have both had waiting queries that may start since time s, with tags that
were equal at s, D slots, and no remote usage. Let U be the slot time used since s by queries charged to a
tenant, and l the largest estimate or use of one of its queries. Each start needs a free slot, so at most D
queries run; what is charged and not yet used, or still to be given back, is at most D*l for each tenant. Then
at any time after s

    |U_f/w_f - U_g/w_g| <= D * (l_f/w_f + l_g/w_g)

(The last start of f was made with tag_f <= tag_g; after it f uses at most D*l_f more than tag_f accounts for,
and tag_g exceeds what g used by at most D*l_g.) Limits on large queries take a tenant out of those that may
start.

Reports of remote usage only raise tags: they can make a tenant wait, but never let it run sooner than without
them. What a report added to a tag is kept apart until virtual time has caught up with it. It is bounded by
what all brokers are reported to serve in ``remote_usage_fades``, and this bound falls to zero as the report
reaches that age: when reports end, shares return to those of this broker alone within that time, without a
step. After a gap in the reports only the last such interval of service counts. In one report no tenant can
have used more than all slots of ``brokers`` other brokers since the last report.
"""

from collections.abc import Iterable, Mapping

from quincepath.limits.fair.queues import Lane, Queue, Queues, Waiting
from quincepath.limits.fair.types import SECOND, FairSettings

LEAST_SPEED = 0.02  # of a queue's even speed: lower bound of the speed in the expected wait
REPORT_NAMES_FACTOR = 4  # times ``tenants_most``: names of one report that are read; the rest is ignored


class Tags:
    """Virtual time and the tags of all queues of a broker."""

    def __init__(self, settings: FairSettings, queues: Queues) -> None:
        self.settings, self.queues = settings, queues
        self.virtual = 0
        self._remote_totals: dict[str, int] = {}
        self._reported_at: int | None = None
        self._as_of = 0  # when the last report was true
        self._remote_rate = 0.0  # slots that all other brokers are reported to use
        self._virtual_speed = 0.0  # between reports
        self._virtual_at_report = 0

    def before_enqueue(self, queue: Queue) -> None:
        """Called before a query is added to the queue."""
        if not queue.waiting:
            credit = int(self.settings.credit_most / queue.weight)
            queue.tag = max(queue.tag, self.virtual - credit)

    def next(self, open_lanes: Iterable[Lane]) -> Waiting | None:
        """The query to start next, among those in the given lanes."""
        lanes = tuple(open_lanes)
        best: tuple[int, int] | None = None
        found: Waiting | None = None
        for queue in self.queues.backlogged.values():
            if best is None or queue.tag <= best[0]:
                one = queue.first(lanes)
                if one is not None and (best is None or (queue.tag, one.order) < best):
                    best, found = (queue.tag, one.order), one
        return found

    def query_started(self, queue: Queue, cost: int) -> None:
        """A query of the queue starts and is charged ``cost``."""
        self.virtual = max(self.virtual, queue.tag)
        queue.running += 1
        self.charge(queue, cost)

    def charge(self, queue: Queue, cost: int) -> None:
        """Charge slot time (ns); a negative ``cost`` is given back."""
        queue.tag += int(cost / queue.weight)

    def query_ended(self, queue: Queue, correction: int) -> None:
        """A query has ended; ``correction``: its actual cost less what was charged."""
        queue.running -= 1
        self.charge(queue, correction)

    def add_remote_usage(self, now: int, served: Mapping[str, int], age: int) -> None:
        """A report of remote usage.

        Total slot time of each tenant at all other brokers. A total that decreases starts anew.
        """
        settings = self.settings
        fades = settings.remote_usage_fades
        weight_of_age = max(0.0, 1 - max(0, age) / fades)
        interval = fades if self._reported_at is None else max(1, now - self._reported_at)
        most = interval * settings.slow_slots * settings.brokers
        weight_of_age *= min(1.0, fades / interval)
        previous, self._remote_totals, self._reported_at = self._remote_totals, {}, now
        self._as_of = now - max(0, age)
        names_most = REPORT_NAMES_FACTOR * settings.tenants_most
        names = (
            served
            if len(served) <= names_most
            else sorted(served, key=lambda t: (-served[t], t))[:names_most]
        )
        charges: dict[str, int] = {}
        for tenant in names:
            total = self._remote_totals[tenant] = served[tenant]
            increase = min(most, total - previous.get(tenant, total))
            if increase > 0:
                charges[tenant] = int(increase * weight_of_age)
        weight = min(1.0, interval / SECOND)
        self._remote_rate += weight * (min(most, sum(charges.values())) / interval - self._remote_rate)
        self._virtual_speed += weight * (
            (self.virtual - self._virtual_at_report) / interval - self._virtual_speed
        )
        self._virtual_at_report = self.virtual
        for tenant, increase in charges.items():
            self._charge_remote(tenant, increase)
        for name, queue in self.queues.own.items():
            queue.remote_speed += weight * (
                charges.get(name, 0) / queue.weight / interval - queue.remote_speed
            )
        self.fade_remote_usage(now)

    def expected_wait(self, now: int, queue: Queue) -> int:
        """Expected wait (ns) of a query that would be added to the end of the queue now.

        Its start tag is reached at the speed of virtual time, less the speed at which remote usage raises the
        tag. Without a recent report, virtual time is taken to move at the number of slots divided by the sum
        of the weights of the backlogged queues.
        """
        slots, backlogged = self.settings.slow_slots, self.queues.backlogged
        if not backlogged or len(backlogged) == 1 and queue.waiting:
            return queue.queued // slots
        weights = sum(one.weight for one in backlogged.values()) + (0 if queue.waiting else queue.weight)
        speed = local_speed = slots / weights
        if self._as_of > now - self.settings.remote_usage_fades and self._virtual_speed:
            speed = max(self._virtual_speed - queue.remote_speed, LEAST_SPEED * local_speed)
        distance = max(0, queue.tag - self.virtual) + queue.queued / queue.weight
        return int(distance / speed)

    def _charge_remote(self, tenant: str, cost: int) -> None:
        """Skips a tenant that shares a queue: the others in it would be charged for its usage."""
        queue = self.queues.queue_of(tenant)
        if queue.key == "=" + tenant:
            lag = int(cost / queue.weight)
            queue.tag = max(queue.tag, self.virtual) + lag
            queue.remote_lag += lag

    def fade_remote_usage(self, now: int) -> None:
        """Limit what reports added to tags, to its bound by now and to what is ahead of virtual time."""
        if self._reported_at is None:
            return
        fades = self.settings.remote_usage_fades
        remaining = max(0.0, 1 - (now - self._as_of) / fades)
        most = int(remaining * fades * (self.settings.slow_slots + self._remote_rate))
        for queue in self.queues.own.values():
            if queue.remote_lag:
                queue.remote_lag = max(0, min(queue.remote_lag, queue.tag - self.virtual))
                excess = queue.remote_lag - int(most / queue.weight)
                if excess > 0:
                    queue.remote_lag -= excess
                    queue.tag -= excess
