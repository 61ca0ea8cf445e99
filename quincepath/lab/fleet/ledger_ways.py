"""Two other ways to sum up a fleet, for comparison in the same world: every report to all, and push-sum.

They share the ledger's reports, clipping and messages, so that bytes and errors can be held side by side.
"""

import math

from quincepath.fleet.load_reports.clipping import clip
from quincepath.fleet.load_reports.fields import TAKEN, decode_runs, flatten
from quincepath.fleet.load_reports.messages import (
    MAX_BODY_BYTES,
    Body,
    Report,
    SumMessage,
    TenantUse,
    split_sum,
)
from quincepath.fleet.load_reports.reporter import LoadReporter
from quincepath.fleet.load_reports.sums import Sums, add, to_totals

UNIT = 1 << 10  # of a count in push-sum's messages
WEIGHT = 1 << 30


class ToAll(LoadReporter):
    """Each report goes to every member; each sums up for itself."""

    def _apply(self, now: int, sender: str, boot: int, body: Body) -> None:
        if isinstance(body, Report):
            self._member_counts.apply_report(now, sender, boot, body, self._live_boots.get(sender))

    def _tick(self, now: int) -> None:
        if self._own_counts is not None:
            counts = self._own_counts
            uses = [
                TenantUse(n, use.slot_time // 1_000_000, use.waiting, use.base // 1_000_000)
                for n, use in counts.tenants.items()
            ]
            line, up = round(1000 * counts.threshold), counts.uptime // 1_000_000
            for report in self._report_builder.build(flatten(counts), uses, up, line, counts.waiting):
                self._send(now, self._tree.live, report)
        parts, _ = clip([(1, sums) for _, sums in self._member_counts.window_sums(now)], self._settings)
        found = add(parts)
        self._outputs.append(to_totals(now - found.age, len(self._tree.live), found, self._settings))


class PushSum(LoadReporter):
    """Half of what a member holds, and half its weight, goes to one drawn member each period.

    What is held fades with half the window, the weight comes back as fast, so that loss takes from both alike
    (totals that never fade were tried first: their differences are noise, and each loss stays for ever).
    Only the first of a message's datagrams is taken in; the others are there for their bytes.
    """

    _held: dict[int, float]
    _weight: float
    _counted: dict[int, int]

    def _begin(self) -> None:
        if not hasattr(self, "_held"):
            self._held, self._counted, self._weight = {}, {}, 1.0

    def _apply(self, now: int, sender: str, boot: int, body: Body) -> None:
        self._begin()
        if isinstance(body, SumMessage) and body.low == 0:
            self._weight += body.sequence / WEIGHT
            for number, value in decode_runs(body.runs):
                self._held[number] = self._held.get(number, 0.0) + value / UNIT

    def _tick(self, now: int) -> None:
        self._begin()
        period = self._settings.period * 0.95  # of which up to a tenth is left out each time
        fade = math.exp(-2 * period / self._settings.window)
        self._weight = self._weight * fade + 1 - fade
        for number in self._held:
            self._held[number] *= fade
        if self._own_counts is not None:
            for number, value in flatten(self._own_counts).items():
                more = value - self._counted.get(number, 0)
                self._held[number] = self._held.get(number, 0.0) + more
                self._counted[number] = value
        others = [name for name in self._tree.live if name != self.me]
        if others:
            self._weight /= 2
            self._held = {number: value / 2 for number, value in self._held.items()}
            values = {n: int(value * UNIT) for n, value in self._held.items() if value * UNIT >= 1}
            to = self._random.choice(others)
            for low, high, runs in split_sum(values, MAX_BODY_BYTES):
                weight = int(self._weight * WEIGHT)
                self._send(now, [to], SumMessage(False, 0, 0, 1, weight, 1, 0, 0, 0, low, high, runs))
        many = len(self._tree.live)
        held = sum(v for n, v in self._held.items() if n < 256 and n % 8 == TAKEN)
        rate = many * held / self._weight * (1 - fade) / period
        taken = max(round(rate * self._settings.window), 0)
        self._outputs.append(to_totals(now, many, Sums(reporting=many, values={0: taken}), self._settings))
