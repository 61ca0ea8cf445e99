"""The priority order of all queries: worth, then how far the tenant is over its share, then a hash.

``priority`` is from 0 (shed first) to below 1. Worth has ``WORTH_STEPS`` steps, each split by over-share into
``OVER_SHARE_STEPS`` steps, each filled evenly by the hash: of the 64 bands each (worth, over-share) has two.
The hash is blake2b of the standard library: the same in every process (``hash()`` is not), takes about a
microsecond, and adds no dependency.
"""

from collections.abc import Mapping
from hashlib import blake2b

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, TenantTotal, Totals

WORTH_STEPS = 8
OVER_SHARE_STEPS = 4  # up to the share, to twice, to four times, beyond


def worth_step(worth: float) -> int:
    """Step of a worth of 0 to 1; out of range counts as the nearest."""
    return round(min(max(worth, 0.0), 1.0) * (WORTH_STEPS - 1))


def stable_fraction(tenant: str, client: str, epoch: int) -> float:
    """A hash as a number from 0 to below 1, the same at all brokers for an epoch."""
    digest = blake2b(f"{epoch}\0{tenant}\0{client}".encode(), digest_size=6).digest()
    return int.from_bytes(digest) / (1 << 48)


def over_share_step(over_share: float) -> int:
    """0 up to its share, 1 to twice, 2 to four times, 3 beyond; unknown (0.0) counts as within."""
    return 0 if over_share <= 1 else 1 if over_share <= 2 else 2 if over_share <= 4 else 3


def priority(worth: float, over_share: float, tenant: str, client: str, epoch: int) -> float:
    """The place of a query in the order."""
    within = (
        OVER_SHARE_STEPS - 1 - over_share_step(over_share) + stable_fraction(tenant, client, epoch)
    ) / OVER_SHARE_STEPS
    return (worth_step(worth) + within) / WORTH_STEPS


def band(priority: float) -> int:
    """The band of the histogram of arrivals that counts this priority."""
    return min(int(priority * PRIORITY_BANDS), PRIORITY_BANDS - 1)


def over_shares(totals: Totals, weights: Mapping[str, float], max_tenants: int) -> dict[str, float]:
    """Slot time of each named tenant relative to its weighted share, for the heaviest ``max_tenants``.

    The tenants that are not named count together as one of weight 1. With a single tenant nobody is over.
    """
    named: list[tuple[str, TenantTotal]] = sorted(totals.tenants.items(), key=lambda item: -item[1].slot_time)
    used = sum(total.slot_time for _, total in named) + totals.rest.slot_time
    active = [name for name, total in named if total.slot_time > 0]
    parts = sum(weights.get(name, 1.0) for name in active) + (1.0 if totals.rest.slot_time > 0 else 0.0)
    if used <= 0 or len(active) < 2:
        return {}
    return {
        name: total.slot_time / used * parts / max(weights.get(name, 1.0), 1e-9)
        for name, total in named[:max_tenants]
    }
